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

/// Where a prompt's head is probably cached.
struct prefix_home
{
    core::target_id target;
    std::int64_t tokens{ 0 }; ///< cached tokens, as far as known
};

/// Remembers which target last read which prefix: from own dispatches, and
/// from engines' cache events, which come late and with gaps. Bounded; the
/// prefix used longest ago is forgotten first.
class prefix_index
{
public:
    explicit prefix_index( std::size_t capacity );

    /// The longest known prefix of `chain`.
    auto find( core::prefix_chain const& chain ) -> std::optional<prefix_home>;
    /// Notes that `target` reads, or has read, every prefix of `chain`.
    auto note( core::prefix_chain const& chain, core::target_id const& target )
        -> void;
    /// Forgets what was known of a target that is gone.
    auto forget( core::target_id const& target ) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        std::uint64_t hash{ 0 };
        core::target_id target;
    };
    using recency = std::list<entry>;

    auto touch( std::uint64_t hash ) -> entry*;

    std::size_t capacity_;
    mutable std::mutex mutex_;
    recency entries_; ///< used last stands first
    std::unordered_map<std::uint64_t, recency::iterator> by_hash_;
};

}

#endif
