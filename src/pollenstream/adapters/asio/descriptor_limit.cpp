#include <pollenstream/adapters/asio/descriptor_limit.hpp>

#include <sys/resource.h>

namespace pollenstream::adapters::asio
{

namespace
{

/// If the system does not tell.
constexpr auto usual_descriptors = std::size_t{ 1024 };
constexpr auto quarters_for_callers = std::size_t{ 3 };
constexpr auto quarters = std::size_t{ 4 };

}

auto descriptor_limit() -> std::size_t
{
    auto limit = rlimit{};
    if ( ::getrlimit( RLIMIT_NOFILE, &limit ) != 0 )
        return usual_descriptors;
    return static_cast<std::size_t>( limit.rlim_cur );
}

auto connections_of( std::size_t descriptors ) -> std::size_t
{
    return descriptors / quarters * quarters_for_callers;
}

}
