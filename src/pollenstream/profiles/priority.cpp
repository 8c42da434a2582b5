#include <pollenstream/profiles/priority.hpp>

#include <array>

namespace pollenstream::profiles
{

namespace
{

constexpr auto priority_names =
    std::array<std::string_view, priority_count>{ "urgent", "normal", "bulk" };

}

auto name_of( priority p ) -> std::string_view
{
    return priority_names[index_of( p )];
}

auto parse_priority( std::string_view name ) -> std::optional<priority>
{
    for ( auto i = std::size_t{ 0 }; i < priority_names.size(); ++i )
    {
        if ( priority_names[i] == name )
            return static_cast<priority>( i );
    }
    return std::nullopt;
}

}
