#include <pollenstream/admission/admission_check.hpp>
#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/routing/size_class.hpp>
#include <pollenstream/sessions/session.hpp>
#include <pollenstream/sessions/span_group.hpp>

#include <algorithm>
#include <string>
#include <utility>

// The part of a session's life at engines: each attempt with its connections,
// what it brings, and what its silence or its end leads to.

namespace pollenstream::sessions
{

namespace
{

using namespace std::chrono_literals;

/// A stream without any event for this long after its first token is taken
/// for a connection that went silent.
constexpr auto silence_limit = core::duration( 5s );
/// Before the first token silence is allowed for this many times longer than
/// predicted.
constexpr auto silence_per_predicted = 3;
/// Answers shorter than this in prompt tokens count as short.
constexpr auto short_prompt = std::int64_t{ 2'000 };
/// A small prompt without a first token after this long and this many times
/// the prediction is moved to another target, so often at most.
constexpr auto shortest_stall = core::duration( 400ms );
constexpr auto stall_per_predicted = 4;
constexpr auto most_moves = 3;
constexpr auto shortest_retry_pause = core::duration( 20ms );

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
    work.priority = profile_.order;
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
    auto const is_small = routing::size_class_of( prompt_tokens_.count() ) ==
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

}
