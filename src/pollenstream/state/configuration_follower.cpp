#include <pollenstream/state/configuration_follower.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::state
{

namespace
{

using namespace std::chrono_literals;

constexpr auto watch_timeout = core::duration( 30s );
constexpr auto min_pause = core::duration( 200ms );
constexpr auto max_pause = core::duration( 10s );

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
    auto const current =
        store_.watch( head_key, known_version_, watch_timeout );
    if ( !current )
        return backoff_after_failure();
    if ( current.value().version == known_version_ )
    {
        consecutive_failures_ = 0;
        return core::duration( 0 );
    }
    auto bundle = load_bundle( store_, codec_, holder_.bundle() );
    if ( !bundle )
        return backoff_after_failure();
    auto const result = holder_.adopt( std::move( bundle.value() ) );
    // A configuration that was refused would be refused again, so mark it as
    // known and wait for the next change.
    known_version_ = current.value().version;
    consecutive_failures_ = 0;
    if ( result && result.value() )
        adopted.add();
    else
        refused.add();
    return core::duration( 0 );
}

auto configuration_follower::backoff_after_failure() -> core::duration
{
    failures.add();
    constexpr auto max_doublings = 6;
    auto const doublings = std::min( consecutive_failures_++, max_doublings );
    auto const upper_bound =
        std::min( max_pause, min_pause * ( 1 << doublings ) );
    auto distribution = std::uniform_int_distribution<std::int64_t>(
        upper_bound.count() / 2, upper_bound.count() );
    return core::duration( distribution( random_ ) );
}

}
