#include <pollenstream/admission/admission_check.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/sessions/session.hpp>
#include <pollenstream/sessions/span_group.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace pollenstream::sessions
{

namespace
{

using namespace std::chrono_literals;

/// Interval of keep-alive messages to the caller; also bounds the time until a
/// closed caller connection is noticed.
constexpr auto keep_alive_period = core::duration( 1s );
/// How long after its deadline an answer may end, which allows for the delay of
/// timers and threads.
constexpr auto deadline_slack = admission::retry_without_target;
/// Interval at which a request without a target with free memory looks for one.
constexpr auto memory_poll_period = core::duration( 25ms );

}

session::session( context& session_context,
                  request caller_request,
                  profiles::profile profile,
                  std::shared_ptr<ports::answer_sink> sink )
    : context_( session_context ), id_( session_context.new_request_id() ),
      request_( std::move( caller_request ) ), profile_( std::move( profile ) ),
      sink_( std::move( sink ) ),
      prompt_tokens_( core::estimate_tokens( *request_.prompt ) ),
      max_output_(
          std::min( request_.max_output.value_or( profile_.max_output ),
                    profile_.max_output ) ),
      prefixes_( core::mark_prefixes( *request_.prompt ) ), answer_( id_ )
{
    context_.open_sessions.fetch_add( 1 );
}

session::~session()
{
    core::check_invariant( core::invariant::ends_in_time, finished_,
                           "session of " + id_.str() + " dropped open" );
    core::check_invariant( core::invariant::memory_is_returned,
                           !current_ && !silent_ && !preparing_,
                           "session of " + id_.str() + " holds an attempt" );
    context_.open_sessions.fetch_sub( 1 );
}

auto session::start() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    context_.metrics.started.add();
    admitted_ = context_.clock.now();
    auto limit = profiles::time_limit( profile_, prompt_tokens_ );
    if ( request_.time_limit )
        limit = std::min( limit, *request_.time_limit );
    deadline_ = admitted_ + limit;
    if ( auto const refused = admit() )
    {
        finish( *refused );
        return;
    }
    context_.retries.note_request();
    arm_deadline();
    arm_keep_alive();
    open_attempt();
}

auto session::make_shape() const -> routing::request_shape
{
    auto request_shape = routing::request_shape{};
    request_shape.priority = profile_.request_priority;
    request_shape.prompt_tokens = prompt_tokens_.count() + answer_.position();
    request_shape.output_tokens = max_output_.count() - answer_.position();
    request_shape.prefixes = prefixes_;
    request_shape.data_centres = profile_.data_centres;
    request_shape.tried = tried_;
    return request_shape;
}

auto session::needs_span_group() const -> bool
{
    auto const tokens = prompt_tokens_.count();
    auto const needed = tokens + max_output_.count();
    return context_.targets.read(
        profile_.service,
        [&]( routing::target_list const& all )
        {
            return std::none_of( all.begin(), all.end(),
                                 [&]( auto const& each )
                                 {
                                     return routing::max_memory_for(
                                                *each, tokens ) >= needed;
                                 } );
        } );
}

auto session::choose_target() -> std::optional<routing::target_choice>
{
    auto const request_shape = make_shape();
    auto const now = context_.clock.now();
    return context_.targets.read( profile_.service,
                                  [&]( routing::target_list const& all )
                                  {
                                      return context_.policy.choose(
                                          all, request_shape, now );
                                  } );
}

/// Chooses among the untried targets or, if there is none, among all targets
/// without an open attempt: one that has failed may work again.
auto session::choose_with_retry() -> std::optional<routing::target_choice>
{
    auto choice = choose_target();
    if ( choice )
        return choice;
    tried_ = open_target_ids();
    return choose_target();
}

auto session::open_target_ids() const -> std::vector<core::target_id>
{
    auto ids = std::vector<core::target_id>{};
    for ( auto const* const each : { &current_, &silent_ } )
    {
        if ( *each )
            ids.push_back( ( *each )->choice.chosen->identity().id );
    }
    return ids;
}

auto session::admit() -> std::optional<ports::answer_end>
{
    auto const time_left = deadline_ - context_.clock.now();
    auto const capacity =
        context_.targets.read( profile_.service, admission::capacity_of );
    auto const refused = admission::check_capacity(
        capacity, { prompt_tokens_, max_output_, time_left } );
    if ( refused )
        return refusal( refused->reason, refused->detail,
                        refused->retry_after );
    if ( needs_span_group() )
        return std::nullopt;
    auto const choice = choose_target();
    if ( !choice )
        return refusal( "no-target", "no target can take the request",
                        admission::retry_without_target );
    auto const late = admission::check_time( choice->finish, time_left );
    if ( late )
        return refusal( late->reason, late->detail, late->retry_after );
    return std::nullopt;
}

auto session::open_attempt() -> void
{
    if ( finished_ )
        return;
    if ( needs_span_group() )
        open_group();
    else
        open_single_target();
}

auto session::open_single_target() -> void
{
    auto choice = choose_with_retry();
    if ( !choice )
    {
        finish( may_have_run_
                    ? failure( "no-target", "no target is left to go on" )
                    : refusal( "no-target", "no target can take the request",
                               admission::retry_without_target ) );
        return;
    }
    if ( !choice->has_memory )
    {
        wait_for_memory( *choice );
        return;
    }
    send_attempt( std::move( *choice ), nullptr );
}

/// Opens an attempt at another target beside a silent one. The silent attempt
/// stays open, as its engine may still be alive and the other target may be no
/// better.
auto session::open_hedge() -> void
{
    if ( preparing_ || !may_retry() )
        return;
    if ( needs_span_group() )
    {
        // At most two groups of one request hold memory at a time.
        if ( !silent_ && context_.retries.take() )
            open_group();
        return;
    }
    auto choice = choose_with_retry();
    auto const can_take = choice && choice->has_memory;
    if ( !can_take || !context_.retries.take() )
        return;
    context_.metrics.retries.add();
    set_current_aside();
    send_attempt( std::move( *choice ), nullptr );
}

/// Empties `current_` for a new attempt. If `silent_` is already in use, the
/// current attempt is cancelled: the older one has had more time to progress.
auto session::set_current_aside() -> void
{
    if ( silent_ )
        end_attempt( current_, true );
    else
        silent_ = std::exchange( current_, std::nullopt );
}

/// Makes the silent attempt the current one again. Returns false if there is
/// none.
auto session::return_to_silent() -> bool
{
    if ( !silent_ )
        return false;
    current_ = std::exchange( silent_, std::nullopt );
    if ( current_->prefill_counted && !current_->group )
        arm_stall_check();
    return true;
}

auto session::wait_for_memory( routing::target_choice const& best ) -> void
{
    // Waiting here instead of in the queue of one engine lets the request use
    // the first free memory at any engine.
    auto const now = context_.clock.now();
    // Before the first token the request ends as soon as the predicted time no
    // longer fits; afterwards waiting until the deadline costs the caller
    // nothing.
    auto const has_output = answer_.position() > 0;
    auto const latest_start = has_output ? deadline_ : deadline_ - best.finish;
    auto const when = now + memory_poll_period;
    if ( when > latest_start )
    {
        finish( may_have_run_
                    ? failure( "no-memory", "no target has the memory free" )
                    : refusal( "no-memory", "no target has the memory free",
                               core::duration( 5s ) ) );
        return;
    }
    context_.metrics.memory_waits.add();
    context_.timer.at( when,
                       [self = shared_from_this()]
                       {
                           self->on_open_timer();
                       } );
}

auto session::on_open_timer() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( !finished_ && !current_ )
        open_attempt();
}

auto session::open_group() -> void
{
    auto const group = std::make_shared<span_group>(
        context_, id_.str() + "/" + std::to_string( ++groups_ ),
        prompt_tokens_ + core::token_count( answer_.position() ),
        max_output_ - core::token_count( answer_.position() ), deadline_ );
    preparing_ = group;
    auto const self = shared_from_this();
    // An engine runs one attempt per request: a second one would end the first.
    group->prepare( profile_.service, open_target_ids(),
                    [self, group]( core::result<void> status )
                    {
                        self->on_group_prepared( group, std::move( status ) );
                    } );
}

/// Releases a group in preparation that is no longer needed, and returns its
/// retry to the budget if it was a hedge that did not start.
auto session::release_preparing() -> void
{
    auto const group = std::exchange( preparing_, nullptr );
    if ( !group )
        return;
    if ( ( current_ || silent_ ) && !group->prefill_started() )
        context_.retries.give_back();
    group->release();
}

auto session::on_group_prepared( std::shared_ptr<span_group> const& group,
                                 core::result<void> status ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    may_have_run_ = may_have_run_ || group->prefill_started();
    if ( finished_ || group != preparing_ )
    {
        group->release();
        return;
    }
    preparing_.reset();
    if ( !status )
    {
        on_group_failed( group->prefill_started(), status.error() );
        return;
    }
    if ( current_ )
    {
        context_.metrics.retries.add();
        set_current_aside();
    }
    auto choice = routing::target_choice{};
    choice.chosen = group->decode_target();
    choice.cached_tokens = prompt_tokens_.count() + answer_.position();
    send_attempt( std::move( choice ), group );
}

auto session::on_group_failed( bool started, core::error const& why ) -> void
{
    if ( current_ )
    {
        // The silent attempt is still open and may continue.
        if ( !started )
            context_.retries.give_back();
        return;
    }
    if ( started )
        retry_or_fail( why );
    else
        finish( may_have_run_ ? failure( "no-memory", why.detail )
                              : refusal( "no-memory", why.detail,
                                         core::duration( 10s ) ) );
}

auto session::arm_deadline() -> void
{
    auto const weak = weak_from_this();
    context_.timer.at( deadline_,
                       [weak]
                       {
                           if ( auto const self = weak.lock() )
                               self->abandon( "deadline" );
                       } );
}

auto session::arm_keep_alive() -> void
{
    auto const weak = weak_from_this();
    context_.timer.at( context_.clock.now() + keep_alive_period,
                       [weak]
                       {
                           if ( auto const self = weak.lock() )
                               self->on_keep_alive();
                       } );
}

auto session::on_keep_alive() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( finished_ )
        return;
    if ( !sink_->keep_alive() )
    {
        context_.metrics.callers_gone.add();
        finish( failure( "caller-gone", "the caller closed its connection" ) );
        return;
    }
    if ( is_current_silent( context_.clock.now() ) )
        recover_silent_current();
    if ( !finished_ )
        arm_keep_alive();
}

auto session::abandon( std::string const& reason ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( !finished_ )
        finish( failure( reason, "the request was ended: " + reason ) );
}

auto session::end_attempt( std::optional<attempt>& target_attempt, bool cancel )
    -> void
{
    if ( !target_attempt )
        return;
    auto const ended = std::exchange( target_attempt, std::nullopt );
    // A cancelled attempt may have run.
    may_have_run_ = may_have_run_ || cancel;
    auto& chosen = *ended->choice.chosen;
    if ( ended->prefill_counted )
        chosen.end_prefill( ended->work );
    chosen.end_dispatch( ended->work );
    if ( ended->previous && ended->previous->stream )
        ended->previous->stream->detach();
    if ( cancel && ended->latest.stream )
    {
        context_.metrics.cancels.add();
        ended->latest.stream->cancel();
    }
    if ( ended->group )
        ended->group->release();
}

auto session::failure( std::string reason, std::string detail ) const
    -> ports::answer_end
{
    auto end = ports::answer_end{};
    end.status = ports::answer_status::failed;
    end.reason = std::move( reason );
    end.detail = std::move( detail );
    end.prompt_tokens = prompt_tokens_;
    end.output_tokens = core::token_count( answer_.position() );
    return end;
}

auto session::refusal( std::string reason,
                       std::string detail,
                       std::optional<core::duration> retry_after ) const
    -> ports::answer_end
{
    auto end = failure( std::move( reason ), std::move( detail ) );
    end.status = ports::answer_status::not_run;
    end.retry_after = retry_after;
    return end;
}

auto session::finish( ports::answer_end const& end ) -> void
{
    if ( std::exchange( finished_, true ) )
        return;
    auto const is_complete = end.status == ports::answer_status::complete;
    auto const is_not_run = end.status == ports::answer_status::not_run;
    core::check_invariant( core::invariant::not_run_is_true,
                           !is_not_run || !may_have_run_, id_.str() );
    core::check_invariant( core::invariant::ends_in_time,
                           context_.clock.now() <= deadline_ + deadline_slack,
                           id_.str() );
    core::check_invariant( core::invariant::answer_is_whole,
                           !is_complete || answer_.is_fully_taken(),
                           id_.str() );
    release_preparing();
    end_attempt( current_, !is_complete );
    end_attempt( silent_, !is_complete );
    if ( is_complete )
        context_.metrics.completed.add();
    else if ( is_not_run )
        context_.metrics.refusals.add( end.reason );
    else
        context_.metrics.failed.add();
    sink_->finish( end );
}
}
