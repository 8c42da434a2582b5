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
constexpr auto max_key_length = std::size_t{ 200 };

auto malformed() -> core::error
{
    return { core::error_code::malformed,
             "a ticket is INSTANCE:INCARNATION:MILLISECONDS:KEY" };
}

auto parse_non_negative( std::string_view digits )
    -> std::optional<std::int64_t>
{
    auto value = std::int64_t{ 0 };
    auto const* const end = digits.data() + digits.size();
    auto const [parsed_end, error] =
        std::from_chars( digits.data(), end, value );
    if ( error != std::errc{} || parsed_end != end || value < 0 )
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
    constexpr auto field_count = std::size_t{ 3 };
    auto fields = std::array<std::string_view, field_count>{};
    auto rest = std::string_view( text );
    for ( auto& field : fields )
    {
        auto const end = rest.find( separator );
        if ( end == std::string_view::npos )
            return malformed();
        field = rest.substr( 0, end );
        rest.remove_prefix( end + 1 );
    }
    auto const incarnation = parse_non_negative( fields[1] );
    auto const expires = parse_non_negative( fields[2] );
    auto const is_invalid = fields[0].empty() || !incarnation || !expires ||
                            rest.empty() || rest.size() > max_key_length;
    if ( is_invalid )
        return malformed();
    auto ticket = call_ticket{};
    ticket.instance = core::instance_id( std::string( fields[0] ) );
    ticket.incarnation = core::incarnation( *incarnation );
    ticket.expires = core::instant( std::chrono::milliseconds( *expires ) );
    ticket.key = core::idempotency_key( std::string( rest ) );
    return ticket;
}

}
