#include "load_mix.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace bench
{

namespace
{

using namespace std::chrono_literals;
using profiles::priority;

constexpr auto run_seconds = 120.0;

auto appraisals( double rate ) -> work_kind
{
    return { "appraisal", rate,  800, 2'000, 48,  priority::urgent,
             10s,         200ms, 512, 10,    true };
}

auto dossiers( double rate ) -> work_kind
{
    return { "dossier", rate,  8'000, 60'000, 96,   priority::normal,
             60s,       500ms, 2'048, 10,     false };
}

auto audits( double rate ) -> work_kind
{
    return { "audit", rate, 150'000, 1'000'000, 128,  priority::bulk,
             300s,    2s,   2'048,   3,         false };
}

auto pilbara() -> load_mix
{
    return { "pilbara",
             20,
             run_seconds,
             { appraisals( 40 ), dossiers( 2 ), audits( 0.12 ) } };
}

auto steinacher() -> load_mix
{
    auto lookups = appraisals( 25 );
    lookups.name = "lookup";
    auto drafts =
        work_kind{ "draft", 6,     2'000, 8'000, 128,  priority::normal,
                   60s,     500ms, 1'024, 2,     false };
    auto certificates =
        work_kind{ "certificate", 0.6, 30'000, 100'000, 128,  priority::normal,
                   120s,          1s,  0,      2,       false };
    auto catalogues = audits( 0.1 );
    catalogues.name = "catalogue";
    catalogues.time_base = 600s;
    return { "steinacher",
             15,
             run_seconds,
             { lookups, drafts, certificates, catalogues } };
}

auto large_workspace() -> load_mix
{
    auto small = appraisals( 30 );
    small.workspaces = 9;
    auto large =
        work_kind{ "large", 1.2, 60'000, 200'000, 96,   priority::normal,
                   120s,    1s,  0,      1,       false };
    return { "large_workspace", 16, run_seconds, { small, large } };
}

auto diurnal() -> load_mix
{
    return { "diurnal",
             20,
             run_seconds,
             { appraisals( 70 ), dossiers( 5 ), audits( 0.14 ) },
             0.35 };
}

auto upgrades() -> load_mix
{
    return { "upgrades",  20,
             run_seconds, { appraisals( 40 ), dossiers( 2 ), audits( 0.1 ) },
             0,           true };
}

/// Rate at time `t` as a part of the average.
auto rate_factor( load_mix const& mix, double t ) -> double
{
    return 1.0 +
           mix.swing * std::sin( 2.0 * std::numbers::pi * t / mix.seconds );
}

}

auto all_mixes() -> std::vector<load_mix>
{
    return { pilbara(), steinacher(), large_workspace(), diurnal(),
             upgrades() };
}

auto draw_arrivals( load_mix const& mix, std::uint64_t seed )
    -> std::vector<arrival>
{
    auto all = std::vector<arrival>{};
    for ( auto kind = std::size_t{ 0 }; kind < mix.kinds.size(); ++kind )
    {
        auto const& work = mix.kinds[kind];
        // Each kind has a generator of its own: the shorts of a mix are the
        // same requests with and without the longs.
        auto random = std::mt19937_64( seed * 1000 + kind );
        auto const most = work.per_second * ( 1.0 + mix.swing );
        auto gap = std::exponential_distribution<double>( most );
        auto unit = std::uniform_real_distribution<double>( 0, 1 );
        auto length = std::uniform_real_distribution<double>(
            std::log( static_cast<double>( work.least_tokens ) ),
            std::log( static_cast<double>( work.most_tokens ) ) );
        for ( auto t = gap( random ); t < mix.seconds; t += gap( random ) )
        {
            auto one = arrival{ core::duration_of( t ), kind };
            one.tokens = std::llround( std::exp( length( random ) ) );
            one.workspace = static_cast<int>(
                random() % static_cast<std::uint64_t>( work.workspaces ) );
            one.draw = random();
            auto const keep = rate_factor( mix, t ) / ( 1.0 + mix.swing );
            if ( unit( random ) < keep )
                all.push_back( one );
        }
    }
    std::stable_sort( all.begin(), all.end(),
                      []( arrival const& a, arrival const& b )
                      {
                          return a.at < b.at;
                      } );
    return all;
}

auto shorts_alone( load_mix mix ) -> load_mix
{
    // Kinds keep their places, so that the generators stay the same.
    for ( auto& kind : mix.kinds )
    {
        if ( !kind.is_short )
            kind.per_second = 1e-9;
    }
    return mix;
}

}
