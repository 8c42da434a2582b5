#include "directory_callers.hpp"

#include <pollenstream/peers/caller_directory.hpp>

namespace tests
{

namespace
{

using namespace std::chrono_literals;

constexpr auto number_of_callers = 30;
constexpr auto time_to_live = core::duration( 1s );
constexpr auto long_keep_factor = 3;

}

directory_callers::directory_callers( exchange_fleet& fleet ) : fleet_( fleet )
{
    for ( auto i = 0; i < number_of_callers; ++i )
        callers_.push_back(
            { {},
              fleet.scheduler.now(),
              time_to_live * ( i % 3 == 0 ? long_keep_factor : 1 ) } );
}

auto directory_callers::pick( std::size_t count ) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>( 0,
                                                       count - 1 )( random_ );
}

auto directory_callers::ask( caller& who ) -> void
{
    auto const now = fleet_.scheduler.now();
    if ( now < who.ask_at )
        return;
    auto const asked =
        static_cast<int>( pick( static_cast<std::size_t>( fleet_.size() ) ) );
    if ( !fleet_.is_running( asked ) )
        return;
    auto const& group = fleet_.at( asked ).group;
    auto const own = fleet_.at( asked ).ip + ":80";
    auto const addresses = peers::choose_caller_addresses( group, own, true );
    if ( addresses.empty() )
        return;
    who.ask_at = now + who.keep_time;
    who.instances.clear();
    for ( auto i = 0; i < fleet_.size(); ++i )
        for ( auto const& address : addresses )
            if ( fleet_.is_running( i ) &&
                 address == fleet_.at( i ).ip + ":80" )
                who.instances.push_back( i );
}

auto directory_callers::send_for( core::duration time, core::duration interval )
    -> void
{
    for ( auto at = core::duration( 0 ); at < time; at += interval )
    {
        auto& who = callers_[pick( callers_.size() )];
        ask( who );
        if ( !who.instances.empty() )
        {
            auto const instance = who.instances[pick( who.instances.size() )];
            auto const number = std::to_string( calls.size() );
            auto const* const path =
                calls.size() % 4 == 3 ? "/safe/d" : "/chat/d";
            calls.push_back( { fleet_.scheduler.now(), instance,
                               fleet_.call( instance, path, number ) } );
        }
        fleet_.scheduler.run( interval );
    }
}

auto directory_callers::count( core::instant from,
                               std::function<bool( int )> const& counts ) const
    -> first_attempts
{
    auto all = first_attempts{};
    for ( auto const& one : calls )
        if ( one.at >= from && counts( one.instance ) )
        {
            ++all.sent;
            all.served += one.is_served_at_first() ? 1 : 0;
        }
    return all;
}

}
