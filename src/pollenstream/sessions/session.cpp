#include <pollenstream/admission/admission_check.hpp>
#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/routing/size_class.hpp>
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
/// A stream without any event for this long after its first token is taken
/// for a connection that went silent.
constexpr auto silence_limit = core::duration( 5s );
/// Before the first token silence is allowed for this many times longer than
/// predicted.
constexpr auto silence_per_predicted = 3;
/// How far an answer may end behind its deadline: the timer's and the
/// threads' own delay.
constexpr auto deadline_slack = admission::retry_without_target;
/// Answers shorter than this in prompt tokens count as short.
constexpr auto short_prompt = std::int64_t{ 2'000 };
/// A small prompt without a first token after this long and this many times
/// the prediction is moved to another target, so often at most.
constexpr auto shortest_stall = core::duration( 400ms );
constexpr auto stall_per_predicted = 4;
constexpr auto most_moves = 3;
constexpr auto shortest_retry_pause = core::duration( 20ms );
/// How often a request that waits for memory looks for it.
constexpr auto park_period = core::duration( 25ms );

/// The first retry goes out at once, to another target. Later ones pause, for
/// a time that doubles and is spread by a hash, so that the requests of a
/// target that died do not fall upon the next one together.
auto pause_before_retry( core::request_id const& request,
                         std::int64_t attempts ) -> core::duration
{
    if ( attempts <= 1 )
        return core::duration( 0 );
    constexpr auto most_doublings = std::int64_t{ 5 };
    auto const doublings = std::min( attempts - 2, most_doublings );
    auto const width = shortest_retry_pause * ( 1 << doublings );
    auto const spread =
        core::stable_hash( request.str(),
                           static_cast<std::uint64_t>( attempts ) ) %
        static_cast<std::uint64_t>( width.count() );
    return width + core::duration( static_cast<std::int64_t>( spread ) );
}

/// Takes a target that could not be reached, or did not answer, out of choice
/// until a probe of it succeeds.
auto suspect( routing::target& t, core::error_code why, core::instant now )
    -> void
{
    auto const is_dead = why == core::error_code::unreachable ||
                         why == core::error_code::timed_out ||
                         why == core::error_code::connection_lost;
    if ( is_dead && t.phase() == routing::target_phase::alive )
        t.set_phase( routing::target_phase::suspect, now );
}

}

/// Passes an engine's events on under the number of the attempt that it was
/// made for, and keeps the session alive meanwhile.
class session::attempt_listener : public ports::stream_listener
{
public:
    attempt_listener( std::shared_ptr<session> owner,
                      core::attempt_number number,
                      std::int64_t over )
        : owner_( std::move( owner ) ), number_( number ), over_( over )
    {
    }

    auto on_events( std::vector<ports::engine_event> const& events )
        -> void override
    {
        owner_->on_events( number_, over_, events );
    }

    auto on_end( core::result<void> status ) -> void override
    {
        owner_->on_stream_end( number_, over_, std::move( status ) );
    }

private:
    std::shared_ptr<session> owner_;
    core::attempt_number number_;
    std::int64_t over_;
};

auto session::attempt::hears( std::int64_t over ) const -> bool
{
    return over == latest.number || ( former && over == former->number );
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

auto session::shape() const -> routing::work_shape
{
    auto s = routing::work_shape{};
    s.order = profile_.order;
    s.prompt_tokens = prompt_tokens_.count() + answer_.position();
    s.output_tokens = max_output_.count() - answer_.position();
    s.prefixes = prefixes_;
    s.places = profile_.places;
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
                                     return routing::most_memory_for(
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

auto session::make_engine_request( attempt const& of ) const
    -> ports::engine_request
{
    auto r = ports::engine_request{};
    r.request = id_;
    r.attempt = of.number;
    r.owner = shared_.self;
    r.priority = profile_.order;
    r.prompt = wanted_.prompt;
    r.prompt_tokens = prompt_tokens_;
    r.prefixes = prefixes_;
    r.delivered = answer_.text();
    r.from_position = answer_.position();
    r.max_tokens = max_output_;
    r.time_left = deadline_ - shared_.clock.now();
    if ( of.group )
        r.spans = of.group->reservations();
    return r;
}

auto session::send_attempt( routing::target_choice choice,
                            std::shared_ptr<span_group> group ) -> void
{
    auto const now = shared_.clock.now();
    auto const number = core::attempt_number( ++attempts_ );
    auto const in_group = group != nullptr;
    if ( attempts_ == 1 )
        shared_.metrics.queue_time.add( core::seconds_of( now - admitted_ ) );
    auto work = routing::dispatched_work{};
    work.order = profile_.order;
    work.prompt_tokens = std::max( std::int64_t{ 0 },
                                   prompt_tokens_.count() + answer_.position() -
                                       choice.cached_tokens );
    work.memory_tokens =
        in_group ? 0 : prompt_tokens_.count() + max_output_.count();
    // The spans of a group were placed, and checked, when they were reserved.
    core::check_invariant( core::invariant::leaving_gets_no_work,
                           in_group || choice.chosen->may_get_work( now ),
                           choice.chosen->identity().id.str() );
    choice.chosen->add_dispatch( work );
    if ( !in_group )
        shared_.policy.note_dispatch( choice, shape(), now );
    tried_.push_back( choice.chosen->identity().id );
    auto const endpoint = choice.chosen->endpoint();
    current_ =
        attempt{ number, std::move( choice ), work, now, std::move( group ) };
    auto const over = current_->latest.number;
    auto listener =
        std::make_shared<attempt_listener>( shared_from_this(), number, over );
    add_stream( number, over,
                shared_.engines.open( endpoint,
                                      make_engine_request( *current_ ),
                                      std::move( listener ) ) );
    if ( current_ && !in_group )
        arm_stall_check();
}

/// Keeps a stream that was opened, unless it has ended meanwhile.
auto session::add_stream( core::attempt_number to,
                          std::int64_t over,
                          std::shared_ptr<ports::engine_stream> stream ) -> void
{
    auto* const which = find_attempt( to );
    if ( !which )
        stream->cancel();
    else if ( which->latest.number == over )
        which->latest.stream = std::move( stream );
}

auto session::find_attempt( core::attempt_number number ) -> attempt*
{
    for ( auto* const each : { &current_, &silent_ } )
    {
        if ( *each && ( *each )->number == number )
            return &**each;
    }
    return nullptr;
}

auto session::arm_stall_check() -> void
{
    auto const is_small = routing::size_of( prompt_tokens_.count() ) ==
                          routing::size_class::small;
    if ( !is_small || moves_ == most_moves )
        return;
    auto const limit =
        shortest_stall + stall_per_predicted * current_->choice.first_token;
    shared_.timer.at( shared_.clock.now() + limit,
                      [weak = weak_from_this(), number = current_->number]
                      {
                          if ( auto const self = weak.lock() )
                              self->on_stall_check( number );
                      } );
}

auto session::on_stall_check( core::attempt_number number ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto const is_waiting = !finished_ && current_ &&
                            current_->number == number &&
                            current_->prefill_counted;
    if ( !is_waiting )
        return;
    // What it was sent by was wrong: the engine has no room, or is slower than
    // it said. It may still be the first to answer.
    auto choice = choose_again();
    if ( !choice || !choice->has_memory )
    {
        arm_stall_check();
        return;
    }
    ++moves_;
    shared_.metrics.moves.add();
    set_aside();
    send_attempt( std::move( *choice ), nullptr );
}

auto session::on_events( core::attempt_number from,
                         std::int64_t over,
                         std::vector<ports::engine_event> const& events )
    -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto* const which = finished_ ? nullptr : find_attempt( from );
    if ( !which || !which->hears( over ) )
    {
        shared_.metrics.stray_events.add( events.size() );
        return;
    }
    which->heard = shared_.clock.now();
    if ( take_events( *which, events ) )
    {
        go_on_over( *which, over );
        go_on_with( *which );
    }
    flush();
}

/// True where a part of the answer was among the events.
auto session::take_events( attempt& from,
                           std::vector<ports::engine_event> const& events )
    -> bool
{
    auto has_spoken = false;
    for ( auto const& event : events )
    {
        if ( event.load )
        {
            auto const& at = from.choice.chosen;
            at->take_report( *event.load, shared_.clock.now() );
            shared_.policy.note_cached( at->identity().id, event.load->cached );
        }
        if ( answer_.take( event, from.number ) )
            has_spoken = true;
        else
            shared_.metrics.stray_events.add();
    }
    return has_spoken;
}

/// The connection that has spoken is kept, and no other.
auto session::go_on_over( attempt& spoken, std::int64_t over ) -> void
{
    if ( !spoken.former )
        return;
    if ( spoken.latest.number != over )
        std::swap( spoken.latest, *spoken.former );
    if ( spoken.former->stream )
        spoken.former->stream->detach();
    spoken.former.reset();
}

/// The attempt that has spoken is kept, and no other.
auto session::go_on_with( attempt& spoken ) -> void
{
    if ( silent_ )
    {
        if ( spoken.number == silent_->number )
            std::swap( current_, silent_ );
        end_attempt( silent_, true );
    }
    drop_preparing();
    // The first token of an attempt, not only of the answer: it has read.
    if ( std::exchange( current_->prefill_counted, false ) )
        current_->choice.chosen->end_prefill( current_->work );
}

auto session::flush() -> void
{
    if ( !answer_.has_ready() )
        return;
    auto const ready = answer_.take_ready();
    auto const now = shared_.clock.now();
    if ( !last_token_ )
        note_first_token();
    else
        shared_.metrics.token_gap.add( core::seconds_of( now - *last_token_ ) /
                                       static_cast<double>( ready.tokens ) );
    last_token_ = now;
    if ( sink_->write( ready.text, ready.tokens ) )
        return;
    shared_.metrics.callers_gone.add();
    finish( failure( "caller-gone", "the caller closed its connection" ) );
}

auto session::note_first_token() -> void
{
    auto const took = shared_.clock.now() - admitted_;
    shared_.metrics.add_first_token( prompt_tokens_, took );
    auto const& chosen = *current_->choice.chosen;
    shared_.policy.note_first_token( current_->choice, shape(), took );
    auto const predicted = core::seconds_of( current_->choice.first_token );
    if ( predicted > 0 )
        shared_.metrics.prediction.add( core::seconds_of( took ) / predicted );
    if ( prompt_tokens_.count() > short_prompt )
        return;
    auto const alone = static_cast<double>( prompt_tokens_.count() ) /
                           std::max( 1.0, chosen.prefill_rate() ) +
                       chosen.step_seconds();
    if ( alone > 0 )
        shared_.metrics.short_slowdown.add( core::seconds_of( took ) / alone );
}

auto session::on_stream_end( core::attempt_number from,
                             std::int64_t over,
                             core::result<void> status ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto* const which = finished_ ? nullptr : find_attempt( from );
    if ( !which || !which->hears( over ) )
        return;
    if ( answer_.has_ended() )
    {
        auto end = ports::answer_end{};
        end.prompt_tokens = prompt_tokens_;
        end.output_tokens = core::token_count( answer_.position() );
        finish( end );
        return;
    }
    auto why = core::error{ core::error_code::connection_lost,
                            "the stream ended before its last event" };
    if ( !status )
        why = status.error();
    auto const is_new = which->latest.number == over;
    // Not where it may only not have come to the request yet.
    auto const knows_nothing = is_new && !which->prefill_counted &&
                               why.code == core::error_code::not_found;
    if ( !knows_nothing && keeps_other_connection( *which, over ) )
    {
        // A new connection that ends has not shown the engine to be well.
        if ( is_new )
            on_twice_silent( *which, why.code );
        return;
    }
    auto const may_still_run = !core::proves_not_run( why.code ) &&
                               why.code != core::error_code::failed;
    if ( may_still_run && !which->resumed_at )
        resume( *which, false );
    else
        lose( *which, why );
}

/// True where the engine may still speak over another connection than the one
/// that ended: a new one that cannot be made proves nothing of the old one.
auto session::keeps_other_connection( attempt& of, std::int64_t ended ) -> bool
{
    if ( !of.former )
        return false;
    if ( of.latest.number == ended )
        of.latest = *of.former;
    of.former.reset();
    return true;
}

/// Reads on over a new connection. The first one, where it has not ended, stays
/// beside it until one of them speaks: they carry the same run's events.
auto session::resume( attempt& which, bool keeps_former ) -> void
{
    auto const now = shared_.clock.now();
    if ( !which.resumed_at )
        which.heard = now;
    which.resumed_at = now;
    shared_.metrics.resumes.add();
    if ( keeps_former && !which.former )
        which.former = which.latest;
    else if ( which.latest.stream )
        which.latest.stream->detach();
    auto const number = which.number;
    auto const over = ++which.connections;
    which.latest.number = over;
    auto const endpoint = which.choice.chosen->endpoint();
    auto listener =
        std::make_shared<attempt_listener>( shared_from_this(), number, over );
    add_stream( number, over,
                shared_.engines.resume( endpoint, make_engine_request( which ),
                                        std::move( listener ) ) );
}

/// Ends an attempt whose engine will not go on with it.
auto session::lose( attempt const& which, core::error const& why ) -> void
{
    // A resume that is turned away proves nothing of the run itself.
    auto const not_run = !which.resumed_at && core::proves_not_run( why.code );
    suspect( *which.choice.chosen, why.code, shared_.clock.now() );
    auto const is_silent_one = silent_ && which.number == silent_->number;
    end_attempt( is_silent_one ? silent_ : current_, !not_run );
    auto const goes_on = current_ || go_back() || preparing_;
    if ( !goes_on )
        retry_elsewhere( why );
}

auto session::may_retry() const -> bool
{
    return attempts_ - moves_ <= profile_.retries;
}

auto session::retry_elsewhere( core::error const& why ) -> void
{
    if ( !may_retry() || !shared_.retries.take() )
    {
        finish( ran_ ? failure( "target-failed", why.detail )
                     : refusal( "no-target", why.detail,
                                admission::retry_without_target ) );
        return;
    }
    shared_.metrics.retries.add();
    auto const pause = pause_before_retry( id_, attempts_ - moves_ );
    if ( pause == core::duration( 0 ) )
    {
        open_next();
        return;
    }
    shared_.timer.at( shared_.clock.now() + pause,
                      [self = shared_from_this()]
                      {
                          self->open_again();
                      } );
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

auto session::is_silent( core::instant now ) const -> bool
{
    if ( !current_ )
        return false;
    auto limit = silence_limit;
    if ( current_->prefill_counted )
        limit += silence_per_predicted * current_->choice.first_token;
    return now - current_->heard > limit;
}

auto session::recover_silent_stream() -> void
{
    // The connection may have been forgotten by something between the two
    // ends while the engine is well: a new one shows which.
    if ( !current_->resumed_at )
    {
        resume( *current_, true );
        return;
    }
    auto const number = current_->number;
    on_twice_silent( *current_, core::error_code::timed_out );
    auto const is_left_alone = current_ && current_->number == number;
    auto const now = shared_.clock.now();
    if ( is_left_alone && now - *current_->resumed_at > silence_limit )
        resume( *current_, true );
}

/// Takes the engine out of choice until it answers a probe, and looks for
/// another to answer before it.
auto session::on_twice_silent( attempt& which, core::error_code why ) -> void
{
    if ( !std::exchange( which.suspected, true ) )
        suspect( *which.choice.chosen, why, shared_.clock.now() );
    if ( which.number == current_->number )
        open_beside();
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
