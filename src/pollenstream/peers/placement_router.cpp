#include <pollenstream/peers/placement_router.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// An instance that has not answered after this time is asked no longer: some
/// ten ways there and back between places, and the time in which a small
/// machine gets its share of a processor. Short prompts have 300 ms in all.
constexpr auto answer_time = core::duration( 60ms );
/// An ask that waits is repeated this often: the answer may have been lost, or
/// the instance that holds it.
constexpr auto repeat_time = core::duration( 250ms );
/// Answers missed in a row from which an instance is not asked for a time. One
/// may be a lost datagram; more are an instance that is lost, frozen, or has
/// more to answer than it can, which asking it again would prolong.
constexpr auto misses_to_suspect = 2;
constexpr auto suspect_time = core::duration( 1s );

}

struct placement_router::pending
{
    exchange::placement_request request;
    std::shared_ptr<exchange::placement_listener> listener;
    core::instant made_at;
    core::instance_id asked;
    std::set<core::instance_id> tried;
    bool is_open{ true };
    bool is_answered{ false }; ///< by `asked`, since it was last sent
    std::unique_ptr<ports::scheduled_call> timer;
};

class placement_router::handle : public exchange::open_placement
{
public:
    handle( placement_router& owner, pending_ptr which )
        : owner_( owner ), which_( std::move( which ) )
    {
    }
    ~handle() override
    {
        owner_.withdraw( which_ );
    }
    handle( handle const& ) = delete;
    auto operator=( handle const& ) -> handle& = delete;

private:
    placement_router& owner_;
    pending_ptr which_;
};

/// Answers of this instance's own coordinator.
class placement_router::local_answer : public exchange::placement_listener
{
public:
    local_answer( placement_router& owner, pending_ptr which )
        : owner_( owner ), which_( std::move( which ) )
    {
    }
    auto on_granted( exchange::placement_grant grant ) -> void override
    {
        owner_.grant( which_, std::move( grant ) );
    }
    auto on_refused( exchange::placement_refusal refusal ) -> void override
    {
        owner_.close( which_ );
        which_->listener->on_refused( std::move( refusal ) );
    }
    auto on_queued( std::size_t waiting ) -> void override
    {
        which_->listener->on_queued( waiting );
    }

private:
    placement_router& owner_;
    pending_ptr which_;
};

/// Sends the answers of this instance's coordinator to an asker.
class placement_router::remote_answer : public exchange::placement_listener
{
public:
    remote_answer( placement_transport& transport,
                   core::instance_id requester,
                   std::uint64_t serial )
        : transport_( transport ), requester_( std::move( requester ) )
    {
        answer_.serial = serial;
    }
    auto on_granted( exchange::placement_grant grant ) -> void override
    {
        answer_.decision = placement_decision::granted;
        answer_.parts = std::move( grant.choice.parts );
        answer_.first_event_ms = grant.choice.first_event_ms;
        answer_.needs_reservation = grant.choice.needs_reservation;
        answer_.basis = grant.choice.basis;
        answer_.is_suspect = grant.is_suspect;
        transport_.send_answer( requester_, answer_ );
    }
    auto on_refused( exchange::placement_refusal refusal ) -> void override
    {
        answer_.decision = placement_decision::refused;
        answer_.reason = std::move( refusal.reason );
        answer_.retry_after_ms = core::milliseconds_of( refusal.retry_after );
        transport_.send_answer( requester_, answer_ );
    }
    auto on_queued( std::size_t waiting ) -> void override
    {
        answer_.decision = placement_decision::queued;
        answer_.waiting = static_cast<std::int64_t>( waiting );
        transport_.send_answer( requester_, answer_ );
    }
    auto on_not_ready() -> void
    {
        answer_.decision = placement_decision::not_ready;
        transport_.send_answer( requester_, answer_ );
    }

private:
    placement_transport& transport_;
    core::instance_id requester_;
    placement_answer answer_;
};

placement_router::placement_router(
    core::instance_id self,
    ports::scheduler& scheduler,
    placement_transport& transport,
    exchange::placement_coordinator& coordinator,
    exchange::load_table const& loads,
    std::function<std::uint64_t()> next_serial )
    : self_( std::move( self ) ), scheduler_( scheduler ),
      transport_( transport ), coordinator_( coordinator ),
      load_table_( loads ), next_serial_( std::move( next_serial ) )
{
}

placement_router::~placement_router() = default;

auto placement_router::request(
    exchange::placement_request what,
    std::shared_ptr<exchange::placement_listener> listener )
    -> std::unique_ptr<exchange::open_placement>
{
    auto const which = std::make_shared<pending>();
    which->request = std::move( what );
    which->listener = std::move( listener );
    which->made_at = scheduler_.now();
    pending_.emplace( which->request.serial, which );
    send( which );
    return std::make_unique<handle>( *this, which );
}

auto placement_router::is_suspect( core::instance_id const& id ) const -> bool
{
    auto const found = silences_.find( id );
    return found != silences_.end() &&
           found->second.misses >= misses_to_suspect &&
           scheduler_.now() < found->second.until;
}

auto placement_router::note_miss( core::instance_id const& id ) -> void
{
    auto& silence = silences_[id];
    ++silence.misses;
    silence.until = scheduler_.now() + suspect_time;
}

auto placement_router::next_coordinator( pending const& which ) const
    -> std::optional<core::instance_id>
{
    for ( auto const& id : transport_.coordinators() )
        if ( !which.tried.contains( id ) && !is_suspect( id ) )
            return id;
    return std::nullopt;
}

auto placement_router::send( pending_ptr const& which ) -> void
{
    auto const next = next_coordinator( *which );
    which->request.demand.limits = next ? exchange::limit_use::for_all
                                        : exchange::limit_use::uncoordinated;
    if ( !next )
        counters_.own_choice.add();
    if ( !next || *next == self_ )
        return send_local( which );
    which->asked = *next;
    which->tried.insert( *next );
    which->is_answered = false;
    counters_.asked_others.add();
    transport_.send_request( *next, which->request );
    arm( which, answer_time );
}

auto placement_router::send_local( pending_ptr const& which ) -> void
{
    which->asked = self_;
    which->timer.reset();
    counters_.asked_self.add();
    coordinator_.request( which->request,
                          std::make_shared<local_answer>( *this, which ) );
}

/// Asks another one under a new serial: the one before may grant the old one
/// all the same, and that grant has to be told apart.
auto placement_router::send_next( pending_ptr const& which ) -> void
{
    counters_.asked_next.add();
    transport_.send_release( which->asked, which->request.serial );
    pending_.erase( which->request.serial );
    which->request.serial = next_serial_();
    pending_.emplace( which->request.serial, which );
    auto const now = scheduler_.now();
    auto& demand = which->request.demand;
    auto const since = now - std::exchange( which->made_at, now );
    demand.waited += since;
    demand.time_left -= since;
    demand.patience_left -= since;
    send( which );
}

auto placement_router::arm( pending_ptr const& which, core::duration delay )
    -> void
{
    which->timer = scheduler_.call_after( delay,
                                          [this, weak = std::weak_ptr( which )]
                                          {
                                              auto const still = weak.lock();
                                              if ( still && still->is_open )
                                                  on_timer( still );
                                          } );
}

auto placement_router::on_timer( pending_ptr const& which ) -> void
{
    auto const done = std::move( which->timer );
    if ( which->is_answered )
    {
        which->is_answered = false;
        transport_.send_request( which->asked, which->request );
        return arm( which, answer_time );
    }
    note_miss( which->asked );
    send_next( which );
}

/// The ask is decided or withdrawn: nothing is awaited for it any more.
auto placement_router::close( pending_ptr const& which ) -> void
{
    which->is_open = false;
    which->timer.reset();
    pending_.erase( which->request.serial );
}

auto placement_router::withdraw( pending_ptr const& which ) -> void
{
    if ( !which->is_open )
        return;
    close( which );
    if ( which->asked == self_ )
        coordinator_.release( self_, which->request.serial );
    else
        transport_.send_release( which->asked, which->request.serial );
}

auto placement_router::grant( pending_ptr const& which,
                              exchange::placement_grant grant ) -> void
{
    close( which );
    granted_.insert( grant.serial );
    auto const listener = which->listener;
    listener->on_granted( std::move( grant ) );
}

auto placement_router::is_active_coordinator() const -> bool
{
    auto const in_order = transport_.coordinators();
    return !in_order.empty() && in_order.front() == self_;
}

auto placement_router::release( std::uint64_t serial ) -> void
{
    granted_.erase( serial );
    coordinator_.release( self_, serial );
}

auto placement_router::on_request( exchange::placement_request request ) -> void
{
    auto const answer = std::make_shared<remote_answer>(
        transport_, request.requester, request.serial );
    if ( coordinator_.knows( request.demand.service ) )
        coordinator_.request( std::move( request ), answer );
    else
        answer->on_not_ready();
}

auto placement_router::choice_of( placement_answer const& answer ) const
    -> exchange::placement_choice
{
    auto choice = exchange::placement_choice{};
    choice.parts = answer.parts;
    choice.first_event_ms = answer.first_event_ms;
    choice.needs_reservation = answer.needs_reservation;
    choice.basis = answer.basis;
    for ( auto const& part : choice.parts )
        choice.targets.push_back(
            load_table_.find_lifetime( { part.target, part.lifetime } ) );
    return choice;
}

auto placement_router::on_answer( core::instance_id const& from,
                                  placement_answer const& answer ) -> void
{
    silences_.erase( from );
    auto const found = pending_.find( answer.serial );
    if ( found == pending_.end() || found->second->asked != from )
    {
        // The same grant may come twice; one that nobody waits for is given
        // back.
        if ( answer.decision == placement_decision::granted &&
             !granted_.contains( answer.serial ) )
            transport_.send_release( from, answer.serial );
        return;
    }
    auto const which = found->second;
    switch ( answer.decision )
    {
    case placement_decision::granted:
        return grant( which, { answer.serial, choice_of( answer ), from,
                               answer.is_suspect } );
    case placement_decision::refused:
        close( which );
        return which->listener->on_refused(
            { answer.reason,
              std::chrono::milliseconds( answer.retry_after_ms ) } );
    case placement_decision::queued:
        which->is_answered = true;
        arm( which, repeat_time );
        return which->listener->on_queued(
            static_cast<std::size_t>( answer.waiting ) );
    case placement_decision::not_ready:
        return send_next( which );
    }
}

auto placement_router::on_released( core::instance_id const& from,
                                    std::uint64_t serial ) -> void
{
    coordinator_.release( from, serial );
}

auto placement_router::on_open( core::instance_id const& from,
                                std::set<std::uint64_t> const& serials ) -> void
{
    coordinator_.keep_only( from, serials );
}

auto placement_router::on_lost( core::instance_id const& which ) -> void
{
    coordinator_.forget( which );
    silences_.erase( which );
    auto asked_there = std::vector<pending_ptr>{};
    for ( auto const& [serial, p] : pending_ )
        if ( p->asked == which )
            asked_there.push_back( p );
    for ( auto const& p : asked_there )
        if ( p->is_open )
            send_next( p );
}

auto placement_router::undecided() const -> std::vector<std::uint64_t>
{
    auto serials = std::vector<std::uint64_t>{};
    serials.reserve( pending_.size() );
    for ( auto const& [serial, p] : pending_ )
        serials.push_back( serial );
    return serials;
}

}
