#include <pollenstream/state/call_ticket.hpp>

#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace pollenstream::state
{

namespace
{

constexpr auto separator = ':';
constexpr auto longest_key = std::size_t{ 200 };

auto malformed() -> core::error
{
    return { core::error_code::malformed,
             "a ticket is INSTANCE:INCARNATION:MILLISECONDS:KEY" };
}

auto parse_count( std::string_view digits ) -> std::optional<std::int64_t>
{
    auto value = std::int64_t{ 0 };
    auto const* const end = digits.data() + digits.size();
    auto const [stopped, status] = std::from_chars( digits.data(), end, value );
    if ( status != std::errc{} || stopped != end || value < 0 )
        return std::nullopt;
    return value;
}

}

auto to_string( call_ticket const& ticket ) -> std::string
{
    auto const expires =
        core::milliseconds_of( ticket.expires.time_since_epoch() );
    return ticket.instance.str() + separator +
           std::to_string( ticket.incarnation.count() ) + separator +
           std::to_string( expires ) + separator + ticket.key.str();
}

auto parse_ticket( std::string const& text ) -> core::result<call_ticket>
{
    constexpr auto parts_before_key = std::size_t{ 3 };
    auto parts = std::array<std::string_view, parts_before_key>{};
    auto rest = std::string_view( text );
    for ( auto& part : parts )
    {
        auto const end = rest.find( separator );
        if ( end == std::string_view::npos )
            return malformed();
        part = rest.substr( 0, end );
        rest.remove_prefix( end + 1 );
    }
    auto const incarnation = parse_count( parts[1] );
    auto const expires = parse_count( parts[2] );
    auto const is_bad = parts[0].empty() || !incarnation || !expires ||
                        rest.empty() || rest.size() > longest_key;
    if ( is_bad )
        return malformed();
    auto ticket = call_ticket{};
    ticket.instance = core::instance_id( std::string( parts[0] ) );
    ticket.incarnation = core::incarnation( *incarnation );
    ticket.expires = core::instant( std::chrono::milliseconds( *expires ) );
    ticket.key = core::idempotency_key( std::string( rest ) );
    return ticket;
}

}
