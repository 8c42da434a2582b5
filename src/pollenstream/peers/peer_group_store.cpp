#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_group.hpp>

#include <algorithm>

// The parts of `peer_group` that concern the store: which instances read it,
// which know more of it, and the updates from it.

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// If the store has answered none of the other instances for this long, more
/// instances start to read it, one after the other in the order in which they
/// become coordinators. This leaves time within the two seconds after which a
/// change in the store has to be known everywhere.
constexpr auto store_timeout = core::duration( 1200ms );
/// Larger updates (compressed size) are not sent in datagrams, which would
/// saturate a slow link to many instances.
constexpr auto max_update_bytes = std::size_t{ 2'000 };
/// Delay between two instances of the order that start to read the store.
constexpr auto takeover_step = core::duration( 60ms );
/// After this many steps the store is probably unreachable for all instances,
/// and the rest follow in slower steps. If all tried at once, an outage of two
/// seconds would cost 90 instances about 600 calls.
constexpr auto quick_steps = 8;
constexpr auto slow_takeover_step = core::duration( 250ms );
/// Time after its start for which an instance that has the records does not
/// read the store. Within some tens of ms it hears from its peers and knows
/// whether it is one of the readers. If it watched the store before that, each
/// of many instances that start together would make another call for every
/// registration of the others.
constexpr auto read_delay_with_records = core::duration( 300ms );
/// The same for an instance that has neither records nor peers. Any peer would
/// have answered by then: it is about ten round trips.
constexpr auto read_delay_without_peers = core::duration( 40ms );
/// The same for an instance that has peers but no records, in which it learns
/// of all peers. Of many instances that start together, only the first few then
/// read the store, and the rest fetch the records from these. Otherwise 300
/// instances with 3,000 targets would each fetch a megabyte from the store.
constexpr auto read_delay_with_peers = core::duration( 150ms );
/// Time for which an instance has to be the first coordinator that the store
/// serves before it writes the records of all. Each change of the writer costs
/// one call for each 32 instances, and the order is not settled right after a
/// start or a loss.
constexpr auto keeper_delay = core::duration( 2s );

}

auto peer_group::set_store_state( ports::store_revision at,
                                  core::duration age,
                                  core::duration served_for ) -> void
{
    known_until_ = at;
    if ( at >= latest_heard_ )
        behind_since_.reset();
    store_age_ = age;
    store_served_for_ = served_for;
}

auto peer_group::others_served_for() const -> core::duration
{
    auto longest = core::duration( 0 );
    for ( auto const& [id, p] : table_.all() )
        if ( p.alive && scheduler_.now() - p.store_answered_at < store_timeout )
            longest = std::max( longest, p.store_served_for );
    return longest;
}

auto peer_group::share_update( std::string update ) -> void
{
    auto message = base_message();
    if ( update.size() <= max_update_bytes )
        message.update = std::move( update );
    send_to_all( message );
}

auto peer_group::should_read_store() const -> bool
{
    auto const now = scheduler_.now();
    auto const up_time = now - started_;
    if ( up_time < store_read_delay() )
        return false;
    auto const position = table_.own_position( now );
    constexpr auto readers = peer_table::number_of_coordinators;
    if ( position < readers )
        return true;
    auto const steps = position - readers;
    auto const quick = std::min( steps, quick_steps );
    auto const wait =
        takeover_step * quick + slow_takeover_step * ( steps - quick );
    auto const store_age = std::min( table_.min_store_age( now ), up_time );
    return store_age > store_timeout + wait;
}

/// Time after its start for which this instance does not read the store.
auto peer_group::store_read_delay() const -> core::duration
{
    if ( known_until_ > ports::store_revision{} )
        return read_delay_with_records;
    return peers().empty() ? read_delay_without_peers : read_delay_with_peers;
}

auto peer_group::is_first_served() const -> bool
{
    auto const now = scheduler_.now();
    if ( store_age_ >= store_timeout )
        return false;
    for ( auto const& id : table_.coordinators( now ) )
    {
        if ( id == self_.id )
            return true;
        if ( now - table_.find( id )->store_answered_at < store_timeout )
            return false;
    }
    return false;
}

auto peer_group::update_keeper() -> void
{
    if ( !is_first_served() )
        first_served_since_.reset();
    else if ( !first_served_since_ )
        first_served_since_ = scheduler_.now();
}

auto peer_group::keeps_records() const -> bool
{
    return first_served_since_ &&
           scheduler_.now() - *first_served_since_ >= keeper_delay;
}

auto peer_group::instance_ips() const
    -> std::map<core::instance_id, std::string>
{
    auto all = std::map<core::instance_id, std::string>{};
    if ( !leaving_ )
        all.emplace( self_.id, self_.ip );
    for ( auto const& [id, p] : table_.all() )
        if ( !p.leaving )
            all.emplace( id, p.ip );
    return all;
}

auto peer_group::better_informed_peer(
    ports::store_revision at, std::set<core::instance_id> const& except ) const
    -> peer const*
{
    auto candidates = std::vector<peer const*>{};
    for ( auto const& [id, p] : table_.all() )
        if ( p.alive && p.known_until > at && !except.contains( id ) )
            candidates.push_back( &p );
    if ( candidates.empty() )
        return nullptr;
    // A pseudo-random choice spreads the fetches of the instances that are
    // behind; those that have caught up serve others.
    auto const draw = core::stable_hash( self_.id.str(), ++peer_choices_ );
    return candidates[draw % candidates.size()];
}

}
