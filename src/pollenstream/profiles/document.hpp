#ifndef POLLENSTREAM_PROFILES_DOCUMENT_HPP
#define POLLENSTREAM_PROFILES_DOCUMENT_HPP

#include <string>
#include <vector>

namespace pollenstream::profiles
{

/// A configuration document of the operators, not yet parsed.
struct document_text
{
    std::string name;
    std::string text;
};

/// One `key = value` and its line number.
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

/// A parsed INI text; its sections, keys and values are not yet validated.
struct document
{
    std::string file; ///< file name that findings report
    std::vector<document_section> sections;
};

}

#endif
