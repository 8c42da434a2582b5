#include <pollenstream/peers/address_memory.hpp>
#include <pollenstream/peers/peer_limits.hpp>

#include <chrono>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Longer than network partitions last. Instances that were removed for good
/// leave the others with smaller shares for this time, which is harmless.
constexpr auto memory_time = core::duration( 10min );

}

auto address_memory::note( std::string const& ip, core::instant now ) -> bool
{
    if ( last_noted_.size() >= max_peers && !last_noted_.contains( ip ) )
        return false;
    return last_noted_.insert_or_assign( ip, now ).second;
}

auto address_memory::forget_old( core::instant now ) -> bool
{
    return std::erase_if( last_noted_,
                          [now]( auto const& entry )
                          {
                              return now - entry.second > memory_time;
                          } ) > 0;
}

}
