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

/// Prefix hashes of one prompt, shortest first. Each prefix is four times as
/// long as the one before, from 1024 tokens: a prompt of 1048576 tokens has
/// six.
using prefix_chain = std::vector<prefix_mark>;

/// Assumed bytes per prompt token, used until an engine has counted the tokens.
inline constexpr auto bytes_per_token = std::int64_t{ 4 };

/// Estimated length of `prompt` in tokens; at least one.
auto estimate_tokens( std::string_view prompt ) -> token_count;

/// Hashes the prefixes of `prompt`; the chain is empty for a prompt of less
/// than 1024 tokens.
auto mark_prefixes( std::string_view prompt ) -> prefix_chain;

}

#endif
