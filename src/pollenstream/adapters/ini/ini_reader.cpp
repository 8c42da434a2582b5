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

/// The library's line buffer; a longer line is a finding.
constexpr auto longest_line = std::size_t{ 190 };

/// What the library's callbacks share. The library does not say on which line
/// an entry stands, so the reader counts the lines that it hands out.
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

auto hand_out_line( char* buffer, int size, void* user ) -> char*
{
    auto& state = *static_cast<parse_state*>( user );
    auto line = std::string{};
    if ( !std::getline( state.lines, line ) )
        return nullptr;
    ++state.line;
    if ( line.size() > longest_line )
    {
        state.found.add( { state.out.file, state.line, "" },
                         "line is longer than " +
                             std::to_string( longest_line ) + " bytes" );
        line.clear();
    }
    // The library strips indentation only after a look for continuation
    // lines, which these files do not have.
    line.erase( 0, line.find_first_not_of( " \t" ) );
    if ( !line.empty() && line.front() == '[' )
        open_section( state, line );
    auto const room = static_cast<std::size_t>( size ) - 1;
    auto const used = std::min( line.size(), room );
    std::copy_n( line.data(), used, buffer );
    buffer[used] = '\0';
    return buffer;
}

auto take_entry( void* user,
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
    auto const first_bad_line =
        ini_parse_stream( hand_out_line, &state, take_entry, &state );
    if ( first_bad_line > 0 )
        found.add( { file, first_bad_line, "" },
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
