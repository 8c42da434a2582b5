#ifndef POLLENSTREAM_PROFILES_PRIORITY_HPP
#define POLLENSTREAM_PROFILES_PRIORITY_HPP

#include <cstddef>
#include <optional>
#include <string_view>

namespace pollenstream::profiles
{

/// Priority with which an engine prefills prompts; lower values go first.
enum class priority
{
    urgent, ///< a person waits for the answer
    normal,
    bulk, ///< the answer may take hours
};

inline constexpr std::size_t priority_count = 3;

/// Index of `p` in an array with `priority_count` elements.
constexpr auto index_of( priority p ) noexcept -> std::size_t
{
    return static_cast<std::size_t>( p );
}

/// The name used in profiles: `urgent`, `normal` or `bulk`.
auto name_of( priority p ) -> std::string_view;

/// The priority of that name, or nothing if the name is unknown.
auto parse_priority( std::string_view name ) -> std::optional<priority>;

}

#endif
