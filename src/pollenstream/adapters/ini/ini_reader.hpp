#ifndef POLLENSTREAM_ADAPTERS_INI_INI_READER_HPP
#define POLLENSTREAM_ADAPTERS_INI_INI_READER_HPP

#include <pollenstream/core/finding.hpp>
#include <pollenstream/profiles/document.hpp>

#include <string>

namespace pollenstream::adapters::ini
{

/// Reads INI text. Lines that cannot be read become findings under `file`.
auto read_text( std::string const& file,
                std::string const& text,
                core::findings& found ) -> profiles::document;

/// Reads an INI file; one that cannot be opened is a finding.
auto read_file( std::string const& file, core::findings& found )
    -> profiles::document;

/// The whole of `file`; one that cannot be opened is a finding.
auto load_file( std::string const& file, core::findings& found ) -> std::string;

}

#endif
