#include "gossip_fleet.hpp"

#include <pollenstream/core/hash.hpp>

#include <algorithm>

namespace standins
{

using namespace std::chrono_literals;

namespace
{

auto address_of( int number ) -> core::address
{
    return { "127.0.0.1", static_cast<std::uint16_t>( number + 1 ) };
}

auto id_of( int number ) -> core::instance_id
{
    return core::instance_id( "i" + std::to_string( number ) );
}

auto member_of( int number ) -> membership::member
{
    auto m = membership::member{};
    m.id = id_of( number );
    m.peers = address_of( number );
    m.callers = address_of( number );
    m.incarnation = core::incarnation( 1 );
    return m;
}

auto lost() -> core::error
{
    return { core::error_code::unreachable, "lost" };
}

}

gossip_fleet::instance::instance( gossip_fleet& fleet, int number )
    : members( member_of( number ), static_cast<std::uint64_t>( number ) + 1 ),
      holder( fleet.codec_ ),
      beats( members, holder, fleet.codec_, fleet, fleet.time )
{
}

gossip_fleet::gossip_fleet( int size )
{
    for ( auto i = 0; i < size; ++i )
        add();
}

auto gossip_fleet::at( int number ) -> instance&
{
    return *instances_.at( static_cast<std::size_t>( number ) );
}

auto gossip_fleet::add() -> int
{
    auto const number = static_cast<int>( instances_.size() );
    instances_.push_back( std::make_unique<instance>( *this, number ) );
    if ( number == 0 )
        return number;
    auto first = ports::listed_instance{};
    first.id = id_of( 0 );
    first.callers = address_of( 0 );
    first.peers = address_of( 0 );
    at( number ).members.add_listed( { first }, time.now() );
    return number;
}

auto gossip_fleet::kill( int number ) -> void
{
    at( number ).dead = true;
}

auto gossip_fleet::lose_connections( double part ) -> void
{
    lost_part_ = part;
}

auto gossip_fleet::run_rounds( int count ) -> void
{
    for ( auto i = 0; i < count; ++i )
    {
        time.advance( 1s );
        for ( auto const& each : instances_ )
        {
            if ( !each->dead )
                each->beats.run_round();
        }
    }
}

auto gossip_fleet::rounds_until( std::function<bool()> const& holds ) -> int
{
    constexpr auto most = 100;
    auto rounds = 0;
    while ( rounds < most && !holds() )
    {
        run_rounds( 1 );
        ++rounds;
    }
    return rounds;
}

auto gossip_fleet::least_known() -> std::size_t
{
    auto least = instances_.size();
    for ( auto const& each : instances_ )
    {
        if ( !each->dead )
            least = std::min( least, each->members.alive().size() );
    }
    return least;
}

auto gossip_fleet::all_see( int number, membership::member_phase phase ) -> bool
{
    return std::all_of( instances_.begin(), instances_.end(),
                        [&]( auto const& each )
                        {
                            if ( each->dead )
                                return true;
                            auto const seen =
                                each->members.find( id_of( number ) );
                            return seen && seen->phase == phase;
                        } );
}

auto gossip_fleet::all_at_revision( std::int64_t revision ) -> bool
{
    return std::all_of( instances_.begin(), instances_.end(),
                        [&]( auto const& each )
                        {
                            return each->dead ||
                                   each->holder.revision().count() == revision;
                        } );
}

auto gossip_fleet::adopt_at( int number, std::int64_t revision ) -> void
{
    auto const text = "[service s" + std::to_string( revision ) + "]\n";
    auto bundle = state::configuration_bundle{};
    bundle.head.revision = core::revision( revision );
    bundle.head.documents["sample.ini"] = core::content_hash( text );
    bundle.texts["sample.ini"] = text;
    at( number ).holder.adopt( bundle ).value();
}

auto gossip_fleet::is_lost() -> bool
{
    return std::uniform_real_distribution<double>( 0, 1 )( random_ ) <
           lost_part_;
}

auto gossip_fleet::behind( core::address const& peer ) -> instance*
{
    auto& found = *instances_.at( static_cast<std::size_t>( peer.port ) - 1 );
    return found.dead || is_lost() ? nullptr : &found;
}

auto gossip_fleet::exchange( core::address const& peer,
                             ports::heartbeat const& mine )
    -> core::result<ports::heartbeat>
{
    auto* const other = behind( peer );
    if ( !other )
        return lost();
    ++exchanges;
    auto theirs = other->beats.answer( mine );
    members_sent += static_cast<std::int64_t>( mine.changes.size() +
                                               theirs.changes.size() );
    return theirs;
}

auto gossip_fleet::fetch_configuration(
    core::address const& peer,
    core::revision newer_than,
    std::vector<std::string> const& known_hashes )
    -> core::result<ports::peer_configuration>
{
    auto* const other = behind( peer );
    if ( !other )
        return lost();
    return other->beats.answer_fetch( newer_than, known_hashes );
}

auto gossip_fleet::call( core::address const&, ports::forwarded_call const& )
    -> core::result<state::call_outcome>
{
    return lost();
}

}
