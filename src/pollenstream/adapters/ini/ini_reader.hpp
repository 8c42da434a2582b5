#ifndef POLLENSTREAM_ADAPTERS_INI_INI_READER_HPP
#define POLLENSTREAM_ADAPTERS_INI_INI_READER_HPP

#include <pollenstream/core/finding.hpp>
#include <pollenstream/profiles/document.hpp>

#include <string>

namespace pollenstream::adapters::ini
{

/// Parses INI text. Invalid lines are added to `found`, with `file` as their
/// file name.
auto read_text( std::string const& file,
                std::string const& text,
                core::findings& found ) -> profiles::document;

/// Reads an INI file; one that cannot be opened is a finding.
auto read_file( std::string const& file, core::findings& found )
    -> profiles::document;

/// Returns the contents of `file`; one that cannot be opened is a finding.
auto load_file( std::string const& file, core::findings& found ) -> std::string;

}

#endif
