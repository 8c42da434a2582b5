#ifndef POLLENSTREAM_PROFILES_DOCUMENT_HPP
#define POLLENSTREAM_PROFILES_DOCUMENT_HPP

#include <string>
#include <vector>

namespace pollenstream::profiles
{

/// An operators' document as it was written.
struct document_text
{
    std::string name;
    std::string text;
};

/// `key = value` with the line on which it stands.
struct document_entry
{
    std::string key;
    std::string value;
    int line{ 0 };
};

/// `[kind name]` with its entries; `name` is empty for `[kind]`.
struct document_section
{
    std::string kind;
    std::string name;
    int line{ 0 };
    std::vector<document_entry> entries;
};

/// An INI text, read but not yet checked for meaning.
struct document
{
    std::string file; ///< the name to report findings under
    std::vector<document_section> sections;
};

}

#endif
