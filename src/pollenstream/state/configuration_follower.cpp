#include <pollenstream/state/configuration_follower.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::state
{

namespace
{

using namespace std::chrono_literals;

constexpr auto watch_time = core::duration( 30s );
constexpr auto shortest_pause = core::duration( 200ms );
constexpr auto longest_pause = core::duration( 10s );

}

configuration_follower::configuration_follower(
    ports::key_value_store& store,
    ports::configuration_codec const& codec,
    configuration_holder& holder,
    std::uint64_t seed )
    : store_( store ), codec_( codec ), holder_( holder ), random_( seed )
{
}

auto configuration_follower::follow_once() -> core::duration
{
    watches.add();
    auto const seen = store_.watch( head_key, seen_, watch_time );
    if ( !seen )
        return pause_after_failure();
    if ( seen.value().version == seen_ )
    {
        failures_in_a_row_ = 0;
        return core::duration( 0 );
    }
    auto bundle = load_bundle( store_, codec_, holder_.bundle() );
    if ( !bundle )
        return pause_after_failure();
    auto const taken = holder_.adopt( std::move( bundle.value() ) );
    // What cannot be taken over now cannot be later either: wait for the next
    // change instead of asking for this one again.
    seen_ = seen.value().version;
    failures_in_a_row_ = 0;
    if ( taken && taken.value() )
        adopted.add();
    else
        refused.add();
    return core::duration( 0 );
}

auto configuration_follower::pause_after_failure() -> core::duration
{
    failures.add();
    constexpr auto most_doublings = 6;
    auto const doublings = std::min( failures_in_a_row_++, most_doublings );
    auto const width =
        std::min( longest_pause, shortest_pause * ( 1 << doublings ) );
    auto draw = std::uniform_int_distribution<std::int64_t>( width.count() / 2,
                                                             width.count() );
    return core::duration( draw( random_ ) );
}

}
