#include <pollenstream/peers/cbor.hpp>

#include <cstddef>

namespace pollenstream::peers
{

namespace
{

using nlohmann::json;
using json_builder = nlohmann::detail::json_sax_dom_parser<json>;

/// Messages between instances have about eight levels.
constexpr auto max_depth = 32;

/// Builds a JSON value and stops at an array or object that is too deep, or at
/// one value too many.
class limited_builder : public json_builder
{
public:
    explicit limited_builder( json& into ) : json_builder( into, false ) {}
    auto null() -> bool
    {
        return count() && json_builder::null();
    }
    auto boolean( bool value ) -> bool
    {
        return count() && json_builder::boolean( value );
    }
    auto number_integer( json::number_integer_t value ) -> bool
    {
        return count() && json_builder::number_integer( value );
    }
    auto number_unsigned( json::number_unsigned_t value ) -> bool
    {
        return count() && json_builder::number_unsigned( value );
    }
    auto number_float( json::number_float_t value, std::string const& text )
        -> bool
    {
        return count() && json_builder::number_float( value, text );
    }
    auto string( std::string& value ) -> bool
    {
        return count() && json_builder::string( value );
    }
    auto binary( json::binary_t& value ) -> bool
    {
        return count() && json_builder::binary( value );
    }
    auto start_array( std::size_t size ) -> bool
    {
        return count() && ++depth_ <= max_depth &&
               json_builder::start_array( size );
    }
    auto end_array() -> bool
    {
        --depth_;
        return json_builder::end_array();
    }
    auto start_object( std::size_t size ) -> bool
    {
        return count() && ++depth_ <= max_depth &&
               json_builder::start_object( size );
    }
    auto end_object() -> bool
    {
        --depth_;
        return json_builder::end_object();
    }

private:
    /// False for one value too many.
    auto count() -> bool
    {
        return ++values_ <= max_cbor_values;
    }

    int depth_{ 0 };
    std::size_t values_{ 0 };
};

}

auto parse_cbor( std::string_view bytes ) -> core::result<json>
{
    auto value = json{};
    auto builder = limited_builder( value );
    try
    {
        if ( json::sax_parse( bytes, &builder, json::input_format_t::cbor ) )
            return value;
        return core::error{ core::error_code::malformed, "invalid CBOR" };
    }
    catch ( json::exception const& e )
    {
        // The builder throws if a value announces an impossible size.
        return core::error{ core::error_code::malformed, e.what() };
    }
}

}
