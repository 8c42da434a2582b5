#include <pollenstream/exchange/event_splitter.hpp>

#include <charconv>
#include <string_view>

namespace pollenstream::exchange
{

namespace
{

/// Length of the line end and blank line that start at `at`, or 0.
auto blank_line_length( std::string_view text, std::size_t at ) -> std::size_t
{
    if ( text.substr( at, 2 ) == "\n\n" )
        return 2;
    if ( text.substr( at, 3 ) == "\n\r\n" )
        return 3;
    return 0;
}

auto parse_id( std::string_view event ) -> std::optional<std::int64_t>
{
    constexpr auto field = std::string_view( "id:" );
    auto at = std::size_t{ 0 };
    while ( at < event.size() )
    {
        auto const end = std::min( event.find( '\n', at ), event.size() );
        auto line = event.substr( at, end - at );
        at = end + 1;
        if ( !line.starts_with( field ) )
            continue;
        line.remove_prefix( field.size() );
        while ( line.starts_with( ' ' ) )
            line.remove_prefix( 1 );
        auto id = std::int64_t{ 0 };
        auto const read =
            std::from_chars( line.data(), line.data() + line.size(), id );
        if ( read.ec == std::errc{} )
            return id;
    }
    return std::nullopt;
}

}

auto event_splitter::take( std::string const& bytes )
    -> std::vector<stream_event>
{
    auto events = std::vector<stream_event>{};
    // A blank line may start with the last two bytes of the earlier ones.
    constexpr auto overlap = std::size_t{ 2 };
    auto from = pending_.size() > overlap ? pending_.size() - overlap : 0;
    pending_ += bytes;
    auto start = std::size_t{ 0 };
    for ( auto at = pending_.find( '\n', from ); at != std::string::npos;
          at = pending_.find( '\n', at ) )
    {
        auto const blank = blank_line_length( pending_, at );
        if ( blank == 0 )
        {
            ++at;
            continue;
        }
        auto const end = at + blank;
        auto event = pending_.substr( start, end - start );
        auto const id = parse_id( event );
        events.push_back( { std::move( event ), id } );
        start = end;
        at = end;
    }
    pending_.erase( 0, start );
    return events;
}

}
