#ifndef POLLENSTREAM_PROFILES_PRIORITY_HPP
#define POLLENSTREAM_PROFILES_PRIORITY_HPP

#include <cstddef>
#include <optional>
#include <string_view>

namespace pollenstream::profiles
{

/// The order in which an engine reads prompts; lower values go first.
enum class priority
{
    urgent, ///< a person waits
    normal,
    bulk, ///< hours may pass
};

inline constexpr std::size_t priority_count = 3;

/// Index of `p` in arrays of `priority_count`.
constexpr auto index_of( priority p ) noexcept -> std::size_t
{
    return static_cast<std::size_t>( p );
}

/// The name in a profile: `urgent`, `normal` or `bulk`.
auto name_of( priority p ) -> std::string_view;

/// Reads the name in a profile.
auto parse_priority( std::string_view name ) -> std::optional<priority>;

}

#endif
