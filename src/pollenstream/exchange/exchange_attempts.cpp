#include <pollenstream/core/invariant.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// The part of an exchange's life at targets: each try, from its sending to its
// closing, and whether another one follows.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Connections that could not be made do not count as targets reached, but a
/// request does not try for ever. An answer that has begun goes on trying until
/// its time is over, at this pause.
constexpr auto most_failed_connects = std::int64_t{ 4 };
constexpr auto connect_pause = core::duration( 250ms );
/// Retry-After where no repeat is left for what has not run.
constexpr auto retry_after_no_repeat = core::duration( 400ms );
/// Time that has to be left for another try to be worth it.
constexpr auto least_time_for_try = core::duration( 40ms );

}

/// Passes a target's answer on under the number of the try that it belongs
/// to, and keeps the exchange alive meanwhile.
class exchange::attempt : public attempt_listener
{
public:
    attempt( std::shared_ptr<exchange> owner, std::uint64_t serial )
        : owner_( std::move( owner ) ), serial_( serial )
    {
    }
    auto on_head( answer_head head ) -> void override
    {
        auto const keep = owner_;
        keep->on_head( serial_, std::move( head ) );
    }
    auto on_body( std::string bytes ) -> void override
    {
        auto const keep = owner_;
        keep->on_body( serial_, bytes );
    }
    auto on_end( attempt_end end ) -> void override
    {
        auto const keep = owner_;
        keep->on_end( serial_, end );
    }

private:
    std::shared_ptr<exchange> owner_;
    std::uint64_t serial_;
};

auto exchange::directions( placement_choice const& choice,
                           std::shared_ptr<reservation_group> const& memory )
    const -> target_directions
{
    auto told = target_directions{};
    told.target = choice.targets.front()->properties.id;
    told.time_left = deadline_ - shared_.scheduler.now();
    told.workspace = workspace_;
    told.last_event = last_event_;
    auto const ticket = memory ? memory->id() : core::reservation_id{};
    // With memory held the first target lists its own part too, in front.
    for ( auto i = std::size_t{ memory ? 0U : 1U }; i < choice.targets.size();
          ++i )
        told.helpers.push_back(
            { choice.targets[i]->properties.address, ticket } );
    return told;
}

/// Counts the work on the board and tells those who place prompts of it.
auto exchange::add_work( placement_grant const& grant ) -> void
{
    auto work = open_work{};
    work.serial = grant.serial;
    work.parts = grant.choice.parts;
    work.context_tokens = demand_.prompt_tokens;
    work.tolerated_gap_ms = core::milliseconds_of( demand_.gap_objective );
    work.prefilling = route_->kind == request_kind::stream;
    work.is_suspect = is_suspect_;
    work.reserves = grant.choice.needs_reservation;
    shared_.loads.add_work( shared_.self, work, shared_.scheduler.now() );
    for ( auto const& target : grant.choice.targets )
        spends_limit_ = spends_limit_ || target->limit.per_second();
    if ( is_told_to_others() )
        shared_.announcer.work_began( work );
    else
        shared_.loads.note_unreported( work.parts, shared_.scheduler.now() );
}

auto exchange::send( placement_grant const& grant,
                     std::shared_ptr<reservation_group> memory ) -> void
{
    if ( !take_repeat() )
    {
        if ( memory )
            memory->release();
        return on_no_repeat( grant );
    }
    auto const now = shared_.scheduler.now();
    auto const& choice = grant.choice;
    auto const& first = *choice.targets.front();
    core::check_invariant(
        core::invariant::leaving_gets_no_work, first.takes_work() || memory,
        "target " + first.properties.id.str() + " is leaving" );
    core::check_invariant( core::invariant::pause_holds,
                           !shared_.loads.is_paused( first.ref(), now ),
                           "target " + first.properties.id.str() +
                               " is paused" );
    core::check_invariant( core::invariant::quarantine_holds, !is_quarantined(),
                           "content " + to_string( content_ ) + " sent" );
    ++targets_reached_;
    core::check_invariant( core::invariant::at_most_once,
                           route_->is_idempotent() || !may_have_run_,
                           "attempt " + request_.id.str() + " sent again" );
    auto const serial = grant.serial;
    shared_.log.record( request_placed{
        request_.id, content_, route_->id.str(), first.properties.id,
        choice.parts, targets_reached_, now - request_.received,
        deadline_ - now, choice.first_event_ms, demand_.prompt_tokens,
        choice.basis, configuration_->version, grant.decided_by,
        last_ask_time_ } );

    current_ = target_attempt{};
    auto& opened = *current_;
    opened.serial = serial;
    opened.target = first.ref();
    opened.address = first.properties.address;
    opened.memory = std::move( memory );
    opened.predicted_ms = choice.first_event_ms;
    opened.sent_at = now;
    opened.heard_at = now;
    opened.watched_from = now;
    last_target_ = first.properties.id;
    auto out = outgoing_request{};
    out.id = request_.id;
    out.target = first.properties.id;
    out.lifetime = first.properties.lifetime;
    out.address = first.properties.address;
    out.is_get = request_.method == "GET";
    out.text = std::make_shared<std::string const>( shared_.encoder.encode(
        request_, directions( choice, opened.memory ) ) );
    auto call = shared_.targets.send(
        std::move( out ),
        std::make_shared<attempt>( shared_from_this(), serial ) );
    if ( current_ && current_->serial == serial )
        current_->call = std::move( call );
    arm_watch();
}

auto exchange::may_repeat() -> bool
{
    if ( may_have_run_ && !route_->is_idempotent() )
        return false;
    if ( is_quarantined() )
        return false;
    auto const now = shared_.scheduler.now();
    auto const connects_left =
        streaming_ || connects_failed_ < most_failed_connects;
    return targets_reached_ < route_->max_targets && connects_left &&
           deadline_ - now > least_time_for_try;
}

/// True where a repeat is left for now. It is taken when it is sent: what waits
/// for room takes nothing from others.
auto exchange::has_repeat() -> bool
{
    return targets_reached_ == 0 ||
           shared_.retries.can_take( demand_.service, shared_.scheduler.now() );
}

auto exchange::take_repeat() -> bool
{
    if ( targets_reached_ == 0 )
        return true;
    if ( !may_repeat() ||
         !shared_.retries.take( demand_.service, shared_.scheduler.now() ) )
        return false;
    shared_.counters.repeats.add();
    if ( streaming_ )
        shared_.counters.resumed.add();
    return true;
}

/// The place came too late, or others have used up the budget meanwhile.
auto exchange::on_no_repeat( placement_grant const& grant ) -> void
{
    release( grant.serial, work_outcome::none );
    turn_down( "no_repeat_left", retry_after_no_repeat );
}

auto exchange::avoid( core::target_id const& target ) -> void
{
    auto& tried = demand_.tried;
    if ( std::find( tried.begin(), tried.end(), target ) == tried.end() )
        tried.push_back( target );
}

auto exchange::record_failure( target_attempt const& which,
                               std::string why,
                               bool may_have_run,
                               std::string decision ) -> void
{
    shared_.log.record( attempt_failed{
        request_.id, content_, which.target.id, std::move( why ), may_have_run,
        std::move( decision ), shared_.scheduler.now() - which.heard_at,
        events_, std::exchange( watch_late_, {} ) } );
}

auto exchange::try_again( std::string const& why,
                          bool may_have_run,
                          core::target_id const& avoided ) -> bool
{
    auto const again = may_repeat() && has_repeat();
    record_failure( *current_, why, may_have_run,
                    again ? "send_again" : "give_up" );
    if ( !again )
        return false;
    avoid( avoided );
    close_attempt( true );
    if ( connects_failed_ >= most_failed_connects )
        not_before_ = shared_.scheduler.now() + connect_pause;
    if ( !try_start() )
        wait_for_room();
    return true;
}

auto exchange::close_attempt( bool cancel, work_outcome outcome ) -> void
{
    if ( current_ )
        watch_call_.reset();
    close( current_, cancel, outcome );
}

auto exchange::close_silent() -> void
{
    close( silent_, true, work_outcome::none );
}

auto exchange::close_all() -> void
{
    close_attempt( true );
    close_silent();
}

auto exchange::close( std::optional<target_attempt>& which,
                      bool cancel,
                      work_outcome outcome ) -> void
{
    if ( !which )
        return;
    auto gone = std::move( *which );
    which.reset();
    if ( cancel && gone.call )
        gone.call->cancel();
    if ( gone.memory )
        gone.memory->release();
    release( gone.serial, outcome );
    shared_.queue.schedule_round();
}

}
