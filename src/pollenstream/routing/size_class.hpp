#ifndef POLLENSTREAM_ROUTING_SIZE_CLASS_HPP
#define POLLENSTREAM_ROUTING_SIZE_CLASS_HPP

#include <cstddef>
#include <cstdint>

namespace pollenstream::routing
{

/// Classes of prompt length that the choice of a target treats differently.
enum class size_class
{
    small,  ///< prefilled within one batch step
    medium, ///< prefilled within a second or two
    large,  ///< occupies a target for longer
};

inline constexpr std::size_t size_class_count = 3;

/// Longest prompts of the classes small and medium, in tokens.
inline constexpr auto max_small_tokens = std::int64_t{ 4'096 };
inline constexpr auto max_medium_tokens = std::int64_t{ 32'768 };

/// The class of a prompt of `tokens` tokens.
constexpr auto size_class_of( std::int64_t tokens ) noexcept -> size_class
{
    if ( tokens <= max_small_tokens )
        return size_class::small;
    return tokens <= max_medium_tokens ? size_class::medium : size_class::large;
}

constexpr auto index_of( size_class c ) noexcept -> std::size_t
{
    return static_cast<std::size_t>( c );
}

}

#endif
