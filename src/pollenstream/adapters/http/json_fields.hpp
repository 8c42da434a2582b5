#ifndef POLLENSTREAM_ADAPTERS_HTTP_JSON_FIELDS_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_JSON_FIELDS_HPP

#include <pollenstream/core/error.hpp>

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstream::adapters::http
{

/// Reads members of a JSON object. The first fault is recorded with its JSON
/// path and an invalid member reads as its fallback, so that callers check
/// `status` once, at the end.
class json_fields
{
public:
    /// `path` locates the object in error messages, such as `$.messages[0]`.
    json_fields( web::json::value const& object, std::string path );

    auto text( std::string const& key, std::string fallback ) -> std::string;
    auto required_text( std::string const& key ) -> std::string;
    auto integer( std::string const& key, std::int64_t fallback )
        -> std::int64_t;
    auto real( std::string const& key, double fallback ) -> double;
    auto flag( std::string const& key, bool fallback ) -> bool;
    /// Returns the array `key`, or an empty array if it is absent or invalid.
    auto array( std::string const& key ) -> web::json::array const&;

    /// Records a fault of `key`, unless one is already recorded.
    auto fault( std::string const& key, std::string_view message ) -> void;

    [[nodiscard]] auto status() const -> core::result<void>;
    [[nodiscard]] auto path() const -> std::string const&
    {
        return path_;
    }

private:
    auto find( std::string const& key ) -> web::json::value const*;

    web::json::value const& object_;
    std::string path_;
    std::string fault_;
};

/// The JSON `text` with `null` in place of each value that is nested too deep
/// to be parsed, so that the rest can be.
auto without_deep_values( std::string const& text ) -> std::string;

/// Parses `text`; a syntax error contains its line and column.
auto parse_json( std::string const& text ) -> core::result<web::json::value>;

}

#endif
