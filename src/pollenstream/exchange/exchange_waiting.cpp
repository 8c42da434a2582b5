#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// The part of an exchange's life in which it waits for targets: what it asks,
// what it hears, how memory is set aside for it, and when it is told that it
// waits in vain.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Shortest pause after memory could not be reserved.
constexpr auto reservation_pause = core::duration( 150ms );
/// Pause where a target that was granted is not usable here: the two instances
/// hear of a change of the registry some tens of ms apart.
constexpr auto registry_pause = core::duration( 40ms );

}

/// Passes on what becomes of one ask, and keeps the exchange alive meanwhile.
class exchange::placement_reply : public placement_listener
{
public:
    placement_reply( std::shared_ptr<exchange> owner, std::uint64_t serial )
        : owner_( std::move( owner ) ), serial_( serial )
    {
    }
    auto on_granted( placement_grant grant ) -> void override
    {
        auto const keep = owner_;
        keep->on_granted( serial_, std::move( grant ) );
    }
    auto on_refused( placement_refusal refusal ) -> void override
    {
        auto const keep = owner_;
        keep->on_refused( serial_, std::move( refusal ) );
    }
    auto on_queued( std::size_t waiting ) -> void override
    {
        owner_->queued_behind_ = waiting;
    }

private:
    std::shared_ptr<exchange> owner_;
    std::uint64_t serial_;
};

auto exchange::ask_for_targets() -> void
{
    begin_waiting();
    auto const serial = ++shared_.last_serial;
    ask_ = pending_placement{ serial, nullptr, shared_.scheduler.now() };
    auto what = placement_request{};
    what.requester = shared_.self;
    what.serial = serial;
    what.attempt = request_.id;
    what.content = content_;
    for ( auto const& run : shared_.crashes.crashes_of( content_ ) )
        what.crashed_at.push_back( run.target );
    what.demand = demand_;
    what.priority = priority_;
    what.may_be_refused = !may_have_run_;
    auto open = shared_.placements.request(
        std::move( what ),
        std::make_shared<placement_reply>( shared_from_this(), serial ) );
    if ( !ask_ || ask_->serial != serial )
        return;
    ask_->open = std::move( open );
    arm_end_of_pause();
}

/// Who places prompts does not know of this instance's pauses and leaves out
/// what it was told with the ask: asked anew, it takes the target in again.
auto exchange::arm_end_of_pause() -> void
{
    if ( demand_.paused.empty() )
        return;
    pause_call_ =
        shared_.scheduler.call_after( end_of_pause() - shared_.scheduler.now(),
                                      [this]
                                      {
                                          auto const keep = shared_from_this();
                                          if ( finished_ || !ask_ )
                                              return;
                                          stop_waiting();
                                          if ( !try_start() )
                                              wait_for_room();
                                      } );
}

/// When the first target that this request has not tried may be sent to again.
auto exchange::end_of_pause() const -> core::instant
{
    auto const& tried = demand_.tried;
    auto first = core::instant::max();
    for ( auto const& p :
          shared_.loads.paused( demand_.service, shared_.scheduler.now() ) )
        if ( std::find( tried.begin(), tried.end(), p.id ) == tried.end() )
            first = std::min( first, p.until );
    return first;
}

/// All targets want nothing from this instance now. Returns false where the
/// call can still be in time when the first pause is over, and waits for that.
auto exchange::wait_for_pause( core::instant now ) -> bool
{
    auto const until = end_of_pause();
    if ( until <= request_.received + route_->latency_objective )
    {
        not_before_ = until;
        return false;
    }
    turn_down( "targets_paused", until - now );
    return true;
}

auto exchange::is_usable( std::shared_ptr<target_entry> const& target ) const
    -> bool
{
    return target && target->takes_work() &&
           !shared_.loads.is_paused( target->ref(), shared_.scheduler.now() );
}

auto exchange::on_granted( std::uint64_t serial, placement_grant grant ) -> void
{
    if ( finished_ || !ask_ || ask_->serial != serial )
        return release( grant.serial, work_outcome::none );
    last_ask_time_ = shared_.scheduler.now() - ask_->asked_at;
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
        on_unusable( grant );
}

/// True where the content has been quarantined since the grant was asked for.
auto exchange::ends_as_quarantined(
    placement_grant const& grant,
    std::shared_ptr<reservation_group> const& memory ) -> bool
{
    if ( !is_quarantined() )
        return false;
    release( grant.serial, work_outcome::none );
    if ( memory )
        memory->release();
    end_quarantined();
    return true;
}

auto exchange::begin( placement_grant grant ) -> void
{
    if ( ends_as_quarantined( grant, nullptr ) )
        return;
    is_suspect_ = grant.is_suspect || demand_.crashes > 0;
    // At once, so that what is told of all open work has it.
    add_work( grant );
    if ( !grant.choice.needs_reservation )
        return send( grant, nullptr );
    auto const& choice = grant.choice;
    auto places = std::vector<target_memory>{};
    for ( auto i = std::size_t{ 0 }; i < choice.targets.size(); ++i )
        places.push_back( { choice.targets[i]->properties.id,
                            choice.targets[i]->properties.address,
                            choice.parts[i].memory_tokens } );
    auto const id = core::reservation_id(
        shared_.self.str() + "." + std::to_string( ++shared_.last_serial ) );
    auto const longest = deadline_ - shared_.scheduler.now() + 500ms;
    auto memory = std::make_shared<reservation_group>(
        shared_.reservations, shared_.scheduler, id, std::move( places ),
        longest );
    reserving_ = grant.serial;
    memory->start(
        [self = shared_from_this(), memory,
         grant = std::move( grant )]( auto status )
        {
            self->on_memory( grant, memory, status );
        } );
}

auto exchange::on_memory( placement_grant const& grant,
                          std::shared_ptr<reservation_group> const& memory,
                          core::result<void> const& status ) -> void
{
    if ( reserving_ != grant.serial )
    {
        // It has ended since, or its silent target has spoken.
        release( grant.serial, work_outcome::none );
        return memory->release();
    }
    reserving_.reset();
    if ( ends_as_quarantined( grant, memory ) )
        return;
    if ( status.has_error() )
        return on_no_memory( grant, status.error() );
    if ( is_current( grant.choice ) )
        return send( grant, memory );
    memory->release();
    on_no_memory( grant,
                  { core::error_code::expired, "target restarted or paused" } );
}

/// False where a target of the choice has started again since, and holds none
/// of the memory that was reserved, or wants nothing from this instance now.
auto exchange::is_current( placement_choice const& choice ) const -> bool
{
    auto const now = shared_.scheduler.now();
    return std::all_of( choice.targets.begin(), choice.targets.end(),
                        [this, now]( auto const& t )
                        {
                            return shared_.loads.find_lifetime( t->ref() ) ==
                                       t &&
                                   !shared_.loads.is_paused( t->ref(), now );
                        } );
}

/// The targets hold less than the board says; others may have reserved at the
/// same time. A pause that is spread keeps them from meeting again.
auto exchange::on_no_memory( placement_grant const& grant,
                             core::error const& why ) -> void
{
    shared_.log.record( attempt_failed{
        request_.id, content_, grant.choice.targets.front()->properties.id,
        "reservation: " + why.detail, false, "wait", core::duration( 0 ),
        events_, core::duration( 0 ) } );
    release( grant.serial, work_outcome::none );
    auto const spread = std::uniform_int_distribution<std::int64_t>(
        0, reservation_pause.count() )( shared_.random );
    not_before_ =
        shared_.scheduler.now() + reservation_pause + core::duration( spread );
    wait_for_room();
}

/// A target that was granted may have begun to leave, or its entry may not be
/// known here yet.
auto exchange::on_unusable( placement_grant const& grant ) -> void
{
    for ( auto i = std::size_t{ 0 }; i < grant.choice.targets.size(); ++i )
        if ( auto const& t = grant.choice.targets[i]; !t || !t->takes_work() )
            demand_.tried.push_back( grant.choice.parts[i].target );
    release( grant.serial, work_outcome::none );
    not_before_ = shared_.scheduler.now() + registry_pause;
    wait_for_room();
}

auto exchange::on_refused( std::uint64_t serial, placement_refusal refusal )
    -> void
{
    if ( finished_ || !ask_ || ask_->serial != serial )
        return;
    stop_waiting();
    auto const comes_back = refusal.retry_after > core::duration( 0 );
    turn_down( std::move( refusal.reason ),
               comes_back ? std::optional( refusal.retry_after )
                          : std::nullopt );
}

auto exchange::stop_waiting() -> void
{
    patience_call_.reset();
    pause_call_.reset();
    waiting_ = false;
    // Withdraws what was asked and not answered.
    ask_.reset();
}

/// Gives back what was asked for or found and is not needed any more.
auto exchange::stop_looking() -> void
{
    stop_waiting();
    shared_.queue.remove( this );
    reserving_.reset();
}

auto exchange::wait_for_room() -> void
{
    shared_.queue.add( shared_from_this() );
    begin_waiting();
}

auto exchange::begin_waiting() -> void
{
    waiting_ = true;
    auto const until = refused_at();
    patience_call_ =
        shared_.scheduler.call_after( until - shared_.scheduler.now(),
                                      [this]
                                      {
                                          on_out_of_patience();
                                      } );
}

auto exchange::on_out_of_patience() -> void
{
    auto const keep = shared_from_this();
    // The caller who has a part of the answer, or whose target may still speak,
    // loses nothing by waiting on.
    if ( finished_ || !waiting_ || streaming_ || silent_ )
        return;
    if ( may_have_run_ )
        return fail( status_bad_gateway, "no_room_for_repeat" );
    refuse( status_unavailable, "no_room", predicted_room() );
}

auto exchange::predicted_room() const -> core::duration
{
    auto const reading =
        is_split_ ? shared_.chooser.shortest_prefill( demand_, *service_ )
                  : core::duration( 0 );
    return pause_until_room( queued_behind_, reading, shared_.random );
}

}
