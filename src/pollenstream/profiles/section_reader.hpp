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

/// Reads the entries of one section as typed values. An invalid value is added
/// to the findings with its location and replaced by the default, so that a
/// single run reports all errors. Keeps references to the arguments of the
/// constructor.
class section_reader
{
public:
    section_reader( std::string const& file,
                    document_section const& section,
                    core::findings& found );

    /// Text of `key`, or `fallback` where it is absent.
    auto text( std::string_view key, std::string const& fallback )
        -> std::string;
    /// Text of `key`; a missing or empty value is a finding.
    auto required_text( std::string_view key ) -> std::string;
    /// Words of `key`, separated by blanks, tabs or commas.
    auto words( std::string_view key ) -> std::vector<std::string>;
    /// Integer from `min` to `max`.
    auto number( std::string_view key,
                 std::int64_t fallback,
                 std::int64_t min,
                 std::int64_t max ) -> std::int64_t;
    /// Integer number of milliseconds from 0 to a week.
    auto milliseconds( std::string_view key, core::duration fallback )
        -> core::duration;
    /// True for `yes`, false for `no`.
    auto flag( std::string_view key, bool fallback ) -> bool;
    /// Address written as `IP:PORT`; a missing value is a finding.
    auto required_address( std::string_view key ) -> core::address;

    /// Adds a finding about `key`.
    auto report_error( std::string_view key, std::string message ) -> void;
    /// Adds a finding for each key that was not read and for each duplicate
    /// key. Call it after all known keys have been read.
    auto report_unexpected_keys() -> void;

private:
    auto find( std::string_view key ) -> document_entry const*;
    auto location_of( std::string_view key ) const -> core::text_place;

    std::string const& file_;
    document_section const& section_;
    core::findings& found_;
    std::vector<std::string> known_keys_;
};

}

#endif
