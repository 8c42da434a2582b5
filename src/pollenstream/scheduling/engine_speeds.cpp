#include <pollenstream/scheduling/engine_speeds.hpp>

#include <algorithm>

namespace pollenstream::scheduling
{

namespace
{

using namespace std::chrono_literals;

/// Lower values count as 1. A first event waits for the rest of the current
/// pass, between nothing and a whole one, and for prompts that other instances
/// send meanwhile, so that first events of an engine that runs as configured
/// vary by up to this factor.
constexpr auto min_slowdown = 2.0;
/// Higher values count as this one. An engine that is slower answers no request
/// in time, and a single extreme sample must not distort the backlog.
constexpr auto max_slowdown = 10.0;
/// Time after which an engine without samples is tried again. An engine that
/// gets no work because it was slow can only show by new work that it is fast.
constexpr auto max_sample_age = core::duration( 5s );

}

auto speed_estimate::is_expired( core::instant now ) const -> bool
{
    return !last_sample_at_ || now - *last_sample_at_ >= max_sample_age;
}

auto speed_estimate::add_sample( double slowdown, core::instant now ) -> void
{
    if ( is_expired( now ) )
        samples_ = no_samples;
    samples_[next_] = slowdown;
    next_ = ( next_ + 1 ) % sample_count;
    last_sample_at_ = now;
}

auto speed_estimate::slowdown( core::instant now ) const -> double
{
    if ( is_expired( now ) )
        return 1;
    auto sorted = samples_;
    std::sort( sorted.begin(), sorted.end() );
    auto const median = sorted[sample_count / 2];
    return median < min_slowdown ? 1 : std::min( median, max_slowdown );
}

auto samples_of( expected_first_event const& expected, core::instant at )
    -> std::vector<double>
{
    auto const observed = at - expected.sent_at;
    auto const is_late = observed > expected.time;
    if ( expected.time <= core::duration( 0 ) ||
         ( is_late && expected.slowdowns.size() > 1 ) )
        return {};
    auto const ratio =
        core::seconds_of( observed ) / core::seconds_of( expected.time );
    auto samples = expected.slowdowns;
    for ( auto& sample : samples )
        sample *= ratio;
    return samples;
}

}
