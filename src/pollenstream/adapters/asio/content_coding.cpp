#include <pollenstream/adapters/asio/content_coding.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <string_view>

namespace pollenstream::adapters::asio
{

namespace
{

auto are_equal( std::string_view a, std::string_view b ) -> bool
{
    return boost::beast::iequals( { a.data(), a.size() },
                                  { b.data(), b.size() } );
}

/// Without blanks around it.
auto trimmed( std::string_view text ) -> std::string_view
{
    constexpr auto blanks = " \t";
    auto const first = text.find_first_not_of( blanks );
    if ( first == std::string_view::npos )
        return {};
    return text.substr( first, text.find_last_not_of( blanks ) + 1 - first );
}

}

auto has_content_coding( exchange::header_list const& fields ) -> bool
{
    return std::any_of(
        fields.begin(), fields.end(),
        []( auto const& field )
        {
            return are_equal( field.name, "Content-Encoding" ) &&
                   !are_equal( trimmed( field.value ), "identity" );
        } );
}

}
