#include "section_editor.hpp"

#include <sstream>

namespace apps::tool
{

namespace
{

/// A text cut in two: the lines of one section, and all others.
struct split_text
{
    std::string section;
    std::string rest;
};

auto split( std::string const& text, std::string const& header ) -> split_text
{
    auto parts = split_text{};
    auto lines = std::istringstream( text );
    auto line = std::string{};
    auto inside = false;
    while ( std::getline( lines, line ) )
    {
        if ( !line.empty() && line.front() == '[' )
            inside = line.rfind( "[" + header + "]", 0 ) == 0;
        auto& part = inside ? parts.section : parts.rest;
        part += line + "\n";
    }
    return parts;
}

}

auto find_section( std::string const& text, std::string const& header )
    -> std::optional<std::string>
{
    auto const parts = split( text, header );
    if ( parts.section.empty() )
        return std::nullopt;
    return parts.section;
}

auto remove_section( std::string const& text, std::string const& header )
    -> std::string
{
    return split( text, header ).rest;
}

auto append_section( std::string const& text, std::string const& section )
    -> std::string
{
    auto const gap = text.empty() || text.back() == '\n' ? "" : "\n";
    auto const blank = text.empty() ? "" : "\n";
    return text + gap + blank + section;
}

}
