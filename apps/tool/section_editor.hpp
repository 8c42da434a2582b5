#ifndef APPS_TOOL_SECTION_EDITOR_HPP
#define APPS_TOOL_SECTION_EDITOR_HPP

#include <optional>
#include <string>

namespace apps::tool
{

/// The lines of section `[header]` in an INI text, with the header; nothing
/// where the text has no such section.
auto find_section( std::string const& text, std::string const& header )
    -> std::optional<std::string>;

/// `text` without section `[header]`.
auto remove_section( std::string const& text, std::string const& header )
    -> std::string;

/// `text` with `section` at its end, after an empty line.
auto append_section( std::string const& text, std::string const& section )
    -> std::string;

}

#endif
