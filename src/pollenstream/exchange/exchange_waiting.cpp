#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// Member functions of exchange that get targets for it: they send placement
// requests, handle grants and refusals, reserve memory, and end the wait when
// the caller's patience runs out.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Minimum pause after a failed reservation of memory.
constexpr auto reservation_pause = core::duration( 150ms );
/// How long memory may be reserved without a sign that the request uses it: the
/// least time, and this multiple of the prediction. Operators count memory that
/// no request uses for 9 s as stuck.
constexpr auto min_unused_hold = core::duration( 8s );
constexpr auto unused_hold_per_prediction = 2.5;
/// Pause after a grant with a target that this instance cannot use. Two
/// instances learn of a change in the registry some tens of milliseconds apart.
constexpr auto registry_pause = core::duration( 40ms );

}

/// Forwards the outcome of one placement request to the exchange and keeps it
/// alive.
class exchange::placement_handler : public placement_listener
{
public:
    placement_handler( std::shared_ptr<exchange> owner, std::uint64_t serial )
        : owner_( std::move( owner ) ), serial_( serial )
    {
    }
    auto on_granted( placement_grant grant ) -> void override
    {
        auto const keep = owner_;
        keep->run(
            [&]
            {
                keep->on_granted( serial_, std::move( grant ) );
            } );
    }
    auto on_refused( placement_refusal refusal ) -> void override
    {
        auto const keep = owner_;
        keep->run(
            [&]
            {
                keep->on_refused( serial_, std::move( refusal ) );
            } );
    }
    auto on_queued( std::size_t waiting ) -> void override
    {
        owner_->placement_queue_size_ = waiting;
    }

private:
    std::shared_ptr<exchange> owner_;
    std::uint64_t serial_;
};

auto exchange::request_placement() -> void
{
    begin_waiting();
    auto const serial = ++context_.last_serial;
    pending_placement_ =
        pending_placement{ serial, nullptr, context_.scheduler.now() };
    auto request = placement_request{};
    request.requester = context_.self;
    request.serial = serial;
    request.attempt = request_.id;
    request.content = content_;
    request.shared_parts = shared_parts();
    request.demand = demand_;
    request.priority = priority_;
    request.may_be_refused = !may_have_run_;
    request.continues_trial = is_trial_;
    auto open = context_.placements.request(
        std::move( request ),
        std::make_shared<placement_handler>( shared_from_this(), serial ) );
    if ( !pending_placement_ || pending_placement_->serial != serial )
        return;
    pending_placement_->open = std::move( open );
    arm_pause_timer();
}

/// Repeats the placement request when a pause ends. The coordinator knows of
/// this instance's pauses only from the placement request, and excludes the
/// paused targets from its choice until it gets a new one.
auto exchange::arm_pause_timer() -> void
{
    if ( demand_.paused.empty() )
        return;
    pause_timer_ = call_after( end_of_pause() - context_.scheduler.now(),
                               &exchange::on_pause_ended );
}

auto exchange::on_pause_ended() -> void
{
    if ( finished_ || !pending_placement_ )
        return;
    stop_waiting();
    if ( !try_start() )
        wait_in_queue();
}

/// When the first pause ends of a target that this request has not tried.
auto exchange::end_of_pause() const -> core::instant
{
    auto const& tried = demand_.tried;
    auto earliest = core::instant::max();
    for ( auto const& p :
          context_.loads.paused( demand_.service, context_.scheduler.now() ) )
        if ( std::find( tried.begin(), tried.end(), p.id ) == tried.end() )
            earliest = std::min( earliest, p.until );
    return earliest;
}

/// All targets have asked this instance to pause. Returns false if the first
/// pause ends within the latency objective, so that the call waits for it. Else
/// gives the request up and returns true.
auto exchange::wait_for_pause( core::instant now ) -> bool
{
    auto const until = end_of_pause();
    if ( until <= request_.received + route_->latency_objective )
    {
        not_before_ = until;
        return false;
    }
    give_up( "targets_paused", until - now );
    return true;
}

auto exchange::is_usable( std::shared_ptr<target_entry> const& target ) const
    -> bool
{
    return target && target->takes_work() &&
           !context_.loads.is_paused( target->ref(), context_.scheduler.now() );
}

auto exchange::on_granted( std::uint64_t serial, placement_grant grant ) -> void
{
    if ( finished_ || !pending_placement_ ||
         pending_placement_->serial != serial )
        return release( grant.serial, work_outcome::none );
    last_placement_time_ =
        context_.scheduler.now() - pending_placement_->requested_at;
    stop_waiting();
    auto const usable =
        std::all_of( grant.choice.targets.begin(), grant.choice.targets.end(),
                     [this]( auto const& t )
                     {
                         return is_usable( t );
                     } );
    if ( usable )
        begin( std::move( grant ) );
    else
        on_unusable_grant( grant );
}

/// Ends the request if it has been quarantined since the grant was requested.
/// Returns true if so.
auto exchange::end_if_quarantined(
    placement_grant const& grant,
    std::shared_ptr<reservation_group> const& reservation ) -> bool
{
    if ( !is_held_back() )
        return false;
    release( grant.serial, work_outcome::none );
    if ( reservation )
        reservation->release();
    end_as_quarantined();
    return true;
}

auto exchange::begin( placement_grant grant ) -> void
{
    is_trial_ = is_trial_ || grant.is_trial;
    if ( end_if_quarantined( grant, nullptr ) )
        return;
    is_suspect_ = grant.is_suspect || context_.crashes.has_suspect( suspects_ );
    // Added before any memory is reserved, so that reports of all open work
    // include it.
    add_work( grant );
    if ( !grant.choice.needs_reservation )
        return send( grant, nullptr );
    auto const& choice = grant.choice;
    auto places = std::vector<target_memory>{};
    for ( auto i = std::size_t{ 0 }; i < choice.targets.size(); ++i )
        places.push_back( { choice.targets[i]->properties.id,
                            choice.targets[i]->properties.address,
                            choice.parts[i].memory_tokens } );
    // A reservation may outlive the process, whose successor counts anew.
    auto const id =
        core::reservation_id( context_.self.str() + "." +
                              std::to_string( context_.incarnation.count() ) +
                              "." + std::to_string( ++context_.last_serial ) );
    auto const max_hold = deadline_ - context_.scheduler.now() + 500ms;
    auto reservation = std::make_shared<reservation_group>(
        context_.reservations, context_.scheduler, id, std::move( places ),
        max_hold, max_unused_hold( choice.first_event_ms ) );
    auto const serial = grant.serial;
    reserving_grant_ = serial;
    reservation->start(
        [self = shared_from_this(), reservation,
         grant = std::move( grant )]( auto status )
        {
            self->run(
                [&]
                {
                    self->on_reservation_result( grant, reservation, status );
                } );
        },
        [owner = weak_from_this(), serial]( auto const& target )
        {
            if ( auto const self = owner.lock() )
                self->run(
                    [&]
                    {
                        self->on_reservation_expired( serial, target );
                    } );
        } );
}

/// How long the request may hold reserved memory before its first event, which
/// is predicted after `predicted_ms`.
auto exchange::max_unused_hold( double predicted_ms ) -> core::duration
{
    constexpr auto milliseconds_per_second = 1'000;
    return std::max(
        min_unused_hold,
        core::duration_of( predicted_ms * unused_hold_per_prediction /
                           milliseconds_per_second ) );
}

auto exchange::on_reservation_result(
    placement_grant const& grant,
    std::shared_ptr<reservation_group> const& reservation,
    core::result<void> const& status ) -> void
{
    if ( reserving_grant_ != grant.serial )
    {
        // The request has ended, or its silent target has sent events again.
        release( grant.serial, work_outcome::none );
        return reservation->release();
    }
    reserving_grant_.reset();
    if ( end_if_quarantined( grant, reservation ) )
        return;
    if ( status.has_error() )
        return on_reservation_failed( grant, status.error() );
    if ( is_still_valid( grant.choice ) )
        return send( grant, reservation );
    reservation->release();
    on_reservation_failed( grant, { core::error_code::expired,
                                    "target restarted, paused or drained" } );
}

/// False if a target of the choice has restarted, which loses the memory
/// reserved there, has asked this instance to pause, or is in a data centre
/// that has been drained since. At a target that leaves, reserved memory is
/// used.
auto exchange::is_still_valid( placement_choice const& choice ) const -> bool
{
    auto const now = context_.scheduler.now();
    return std::all_of( choice.targets.begin(), choice.targets.end(),
                        [this, now]( auto const& t )
                        {
                            return context_.loads.find_lifetime( t->ref() ) ==
                                       t &&
                                   !t->data_centre_drained &&
                                   !context_.loads.is_paused( t->ref(), now );
                        } );
}

/// The targets have less free memory than the load table says, because others
/// may have reserved at the same time. A random part of the pause keeps them
/// from colliding again.
auto exchange::on_reservation_failed( placement_grant const& grant,
                                      core::error const& why ) -> void
{
    context_.log.record( attempt_failed{
        request_.id, content_, grant.choice.targets.front()->properties.id,
        "reservation: " + why.detail, false, "wait", core::duration( 0 ),
        events_, 0, false, shared_parts(), core::duration( 0 ),
        handed_over_by() } );
    release( grant.serial, work_outcome::none );
    if ( context_.path.state() != path_state::sound &&
         hand_over( unreached_reason ) )
        return;
    auto const spread = std::uniform_int_distribution<std::int64_t>(
        0, reservation_pause.count() )( context_.random );
    not_before_ =
        context_.scheduler.now() + reservation_pause + core::duration( spread );
    wait_in_queue();
}

/// A granted target may have started to leave, be paused, or not be known to
/// this instance yet. Requests a placement again after a pause.
auto exchange::on_unusable_grant( placement_grant const& grant ) -> void
{
    for ( auto i = std::size_t{ 0 }; i < grant.choice.targets.size(); ++i )
        if ( auto const& t = grant.choice.targets[i]; !t || !t->takes_work() )
            demand_.tried.push_back( grant.choice.parts[i].target );
    release( grant.serial, work_outcome::none );
    not_before_ = context_.scheduler.now() + registry_pause;
    wait_in_queue();
}

auto exchange::on_refused( std::uint64_t serial, placement_refusal refusal )
    -> void
{
    if ( finished_ || !pending_placement_ ||
         pending_placement_->serial != serial )
        return;
    stop_waiting();
    if ( refusal.reason == quarantined_reason )
        return end_as_quarantined();
    auto const may_come_back = refusal.retry_after > core::duration( 0 );
    give_up( std::move( refusal.reason ),
             may_come_back ? std::optional( refusal.retry_after )
                           : std::nullopt );
}

auto exchange::stop_waiting() -> void
{
    patience_timer_.reset();
    pause_timer_.reset();
    objective_timer_.reset();
    waiting_ = false;
    // Withdraws a placement request that has not been answered.
    pending_placement_.reset();
}

/// Withdraws the placement request, leaves the wait queue and drops a grant
/// whose memory is still being reserved.
auto exchange::cancel_placement() -> void
{
    stop_waiting();
    context_.queue.remove( this );
    reserving_grant_.reset();
}

auto exchange::wait_in_queue() -> void
{
    context_.queue.add( shared_from_this() );
    begin_waiting();
}

auto exchange::begin_waiting() -> void
{
    waiting_ = true;
    auto const until = refusal_deadline();
    patience_timer_ = call_after( until - context_.scheduler.now(),
                                  &exchange::on_patience_expired );
    arm_objective_timer();
}

auto exchange::on_patience_expired() -> void
{
    auto const keep = shared_from_this();
    // A caller that has part of the answer, or whose silent target may still
    // answer, loses nothing by waiting longer.
    if ( finished_ || !waiting_ || streaming_ || silent_ )
        return;
    if ( may_have_run_ )
        return fail( status_bad_gateway, "no_room_for_repeat" );
    refuse( status_unavailable, "no_room", predicted_wait() );
}

auto exchange::predicted_wait() const -> core::duration
{
    auto const shortest_prefill =
        is_split_ ? context_.chooser.shortest_prefill( demand_, *service_ )
                  : core::duration( 0 );
    return retry_after_no_capacity( placement_queue_size_, shortest_prefill,
                                    context_.random );
}

}
