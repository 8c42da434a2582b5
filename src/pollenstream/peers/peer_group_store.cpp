#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_group.hpp>

#include <algorithm>

// The part of what instances tell each other that is about the store: who reads
// it, who knows most of it, and what has changed there.

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Without an answer of the store to any instance for this long, the next
/// ones in the order read too, one after the other. Operators give two seconds
/// for what the store says to be known everywhere.
constexpr auto stale_store = core::duration( 1200ms );
constexpr auto turn_time = core::duration( 60ms );
/// After this many turns the store is away for all, or nearly all: the rest
/// take turns more slowly. When all tried at once, an outage of two seconds
/// cost 90 instances some 600 calls.
constexpr auto quick_turns = 8;
constexpr auto slow_turn_time = core::duration( 250ms );
/// An instance that has just started and has the records does not know yet
/// whether others read the store: they answer within some tens of ms. Watching
/// meanwhile, each of many that start together asks again for each other's
/// registration.
constexpr auto settle_time = core::duration( 300ms );
/// An instance without records asks the store itself where no other one answers
/// within this time, some ten ways there and back.
constexpr auto answer_time = core::duration( 40ms );
/// Where others answer it waits this long to hear who they are: of many that
/// start together the first few ask the store, and the rest take the records
/// from them. 300 instances before 3,000 targets would each ask for a megabyte.
constexpr auto greeting_time = core::duration( 150ms );

}

auto peer_group::set_store_state( ports::store_revision at,
                                  core::duration age,
                                  core::duration served_for ) -> void
{
    known_until_ = at;
    store_age_ = age;
    store_served_ = served_for;
}

auto peer_group::others_served_for() const -> core::duration
{
    auto longest = core::duration( 0 );
    for ( auto const& [id, p] : table_.all() )
        if ( p.alive && scheduler_.now() - p.store_answered_at < stale_store )
            longest = std::max( longest, p.store_served_for );
    return longest;
}

auto peer_group::tell_update( std::string update ) -> void
{
    auto message = base_message();
    message.update = std::move( update );
    send_to_all( message );
}

auto peer_group::should_read_store() const -> bool
{
    auto const now = scheduler_.now();
    auto const up_time = now - started_;
    if ( up_time < time_to_settle() )
        return false;
    auto const before = table_.own_position( now );
    constexpr auto readers = peer_table::number_of_coordinators;
    if ( before < readers )
        return true;
    auto const turn = before - readers;
    auto const quick = std::min( turn, quick_turns );
    auto const wait = turn_time * quick + slow_turn_time * ( turn - quick );
    auto const silence = std::min( table_.min_store_age( now ), up_time );
    return silence > stale_store + wait;
}

/// Time from its start in which this instance does not read the store.
auto peer_group::time_to_settle() const -> core::duration
{
    if ( known_until_ > ports::store_revision{} )
        return settle_time;
    return peers().empty() ? answer_time : greeting_time;
}

auto peer_group::better_informed( ports::store_revision at ) const
    -> peer const*
{
    auto better = std::vector<peer const*>{};
    for ( auto const& [id, p] : table_.all() )
        if ( p.alive && p.known_until > at )
            better.push_back( &p );
    if ( better.empty() )
        return nullptr;
    // Each asks another one, so that none has to tell all: those who have
    // been told tell others.
    auto const draw = core::stable_hash( self_.id.str(), ++asked_ );
    return better[draw % better.size()];
}

}
