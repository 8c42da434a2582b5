#ifndef POLLENSTREAM_CORE_PREFIX_CHAIN_HPP
#define POLLENSTREAM_CORE_PREFIX_CHAIN_HPP

#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace pollenstream::core
{

/// Hash of a prompt's first `tokens` tokens.
struct prefix_mark
{
    std::int64_t tokens{ 0 };
    std::uint64_t hash{ 0 };

    friend auto operator==( prefix_mark, prefix_mark ) -> bool = default;
};

/// Marks of one prompt, shortest first. Marks stand at lengths that grow
/// fourfold, so that a prompt of a million tokens has six.
using prefix_chain = std::vector<prefix_mark>;

/// Bytes of prompt that are taken for one token before an engine has counted.
inline constexpr auto bytes_per_token = std::int64_t{ 4 };

/// Estimated length of `prompt`; at least one token.
auto estimate_tokens( std::string_view prompt ) -> token_count;

/// The marks of `prompt`.
auto mark_prefixes( std::string_view prompt ) -> prefix_chain;

}

#endif
