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

/// How often a waiting caller is shown that its request lives; also the time
/// within which a caller that has gone is noticed.
constexpr auto keep_alive_period = core::duration( 1s );
/// How far an answer may end behind its deadline: the timer's and the
/// threads' own delay.
constexpr auto deadline_slack = admission::retry_without_target;
/// How often a request that waits for memory looks for it.
constexpr auto park_period = core::duration( 25ms );

}

session::session( context& shared,
                  request wanted,
                  profiles::profile profile,
                  std::shared_ptr<ports::answer_sink> sink )
    : shared_( shared ), id_( shared.new_request_id() ),
      wanted_( std::move( wanted ) ), profile_( std::move( profile ) ),
      sink_( std::move( sink ) ),
      prompt_tokens_( core::estimate_tokens( *wanted_.prompt ) ),
      max_output_( std::min( wanted_.max_output.value_or( profile_.max_output ),
                             profile_.max_output ) ),
      prefixes_( core::mark_prefixes( *wanted_.prompt ) ), answer_( id_ )
{
    shared_.open_sessions.fetch_add( 1 );
}

session::~session()
{
    core::check_invariant( core::invariant::ends_in_time, finished_,
                           "session of " + id_.str() + " dropped open" );
    core::check_invariant( core::invariant::memory_is_returned,
                           !current_ && !silent_ && !preparing_,
                           "session of " + id_.str() + " holds an attempt" );
    shared_.open_sessions.fetch_sub( 1 );
}

auto session::start() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    shared_.metrics.started.add();
    admitted_ = shared_.clock.now();
    auto limit = profiles::time_limit( profile_, prompt_tokens_ );
    if ( wanted_.time_limit )
        limit = std::min( limit, *wanted_.time_limit );
    deadline_ = admitted_ + limit;
    if ( auto const refused = admit() )
    {
        finish( *refused );
        return;
    }
    shared_.retries.note_request();
    arm_deadline();
    arm_keep_alive();
    open_next();
}

auto session::shape() const -> routing::request_shape
{
    auto s = routing::request_shape{};
    s.priority = profile_.order;
    s.prompt_tokens = prompt_tokens_.count() + answer_.position();
    s.output_tokens = max_output_.count() - answer_.position();
    s.prefixes = prefixes_;
    s.data_centres = profile_.data_centres;
    s.tried = tried_;
    return s;
}

auto session::needs_span_group() const -> bool
{
    auto const tokens = prompt_tokens_.count();
    auto const needed = tokens + max_output_.count();
    return shared_.targets.read(
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
    auto const wanted = shape();
    auto const now = shared_.clock.now();
    return shared_.targets.read( profile_.service,
                                 [&]( routing::target_list const& all )
                                 {
                                     return shared_.policy.choose( all, wanted,
                                                                   now );
                                 } );
}

/// A choice out of all targets where each has been tried: one that failed may
/// work again. Where an attempt is open no other is made.
auto session::choose_again() -> std::optional<routing::target_choice>
{
    auto choice = choose_target();
    if ( choice )
        return choice;
    tried_ = open_ids();
    return choose_target();
}

auto session::open_ids() const -> std::vector<core::target_id>
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
    auto const time_left = deadline_ - shared_.clock.now();
    auto const capacity =
        shared_.targets.read( profile_.service, admission::capacity_of );
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

auto session::open_next() -> void
{
    if ( finished_ )
        return;
    if ( needs_span_group() )
        open_group();
    else
        open_single();
}

auto session::open_single() -> void
{
    auto choice = choose_again();
    if ( !choice )
    {
        finish( ran_ ? failure( "no-target", "no target is left to go on" )
                     : refusal( "no-target", "no target can take the request",
                                admission::retry_without_target ) );
        return;
    }
    if ( !choice->has_memory )
    {
        park( *choice );
        return;
    }
    send_attempt( std::move( *choice ), nullptr );
}

/// Looks for a target to answer instead of a silent engine, which stays open:
/// it may live, and the target that is found may be no better.
auto session::open_beside() -> void
{
    if ( preparing_ || !may_retry() )
        return;
    if ( needs_span_group() )
    {
        // A third group would hold memory beside the two.
        if ( !silent_ && shared_.retries.take() )
            open_group();
        return;
    }
    auto choice = choose_again();
    auto const can_take = choice && choice->has_memory;
    if ( !can_take || !shared_.retries.take() )
        return;
    shared_.metrics.retries.add();
    set_aside();
    send_attempt( std::move( *choice ), nullptr );
}

/// Makes room for one more attempt. Of two silent ones the first, which has
/// had more time, is kept.
auto session::set_aside() -> void
{
    if ( silent_ )
        end_attempt( current_, true );
    else
        silent_ = std::exchange( current_, std::nullopt );
}

/// True where a silent engine is still open, which may go on.
auto session::go_back() -> bool
{
    if ( !silent_ )
        return false;
    current_ = std::exchange( silent_, std::nullopt );
    if ( current_->prefill_counted && !current_->group )
        arm_stall_check();
    return true;
}

auto session::park( routing::target_choice const& best ) -> void
{
    // In an engine's queue it would wait for one engine's memory; here it
    // waits for the first that comes free at any of them.
    auto const now = shared_.clock.now();
    // The caller who has a part of the answer loses nothing by waiting on.
    auto const has_begun = answer_.position() > 0;
    auto const latest = has_begun ? deadline_ : deadline_ - best.finish;
    auto const when = now + park_period;
    if ( when > latest )
    {
        finish( ran_ ? failure( "no-memory", "no target has the memory free" )
                     : refusal( "no-memory", "no target has the memory free",
                                core::duration( 5s ) ) );
        return;
    }
    shared_.metrics.parks.add();
    shared_.timer.at( when,
                      [self = shared_from_this()]
                      {
                          self->open_again();
                      } );
}

auto session::open_again() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( !finished_ && !current_ )
        open_next();
}

auto session::open_group() -> void
{
    auto const group = std::make_shared<span_group>(
        shared_, id_.str() + "/" + std::to_string( ++groups_ ),
        prompt_tokens_ + core::token_count( answer_.position() ),
        max_output_ - core::token_count( answer_.position() ), deadline_ );
    preparing_ = group;
    auto const self = shared_from_this();
    // An engine runs one attempt of a request: a second would end the first.
    group->prepare( profile_.service, open_ids(),
                    [self, group]( core::result<void> status )
                    {
                        self->on_group_ready( group, std::move( status ) );
                    } );
}

/// Gives a group up that is not needed any more.
auto session::drop_preparing() -> void
{
    auto const group = std::exchange( preparing_, nullptr );
    if ( !group )
        return;
    if ( ( current_ || silent_ ) && !group->started() )
        shared_.retries.give_back();
    group->release();
}

auto session::on_group_ready( std::shared_ptr<span_group> const& group,
                              core::result<void> status ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    ran_ = ran_ || group->started();
    if ( finished_ || group != preparing_ )
    {
        group->release();
        return;
    }
    preparing_.reset();
    if ( !status )
    {
        on_group_failed( group->started(), status.error() );
        return;
    }
    if ( current_ )
    {
        shared_.metrics.retries.add();
        set_aside();
    }
    auto choice = routing::target_choice{};
    choice.chosen = group->lead();
    choice.cached_tokens = prompt_tokens_.count() + answer_.position();
    send_attempt( std::move( choice ), group );
}

auto session::on_group_failed( bool started, core::error const& why ) -> void
{
    if ( current_ )
    {
        // The silent engine may still speak.
        if ( !started )
            shared_.retries.give_back();
        return;
    }
    if ( started )
        retry_elsewhere( why );
    else
        finish(
            ran_ ? failure( "no-memory", why.detail )
                 : refusal( "no-memory", why.detail, core::duration( 10s ) ) );
}

auto session::arm_deadline() -> void
{
    auto const weak = weak_from_this();
    shared_.timer.at( deadline_,
                      [weak]
                      {
                          if ( auto const self = weak.lock() )
                              self->abandon( "deadline" );
                      } );
}

auto session::arm_keep_alive() -> void
{
    auto const weak = weak_from_this();
    shared_.timer.at( shared_.clock.now() + keep_alive_period,
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
        shared_.metrics.callers_gone.add();
        finish( failure( "caller-gone", "the caller closed its connection" ) );
        return;
    }
    if ( is_silent( shared_.clock.now() ) )
        recover_silent_stream();
    if ( !finished_ )
        arm_keep_alive();
}

auto session::abandon( std::string const& reason ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( !finished_ )
        finish( failure( reason, "the request was ended: " + reason ) );
}

auto session::end_attempt( std::optional<attempt>& which, bool cancel ) -> void
{
    if ( !which )
        return;
    auto const ended = std::exchange( which, std::nullopt );
    // What has to be cancelled may have run.
    ran_ = ran_ || cancel;
    auto& chosen = *ended->choice.chosen;
    if ( ended->prefill_counted )
        chosen.end_prefill( ended->work );
    chosen.end_dispatch( ended->work );
    if ( ended->former && ended->former->stream )
        ended->former->stream->detach();
    if ( cancel && ended->latest.stream )
    {
        shared_.metrics.cancels.add();
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
    auto const complete = end.status == ports::answer_status::complete;
    auto const not_run = end.status == ports::answer_status::not_run;
    core::check_invariant( core::invariant::not_run_is_true, !not_run || !ran_,
                           id_.str() );
    core::check_invariant( core::invariant::ends_in_time,
                           shared_.clock.now() <= deadline_ + deadline_slack,
                           id_.str() );
    core::check_invariant( core::invariant::answer_is_whole,
                           !complete || answer_.is_whole(), id_.str() );
    drop_preparing();
    end_attempt( current_, !complete );
    end_attempt( silent_, !complete );
    if ( complete )
        shared_.metrics.completed.add();
    else if ( not_run )
        shared_.metrics.refusals.add( end.reason );
    else
        shared_.metrics.failed.add();
    sink_->finish( end );
}
}
