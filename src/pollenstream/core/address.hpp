#ifndef POLLENSTREAM_CORE_ADDRESS_HPP
#define POLLENSTREAM_CORE_ADDRESS_HPP

#include <pollenstream/core/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstream::core
{

/// An IP address and port. Host names are rejected: instances connect to each
/// other by IP address only.
struct address
{
    std::string ip;
    std::uint16_t port{ 0 };

    friend auto operator<=>( address const&, address const& )
        -> std::strong_ordering = default;
};

/// Parses `1.2.3.4:80` or `[::1]:80`.
auto parse_address( std::string_view text ) -> result<address>;

/// Formats `a` in the form that `parse_address` accepts.
auto to_string( address const& a ) -> std::string;

}

#endif
