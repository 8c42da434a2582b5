#ifndef BENCH_LOAD_MIX_HPP
#define BENCH_LOAD_MIX_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/profile.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bench
{

namespace core = pollenstream::core;
namespace profiles = pollenstream::profiles;

/// One kind of work in a mix.
struct work_kind
{
    std::string name;
    double per_second{ 0 };         ///< arrivals, on average
    std::int64_t least_tokens{ 0 }; ///< of the prompt; lengths are spread
    std::int64_t most_tokens{ 0 };  ///< evenly over their logarithm
    std::int64_t output_tokens{ 0 };
    profiles::priority order{ profiles::priority::normal };
    core::duration time_base{ 0 };
    core::duration time_per_1k{ 0 };
    std::int64_t shared_head{ 0 }; ///< tokens that a workspace's prompts share
    int workspaces{ 1 };
    bool is_short{ false };
};

/// A load to measure under.
struct load_mix
{
    std::string name;
    int engines{ 0 };
    double seconds{ 0 };
    std::vector<work_kind> kinds;
    double swing{ 0 };      ///< of the rate, as in a day, from 0 to 1
    bool upgrades{ false }; ///< engines are replaced one after another
};

/// One request of a load.
struct arrival
{
    core::duration at{ 0 };
    std::size_t kind{ 0 };
    std::int64_t tokens{ 0 };
    int workspace{ 0 };
    std::uint64_t draw{ 0 }; ///< for the choice of instance
};

auto all_mixes() -> std::vector<load_mix>;

/// The requests of a mix; equal seeds make equal loads.
auto draw_arrivals( load_mix const& mix, std::uint64_t seed )
    -> std::vector<arrival>;

/// The mix with its short work alone.
auto shorts_alone( load_mix mix ) -> load_mix;

}

#endif
