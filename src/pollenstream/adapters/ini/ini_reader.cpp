#include <pollenstream/adapters/ini/ini_reader.hpp>

#include <algorithm>
#include <fstream>
#include <ini.h>
#include <sstream>
#include <string_view>

namespace pollenstream::adapters::ini
{

namespace
{

/// What fits the library's line buffer; a longer line is a finding.
constexpr auto max_line_size = std::size_t{ 190 };

/// State that the library's callbacks share. The library does not report the
/// line number of an entry, so the reader counts the lines it supplies.
struct parse_state
{
    std::istringstream lines;
    int line{ 0 };
    core::findings& found;
    profiles::document out;
};

auto split_section( std::string const& header, int line )
    -> profiles::document_section
{
    auto section = profiles::document_section{};
    auto const blank = header.find( ' ' );
    section.kind = header.substr( 0, blank );
    auto const name = header.find_first_not_of( ' ', blank );
    if ( blank != std::string::npos && name != std::string::npos )
        section.name = header.substr( name );
    section.line = line;
    return section;
}

auto open_section( parse_state& state, std::string const& text ) -> void
{
    auto const close = text.find( ']' );
    if ( close == std::string::npos )
        return;
    state.out.sections.push_back(
        split_section( text.substr( 1, close - 1 ), state.line ) );
}

auto supply_line( char* buffer, int size, void* user ) -> char*
{
    auto& state = *static_cast<parse_state*>( user );
    auto line = std::string{};
    if ( !std::getline( state.lines, line ) )
        return nullptr;
    ++state.line;
    if ( line.size() > max_line_size )
    {
        state.found.add( { state.out.file, state.line, "" },
                         "line is longer than " +
                             std::to_string( max_line_size ) + " bytes" );
        line.clear();
    }
    // The library checks for continuation lines before it strips indentation.
    // These files have no continuation lines, so indentation is removed here.
    line.erase( 0, line.find_first_not_of( " \t" ) );
    if ( !line.empty() && line.front() == '[' )
        open_section( state, line );
    auto const capacity = static_cast<std::size_t>( size ) - 1;
    auto const used = std::min( line.size(), capacity );
    std::copy_n( line.data(), used, buffer );
    buffer[used] = '\0';
    return buffer;
}

auto add_entry( void* user,
                char const* section,
                char const* name,
                char const* value ) -> int
{
    auto& state = *static_cast<parse_state*>( user );
    auto const in_section = section && *section != '\0';
    if ( !in_section || state.out.sections.empty() )
    {
        state.found.add( { state.out.file, state.line, name },
                         "stands before any [section]" );
        return 1;
    }
    state.out.sections.back().entries.push_back(
        { name, value ? value : "", state.line } );
    return 1;
}

}

auto read_text( std::string const& file,
                std::string const& text,
                core::findings& found ) -> profiles::document
{
    auto state = parse_state{ std::istringstream( text ), 0, found, {} };
    state.out.file = file;
    auto const first_invalid_line =
        ini_parse_stream( supply_line, &state, add_entry, &state );
    if ( first_invalid_line > 0 )
        found.add( { file, first_invalid_line, "" },
                   "is neither [section] nor key = value" );
    return std::move( state.out );
}

auto load_file( std::string const& file, core::findings& found ) -> std::string
{
    auto in = std::ifstream( file, std::ios::binary );
    if ( !in )
    {
        found.add( { file, 0, "" }, "cannot be opened" );
        return {};
    }
    auto text = std::ostringstream{};
    text << in.rdbuf();
    return text.str();
}

auto read_file( std::string const& file, core::findings& found )
    -> profiles::document
{
    auto const before = found.all().size();
    auto const text = load_file( file, found );
    if ( found.all().size() != before )
        return { file, {} };
    return read_text( file, text, found );
}

}
