#ifndef BENCH_ROUTING_RUN_HPP
#define BENCH_ROUTING_RUN_HPP

#include "load_mix.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// What to run: a load, by how many instances, with which policy.
struct run_plan
{
    load_mix mix;
    int instances{ 1 };
    std::string policy;
    std::uint64_t seed{ 1 };
    std::int64_t chunk_tokens{ 1'024 }; ///< read by an engine in one step
};

/// Classes of prompt length in the rows.
inline constexpr auto length_names = std::array{ "1k", "10k", "100k", "1M" };

/// What callers saw.
struct run_result
{
    std::array<std::vector<double>, length_names.size()> first_token;
    std::vector<double> short_first_token;
    std::int64_t sent{ 0 };
    std::int64_t complete{ 0 };
    std::int64_t refused{ 0 };
    std::int64_t failed{ 0 };
    std::int64_t missed_deadlines{ 0 }; ///< admitted, and ended too late
    double prompt_tokens_done{ 0 };
    double seconds{ 0 };
    std::int64_t memory_left{ 0 }; ///< tokens held at engines after the end
};

/// Runs the real sessions and policy against in-process engines in held time.
auto run_load( run_plan const& plan ) -> run_result;

/// The value below which a part `q` of the samples lies; 0 without samples.
auto quantile( std::vector<double> samples, double q ) -> double;

}

#endif
