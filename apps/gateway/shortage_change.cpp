#include "shortage_change.hpp"

#include <string>

namespace pollenstream::gateway
{

auto shortage_change( adapters::asio::shortage_report const& report )
    -> exchange::state_change
{
    auto const is_memory =
        report.resource == adapters::asio::scarce_resource::memory;
    return { "connections", report.caller,
             is_memory ? "short_of_memory" : "short_of_descriptors",
             std::to_string( report.gave_way ) + " gave way, " +
                 std::to_string( report.refused ) + " refused",
             report.idle };
}

}
