#include "resource_limits.hpp"
#include "settings_file.hpp"
#include <pollenstream/adapters/asio/descriptor_limit.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace asio = pollenstream::adapters::asio;
namespace core = pollenstream::core;
namespace gateway = pollenstream::gateway;
namespace platform = pollenstream::platform;

// How an instance divides what its machine gives it.

namespace
{

constexpr auto megabyte = std::size_t{ 1024 } * 1024;

auto limits_with( std::string const& settings ) -> gateway::resource_limits
{
    auto found = core::findings{};
    return gateway::resource_limits_of(
        platform::read_settings( "local.conf", settings, found ) );
}

}

TEST_CASE( "the parts of the memory leave some to the process",
           "[resource_limits]" )
{
    auto const limits = limits_with( "limits.memory_mb=64\n" );
    CHECK( limits.received_bytes == 24 * megabyte );
    CHECK( limits.answer_bytes == 16 * megabyte );
    CHECK( limits.reply_bytes == 8 * megabyte );
    CHECK( limits.report_bytes == 8 * megabyte );
    CHECK( limits.record_bytes == 4 * megabyte );
}

TEST_CASE( "a quarter of the sockets is left to the process's own connections",
           "[resource_limits]" )
{
    CHECK( limits_with( "limits.file_descriptors=300\n" ).connections == 75 );
    // Never more than the system allows.
    auto const allowed = asio::connections_of( asio::descriptor_limit() );
    CHECK( limits_with( "limits.file_descriptors=1000000000\n" ).connections ==
           allowed );
    CHECK( limits_with( "" ).connections == allowed );
    CHECK( allowed > 0 );
}
