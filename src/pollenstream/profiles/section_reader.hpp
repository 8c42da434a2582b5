#ifndef POLLENSTREAM_PROFILES_SECTION_READER_HPP
#define POLLENSTREAM_PROFILES_SECTION_READER_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/finding.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/document.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstream::profiles
{

/// Reads the entries of one section as typed values. Each fault becomes a
/// finding with its place and the default is used, so that one pass reports
/// everything.
class section_reader
{
public:
    section_reader( std::string const& file,
                    document_section const& section,
                    core::findings& found );

    /// Text of `key`, or `fallback` where it is absent.
    auto text( std::string_view key, std::string const& fallback )
        -> std::string;
    /// Text of `key`; its absence is a finding.
    auto required_text( std::string_view key ) -> std::string;
    /// Words of `key`, separated by blanks or commas.
    auto words( std::string_view key ) -> std::vector<std::string>;
    /// Integer from `least` to `most`.
    auto number( std::string_view key,
                 std::int64_t fallback,
                 std::int64_t least,
                 std::int64_t most ) -> std::int64_t;
    /// Integer number of milliseconds from 0 to a week.
    auto milliseconds( std::string_view key, core::duration fallback )
        -> core::duration;
    /// `yes` or `no`.
    auto flag( std::string_view key, bool fallback ) -> bool;
    /// `IP:PORT`; its absence is a finding.
    auto required_address( std::string_view key ) -> core::address;

    /// Reports a fault of `key`.
    auto fault( std::string_view key, std::string message ) -> void;
    /// Reports keys that nobody has read, and keys that stand twice.
    auto finish() -> void;

private:
    auto find( std::string_view key ) -> document_entry const*;
    auto place_of( std::string_view key ) const -> core::text_place;

    std::string const& file_;
    document_section const& section_;
    core::findings& found_;
    std::vector<std::string> known_;
};

}

#endif
