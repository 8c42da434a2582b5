#include <pollenstream/peers/placement_router.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// A coordinator that has not answered after this time is given up for the next
/// one. It covers about ten round trips between data centres, and the wait of a
/// small machine for its next share of a CPU. The whole latency objective of
/// short prompts is 300 ms.
constexpr auto answer_timeout = core::duration( 60ms );
/// A queued placement request is sent again this long after each answer,
/// because a later answer, or the coordinator that holds the request, may have
/// been lost.
constexpr auto resend_delay = core::duration( 250ms );
/// Timeouts in a row after which a coordinator is skipped for `skip_time`. A
/// single timeout may be a lost datagram. More of them mean that the
/// coordinator is lost, frozen or overloaded, and requests would prolong an
/// overload.
constexpr auto timeouts_to_skip = 2;
constexpr auto skip_time = core::duration( 1s );

}

struct placement_router::pending
{
    exchange::placement_request request;
    std::shared_ptr<exchange::placement_listener> listener;
    core::instant demand_at;   ///< time for which the demand is correct
    core::instance_id sent_to; ///< the coordinator that has it now
    std::set<core::instance_id> tried_coordinators;
    bool is_open{ true }; ///< neither decided nor withdrawn
    /// Set when `sent_to` answers that the request is queued, until it is sent
    /// again.
    bool is_queued{ false };
    std::unique_ptr<ports::scheduled_call> timer;
};

/// Withdraws the placement request when it is destroyed.
class placement_router::request_handle : public exchange::open_placement
{
public:
    request_handle( placement_router& owner, pending_ptr which )
        : owner_( owner ), which_( std::move( which ) )
    {
    }
    ~request_handle() override
    {
        owner_.withdraw( which_ );
    }
    request_handle( request_handle const& ) = delete;
    auto operator=( request_handle const& ) -> request_handle& = delete;

private:
    placement_router& owner_;
    pending_ptr which_;
};

/// Passes on the answers of this instance's own coordinator.
class placement_router::local_listener : public exchange::placement_listener
{
public:
    local_listener( placement_router& owner, pending_ptr which )
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

/// Sends the answers of this instance's coordinator to another instance.
class placement_router::remote_listener : public exchange::placement_listener
{
public:
    remote_listener( placement_transport& transport,
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
        answer_.is_trial = grant.is_trial;
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
    which->demand_at = scheduler_.now();
    pending_.emplace( which->request.serial, which );
    send( which );
    return std::make_unique<request_handle>( *this, which );
}

auto placement_router::is_skipped( core::instance_id const& id ) const -> bool
{
    auto const found = unanswered_.find( id );
    return found != unanswered_.end() &&
           found->second.timeouts >= timeouts_to_skip &&
           scheduler_.now() < found->second.skip_until;
}

auto placement_router::note_timeout( core::instance_id const& id ) -> void
{
    auto& entry = unanswered_[id];
    ++entry.timeouts;
    entry.skip_until = scheduler_.now() + skip_time;
}

auto placement_router::next_coordinator( pending const& which ) const
    -> std::optional<core::instance_id>
{
    for ( auto const& id : transport_.coordinators() )
        if ( !which.tried_coordinators.contains( id ) && !is_skipped( id ) )
            return id;
    return std::nullopt;
}

auto placement_router::send( pending_ptr const& which ) -> void
{
    auto const next = next_coordinator( *which );
    which->request.demand.limits = next ? exchange::limit_use::coordinated
                                        : exchange::limit_use::uncoordinated;
    if ( !next )
        counters_.uncoordinated_choices.add();
    if ( !next || *next == self_ )
        return send_to_own_coordinator( which );
    which->sent_to = *next;
    which->tried_coordinators.insert( *next );
    which->is_queued = false;
    counters_.sent_to_others.add();
    transport_.send_request( *next, which->request );
    arm_timer( which, answer_timeout );
}

auto placement_router::send_to_own_coordinator( pending_ptr const& which )
    -> void
{
    which->sent_to = self_;
    which->timer.reset();
    counters_.sent_to_self.add();
    coordinator_.request( which->request,
                          std::make_shared<local_listener>( *this, which ) );
}

/// Sends the placement request to the next coordinator under a new serial. The
/// coordinator before may still grant the old serial, and that grant must not
/// be taken for one of the new coordinator.
auto placement_router::send_to_next_coordinator( pending_ptr const& which )
    -> void
{
    counters_.sent_to_next.add();
    transport_.send_release( which->sent_to, which->request.serial );
    pending_.erase( which->request.serial );
    which->request.serial = next_serial_();
    pending_.emplace( which->request.serial, which );
    auto const now = scheduler_.now();
    auto& demand = which->request.demand;
    auto const elapsed = now - std::exchange( which->demand_at, now );
    demand.waited += elapsed;
    demand.time_left -= elapsed;
    demand.patience_left -= elapsed;
    send( which );
}

auto placement_router::arm_timer( pending_ptr const& which,
                                  core::duration delay ) -> void
{
    which->timer = scheduler_.call_after( delay,
                                          [this, weak = std::weak_ptr( which )]
                                          {
                                              auto const alive = weak.lock();
                                              if ( alive && alive->is_open )
                                                  on_timer( alive );
                                          } );
}

auto placement_router::on_timer( pending_ptr const& which ) -> void
{
    auto const done = std::move( which->timer );
    if ( which->is_queued )
    {
        // The request is sent to the same coordinator again.
        which->is_queued = false;
        transport_.send_request( which->sent_to, which->request );
        return arm_timer( which, answer_timeout );
    }
    note_timeout( which->sent_to );
    send_to_next_coordinator( which );
}

/// Stops waiting for answers, when the placement request is decided or
/// withdrawn.
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
    if ( which->sent_to == self_ )
        coordinator_.release( self_, which->request.serial );
    else
        transport_.send_release( which->sent_to, which->request.serial );
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
    auto const all = transport_.coordinators();
    return !all.empty() && all.front() == self_;
}

auto placement_router::release( std::uint64_t serial ) -> void
{
    granted_.erase( serial );
    coordinator_.release( self_, serial );
}

auto placement_router::on_request( exchange::placement_request request ) -> void
{
    auto const answer = std::make_shared<remote_listener>(
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
    unanswered_.erase( from );
    auto const found = pending_.find( answer.serial );
    if ( found == pending_.end() || found->second->sent_to != from )
    {
        // A grant that no request waits for is given back, unless it is a
        // duplicate of one that was taken.
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
                               answer.is_suspect, answer.is_trial } );
    case placement_decision::refused:
        close( which );
        return which->listener->on_refused(
            { answer.reason,
              std::chrono::milliseconds( answer.retry_after_ms ) } );
    case placement_decision::queued:
        which->is_queued = true;
        arm_timer( which, resend_delay );
        return which->listener->on_queued(
            static_cast<std::size_t>( answer.waiting ) );
    case placement_decision::not_ready:
        return send_to_next_coordinator( which );
    }
}

auto placement_router::on_released( core::instance_id const& from,
                                    std::uint64_t serial ) -> void
{
    coordinator_.release( from, serial );
}

auto placement_router::on_open_serials( core::instance_id const& from,
                                        std::set<std::uint64_t> const& serials )
    -> void
{
    coordinator_.keep_only( from, serials );
}

auto placement_router::on_lost( core::instance_id const& which ) -> void
{
    coordinator_.forget( which );
    unanswered_.erase( which );
    auto sent_there = std::vector<pending_ptr>{};
    for ( auto const& [serial, p] : pending_ )
        if ( p->sent_to == which )
            sent_there.push_back( p );
    for ( auto const& p : sent_there )
        if ( p->is_open )
            send_to_next_coordinator( p );
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
