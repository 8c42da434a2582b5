#ifndef POLLENSTREAM_ADMISSION_WORKSPACE_LIMITS_HPP
#define POLLENSTREAM_ADMISSION_WORKSPACE_LIMITS_HPP

#include <pollenstream/admission/token_bucket.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/profile.hpp>

#include <array>
#include <mutex>
#include <unordered_map>

namespace pollenstream::admission
{

/// This instance's part of each workspace's limits. `part` is the share of
/// the whole limit that this instance may hand out, from 0 to 1; the homes of
/// a workspace divide it between them (see `membership::limit_owners`).
class workspace_limits
{
public:
    /// Takes one request of `prompt_tokens`. Returns 0, or after what time it
    /// can succeed.
    auto take( profiles::workspace const& limits,
               double part,
               core::token_count prompt_tokens,
               core::instant now ) -> core::duration;

    /// Forgets workspaces that are idle since `before`.
    auto forget_idle( core::instant before ) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct buckets
    {
        token_bucket requests;
        token_bucket tokens;
    };
    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<core::workspace_id, buckets> by_workspace;
    };
    static constexpr auto shard_count = std::size_t{ 16 };

    std::array<shard, shard_count> shards_;
};

}

#endif
