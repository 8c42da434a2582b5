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

/// Enforces this instance's share of the rate limits of each workspace. `share`
/// is the part of the whole limit that this instance may grant, from 0 to 1;
/// the limit owners of a workspace divide its limit between them (see
/// `membership::limit_owners`).
class workspace_limits
{
public:
    /// Takes one request with `prompt_tokens` from the limits. Returns 0, or
    /// the time after which it can succeed.
    auto take( profiles::workspace const& limits,
               double share,
               core::token_count prompt_tokens,
               core::instant now ) -> core::duration;

    /// Removes the state of workspaces without requests since `before`.
    auto forget_idle( core::instant before ) -> void;

    /// Number of workspaces with state.
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
