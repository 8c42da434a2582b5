#ifndef POLLENSTREAM_ROUTING_PREFIX_INDEX_HPP
#define POLLENSTREAM_ROUTING_PREFIX_INDEX_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/prefix_chain.hpp>

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace pollenstream::routing
{

/// A prefix of a prompt and the target that has probably cached it.
struct cached_prefix
{
    core::target_id target;
    std::int64_t tokens{ 0 }; ///< length of the prefix
};

/// Bounded LRU index of the target that last processed each prefix. Its
/// sources are this instance's dispatches and the engines' cache events, which
/// arrive late and with gaps.
class prefix_index
{
public:
    explicit prefix_index( std::size_t capacity );

    /// The longest known prefix of `chain`, or nothing.
    auto find( core::prefix_chain const& chain )
        -> std::optional<cached_prefix>;
    /// Notes that `target` processes, or has processed, every prefix of
    /// `chain`.
    auto note( core::prefix_chain const& chain, core::target_id const& target )
        -> void;
    /// Removes all prefixes of `target`.
    auto forget( core::target_id const& target ) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        std::uint64_t hash{ 0 };
        core::target_id target;
    };
    using lru_list = std::list<entry>;

    /// The entry of `hash` as the most recently used one, or null.
    auto touch( std::uint64_t hash ) -> entry*;

    std::size_t capacity_;
    mutable std::mutex mutex_;
    lru_list entries_; ///< most recently used first
    std::unordered_map<std::uint64_t, lru_list::iterator> by_hash_;
};

}

#endif
