#ifndef POLLENSTREAM_ROUTING_SIZE_CLASS_HPP
#define POLLENSTREAM_ROUTING_SIZE_CLASS_HPP

#include <cstddef>
#include <cstdint>

namespace pollenstream::routing
{

/// Classes of prompt length that are kept apart at targets.
enum class size_class
{
    small,  ///< read within one batch step
    medium, ///< read within a second or two
    large,  ///< holds a target up for longer
};

inline constexpr std::size_t size_class_count = 3;

/// Longest prompts of the two lower classes, in tokens.
inline constexpr auto longest_small = std::int64_t{ 4'096 };
inline constexpr auto longest_medium = std::int64_t{ 32'768 };

/// The class of a prompt of `tokens`.
constexpr auto size_of( std::int64_t tokens ) noexcept -> size_class
{
    if ( tokens <= longest_small )
        return size_class::small;
    return tokens <= longest_medium ? size_class::medium : size_class::large;
}

constexpr auto index_of( size_class c ) noexcept -> std::size_t
{
    return static_cast<std::size_t>( c );
}

}

#endif
