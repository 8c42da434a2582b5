#include <pollenstream/adapters/http/json_fields.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

/// Text with deeper nesting is rejected before the recursive parser sees it.
constexpr auto max_nesting_depth = 64;

/// Follows the nesting of JSON text, character by character.
class nesting
{
public:
    /// Returns the depth of the value that `c` belongs to.
    auto take( char c ) -> int
    {
        if ( is_escaped_ || ( in_string_ && c == '\\' ) )
            is_escaped_ = !is_escaped_;
        else if ( c == '"' )
            in_string_ = !in_string_;
        else if ( !in_string_ && ( c == '[' || c == '{' ) )
            return ++depth_;
        else if ( !in_string_ && ( c == ']' || c == '}' ) )
            return depth_--;
        return depth_;
    }

private:
    int depth_{ 0 };
    bool in_string_{ false };
    bool is_escaped_{ false };
};

auto is_nested_too_deep( std::string const& text ) -> bool
{
    auto at = nesting{};
    return std::any_of( text.begin(), text.end(),
                        [&at]( char c )
                        {
                            return at.take( c ) > max_nesting_depth;
                        } );
}

auto empty_array() -> web::json::array const&
{
    static auto const empty = web::json::value::array();
    return empty.as_array();
}

}

json_fields::json_fields( web::json::value const& object, std::string path )
    : object_( object ), path_( std::move( path ) )
{
    if ( !object_.is_object() )
        fault_ = path_ + " is not an object";
}

auto json_fields::find( std::string const& key ) -> web::json::value const*
{
    if ( !object_.is_object() )
        return nullptr;
    auto const& members = object_.as_object();
    auto const at = members.find( key );
    auto const is_absent = at == members.end() || at->second.is_null();
    return is_absent ? nullptr : &at->second;
}

auto json_fields::text( std::string const& key, std::string fallback )
    -> std::string
{
    auto const* const value = find( key );
    if ( !value )
        return fallback;
    if ( value->is_string() )
        return value->as_string();
    fault( key, "is not a string" );
    return fallback;
}

auto json_fields::required_text( std::string const& key ) -> std::string
{
    if ( !find( key ) )
        fault( key, "is required" );
    return text( key, {} );
}

auto json_fields::integer( std::string const& key, std::int64_t fallback )
    -> std::int64_t
{
    auto const* const value = find( key );
    if ( !value )
        return fallback;
    if ( value->is_number() && value->as_number().is_int64() )
        return value->as_number().to_int64();
    fault( key, "is not an integer" );
    return fallback;
}

auto json_fields::real( std::string const& key, double fallback ) -> double
{
    auto const* const value = find( key );
    if ( !value )
        return fallback;
    if ( value->is_number() )
        return value->as_number().to_double();
    fault( key, "is not a number" );
    return fallback;
}

auto json_fields::flag( std::string const& key, bool fallback ) -> bool
{
    auto const* const value = find( key );
    if ( !value )
        return fallback;
    if ( value->is_boolean() )
        return value->as_bool();
    fault( key, "is neither true nor false" );
    return fallback;
}

auto json_fields::array( std::string const& key ) -> web::json::array const&
{
    auto const* const value = find( key );
    if ( !value )
        return empty_array();
    if ( value->is_array() )
        return value->as_array();
    fault( key, "is not an array" );
    return empty_array();
}

auto json_fields::fault( std::string const& key, std::string_view message )
    -> void
{
    if ( fault_.empty() )
        fault_ = path_ + "." + key + " " + std::string( message );
}

auto json_fields::status() const -> core::result<void>
{
    if ( fault_.empty() )
        return core::success();
    return core::error{ core::error_code::malformed, fault_ };
}

auto without_deep_values( std::string const& text ) -> std::string
{
    auto kept = std::string{};
    auto at = nesting{};
    auto was_deep = false;
    for ( auto const c : text )
    {
        auto const is_deep = at.take( c ) > max_nesting_depth;
        if ( is_deep && !was_deep )
            kept += "null";
        if ( !is_deep )
            kept += c;
        was_deep = is_deep;
    }
    return kept;
}

auto parse_json( std::string const& text ) -> core::result<web::json::value>
{
    if ( is_nested_too_deep( text ) )
        return core::error{ core::error_code::malformed,
                            "the JSON is nested too deep" };
    auto status = std::error_code{};
    auto value = web::json::value::parse( text, status );
    if ( !status )
        return value;
    // The parser reports line and column only in its exception.
    try
    {
        web::json::value::parse( text );
    }
    catch ( web::json::json_exception const& failure )
    {
        return core::error{ core::error_code::malformed, failure.what() };
    }
    return core::error{ core::error_code::malformed, status.message() };
}

}
