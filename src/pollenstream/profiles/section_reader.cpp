#include <pollenstream/profiles/section_reader.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace pollenstream::profiles
{

namespace
{

constexpr auto milliseconds_in_a_week = std::int64_t{ 7 } * 24 * 60 * 60 * 1000;

auto parse_number( std::string const& text ) -> std::optional<std::int64_t>
{
    auto value = std::int64_t{ 0 };
    auto const* const end = text.data() + text.size();
    auto const [parsed_end, status] =
        std::from_chars( text.data(), end, value );
    if ( status != std::errc{} || parsed_end != end )
        return std::nullopt;
    return value;
}

}

section_reader::section_reader( std::string const& file,
                                document_section const& section,
                                core::findings& found )
    : file_( file ), section_( section ), found_( found )
{
}

auto section_reader::text( std::string_view key, std::string const& fallback )
    -> std::string
{
    auto const* const entry = find( key );
    return entry ? entry->value : fallback;
}

auto section_reader::required_text( std::string_view key ) -> std::string
{
    auto const* const entry = find( key );
    if ( entry && !entry->value.empty() )
        return entry->value;
    report_error( key, "is required" );
    return {};
}

auto section_reader::words( std::string_view key ) -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    auto word = std::string{};
    for ( auto const c : text( key, {} ) + " " )
    {
        auto const separates = c == ' ' || c == '\t' || c == ',';
        if ( !separates )
            word += c;
        else if ( !word.empty() )
            result.push_back( std::exchange( word, {} ) );
    }
    return result;
}

auto section_reader::number( std::string_view key,
                             std::int64_t fallback,
                             std::int64_t min,
                             std::int64_t max ) -> std::int64_t
{
    auto const* const entry = find( key );
    if ( !entry )
        return fallback;
    auto const value = parse_number( entry->value );
    if ( value && *value >= min && *value <= max )
        return *value;
    report_error( key, "'" + entry->value + "' is not a whole number from " +
                           std::to_string( min ) + " to " +
                           std::to_string( max ) );
    return fallback;
}

auto section_reader::milliseconds( std::string_view key,
                                   core::duration fallback ) -> core::duration
{
    auto const count = number( key, core::milliseconds_of( fallback ), 0,
                               milliseconds_in_a_week );
    return std::chrono::milliseconds( count );
}

auto section_reader::flag( std::string_view key, bool fallback ) -> bool
{
    auto const* const entry = find( key );
    if ( !entry )
        return fallback;
    if ( entry->value == "yes" )
        return true;
    if ( entry->value == "no" )
        return false;
    report_error( key, "'" + entry->value + "' is neither yes nor no" );
    return fallback;
}

auto section_reader::required_address( std::string_view key ) -> core::address
{
    auto const value = required_text( key );
    if ( value.empty() )
        return {};
    auto const parsed = core::parse_address( value );
    if ( parsed )
        return parsed.value();
    report_error( key, parsed.error().detail );
    return {};
}

auto section_reader::report_error( std::string_view key, std::string message )
    -> void
{
    found_.add( location_of( key ), std::move( message ) );
}

auto section_reader::report_unexpected_keys() -> void
{
    auto seen_keys = std::set<std::string>{};
    for ( auto const& entry : section_.entries )
    {
        auto const is_known = std::find( known_keys_.begin(), known_keys_.end(),
                                         entry.key ) != known_keys_.end();
        auto const is_first = seen_keys.insert( entry.key ).second;
        auto const location = core::text_place{
            file_, entry.line, section_.kind + "." + entry.key };
        if ( !is_known )
            found_.add( location, "is not a known key" );
        else if ( !is_first )
            found_.add( location, "stands twice" );
    }
}

auto section_reader::find( std::string_view key ) -> document_entry const*
{
    known_keys_.emplace_back( key );
    for ( auto const& entry : section_.entries )
    {
        if ( entry.key == key )
            return &entry;
    }
    return nullptr;
}

auto section_reader::location_of( std::string_view key ) const
    -> core::text_place
{
    auto line = section_.line;
    for ( auto const& entry : section_.entries )
    {
        if ( entry.key == key )
            line = entry.line;
    }
    return { file_, line, section_.kind + "." + std::string( key ) };
}

}
