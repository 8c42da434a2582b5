#include <pollenstream/core/address.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace pollenstream::core
{

namespace
{

auto malformed( std::string_view text ) -> error
{
    return error{ error_code::malformed,
                  "'" + std::string( text ) + "' is not IP:PORT" };
}

auto parse_port( std::string_view digits, std::uint16_t& port ) -> bool
{
    auto const* const end = digits.data() + digits.size();
    auto const [stopped, status] = std::from_chars( digits.data(), end, port );
    return status == std::errc{} && stopped == end;
}

}

auto parse_address( std::string_view text ) -> result<address>
{
    auto const colon = text.rfind( ':' );
    if ( colon == std::string_view::npos )
        return malformed( text );
    auto ip = text.substr( 0, colon );
    if ( ip.size() >= 2 && ip.front() == '[' && ip.back() == ']' )
        ip = ip.substr( 1, ip.size() - 2 );
    auto status = boost::system::error_code{};
    boost::asio::ip::make_address( std::string( ip ), status );
    if ( status )
        return malformed( text );
    auto parsed = address{ std::string( ip ), 0 };
    if ( !parse_port( text.substr( colon + 1 ), parsed.port ) )
        return malformed( text );
    return parsed;
}

auto to_string( address const& a ) -> std::string
{
    auto const is_v6 = a.ip.find( ':' ) != std::string::npos;
    auto const host = is_v6 ? "[" + a.ip + "]" : a.ip;
    return host + ":" + std::to_string( a.port );
}

}
