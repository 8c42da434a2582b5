#include "fault_schedule.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>

namespace soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto span = core::duration( 20s );

constexpr auto names = std::array<std::string_view, step_kinds>{
    "send",    "go_away", "kill",  "cut",
    "silence", "hang",    "leave", "lose_instance" };

/// How often each kind is drawn, in the order of `step_kind`.
constexpr auto weights = std::array{ 60, 4, 4, 6, 6, 3, 3, 1 };

auto draw_tokens( std::mt19937_64& random ) -> std::int64_t
{
    // Mostly short, some long, a few beyond one engine's memory.
    switch ( random() % 10 )
    {
    case 0:
        return 60'000 + static_cast<std::int64_t>( random() % 120'000 );
    case 1:
    case 2:
        return 5'000 + static_cast<std::int64_t>( random() % 30'000 );
    default:
        return 100 + static_cast<std::int64_t>( random() % 3'000 );
    }
}

}

auto name_of( step_kind kind ) -> std::string_view
{
    return names[static_cast<std::size_t>( kind )];
}

auto draw_schedule( std::uint64_t seed ) -> fault_schedule
{
    auto random = std::mt19937_64( seed );
    auto schedule = fault_schedule{ seed };
    schedule.engines = 3 + static_cast<int>( random() % 4 );
    schedule.instances = 1 + static_cast<int>( random() % 3 );
    auto kinds =
        std::discrete_distribution<int>( weights.begin(), weights.end() );
    auto const count = 15 + random() % 40;
    for ( auto i = std::uint64_t{ 0 }; i < count; ++i )
    {
        auto step = schedule_step{};
        step.at = core::duration( static_cast<std::int64_t>(
            random() % static_cast<std::uint64_t>( span.count() ) ) );
        step.kind = static_cast<step_kind>( kinds( random ) );
        step.which = random();
        step.tokens = draw_tokens( random );
        schedule.steps.push_back( step );
        // Faults come together and twice.
        auto const is_doubled =
            step.kind != step_kind::send && random() % 3 == 0;
        if ( is_doubled )
            schedule.steps.push_back( step );
    }
    std::stable_sort( schedule.steps.begin(), schedule.steps.end(),
                      []( auto const& a, auto const& b )
                      {
                          return a.at < b.at;
                      } );
    return schedule;
}

auto to_string( fault_schedule const& schedule ) -> std::string
{
    auto out = std::ostringstream{};
    out << "seed " << schedule.seed << " engines " << schedule.engines
        << " instances " << schedule.instances << '\n';
    for ( auto const& step : schedule.steps )
    {
        out << core::milliseconds_of( step.at ) << "ms " << name_of( step.kind )
            << ' ' << step.which % 1'000;
        if ( step.kind == step_kind::send )
            out << " tokens " << step.tokens;
        out << '\n';
    }
    return out.str();
}

}
