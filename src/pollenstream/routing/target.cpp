#include <pollenstream/core/hash.hpp>
#include <pollenstream/routing/target.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace pollenstream::routing
{

namespace
{

/// Rates assumed for a target without a load report, in tokens a second.
constexpr auto assumed_prefill_rate = 20'000.0;
constexpr auto assumed_decode_rate = 30.0;
/// Memory assumed for a target without a load report, in tokens.
constexpr auto assumed_memory = std::int64_t{ 400'000 };

/// Longest time between the choice of a target and the send to it.
constexpr auto leaving_grace = core::duration( std::chrono::seconds( 3 ) );

/// Factor applied to the remembered length of a full step at each report.
constexpr auto full_step_decay = 0.98;

constexpr auto relaxed = std::memory_order_relaxed;

auto rank_of( core::target_id const& id ) -> double
{
    return static_cast<double>( core::stable_hash( id.str() ) ) /
           static_cast<double>( std::numeric_limits<std::uint64_t>::max() );
}

auto microseconds_of( core::instant t ) -> std::int64_t
{
    return t.time_since_epoch().count();
}

}

auto name_of( target_phase phase ) -> std::string_view
{
    switch ( phase )
    {
    case target_phase::alive:
        return "alive";
    case target_phase::suspect:
        return "suspect";
    case target_phase::leaving:
        return "leaving";
    case target_phase::gone:
        return "gone";
    }
    return "unnamed";
}

target::target( target_identity identity )
    : identity_( std::move( identity ) ), rank_( rank_of( identity_.id ) ),
      memory_total_( assumed_memory ), prefill_rate_( assumed_prefill_rate ),
      decode_rate_( assumed_decode_rate )
{
}

auto target::phase() const noexcept -> target_phase
{
    return phase_.load( std::memory_order_acquire );
}

auto target::set_phase( target_phase next, core::instant now ) noexcept
    -> target_phase
{
    auto const former = phase_.exchange( next, std::memory_order_acq_rel );
    if ( former != next )
        phase_since_us_.store( microseconds_of( now ), relaxed );
    return former;
}

auto target::may_get_work( core::instant now ) const noexcept -> bool
{
    auto const current = phase();
    if ( current == target_phase::alive || current == target_phase::suspect )
        return true;
    return phase_age( now ) <= leaving_grace;
}

auto target::phase_age( core::instant now ) const noexcept -> core::duration
{
    return core::duration( microseconds_of( now ) -
                           phase_since_us_.load( relaxed ) );
}

auto target::take_report( ports::load_report const& report,
                          core::instant received ) -> void
{
    auto const measured_at = microseconds_of( received - report.age );
    if ( measured_at < measured_at_us_.load( relaxed ) )
        return;
    measured_at_us_.store( measured_at, relaxed );
    for ( auto i = std::size_t{ 0 }; i < load_.size(); ++i )
    {
        load_[i].reported.store( report.backlog[i], relaxed );
        load_[i].sent_since_report.store( 0, relaxed );
    }
    memory_used_.store( report.memory_used, relaxed );
    memory_sent_since_report_.store( 0, relaxed );
    reported_requests_.store( report.requests, relaxed );
    if ( report.memory_total > 0 )
        memory_total_.store( report.memory_total, relaxed );
    if ( report.prefill_rate > 0 )
        prefill_rate_.store( report.prefill_rate, relaxed );
    if ( report.decode_rate > 0 )
        decode_rate_.store( report.decode_rate, relaxed );
    step_seconds_.store( report.step_seconds, relaxed );
    auto const decayed = full_step_decay * full_step_seconds_.load( relaxed );
    full_step_seconds_.store( std::max( decayed, report.step_seconds ),
                              relaxed );
}

auto target::add_dispatch( dispatched_work const& work ) -> void
{
    auto& load = load_[index_of( work.priority )];
    load.own_prefill.fetch_add( work.prompt_tokens, relaxed );
    load.sent_since_report.fetch_add( work.prompt_tokens, relaxed );
    own_memory_.fetch_add( work.memory_tokens, relaxed );
    memory_sent_since_report_.fetch_add( work.memory_tokens, relaxed );
    open_requests_.fetch_add( 1, relaxed );
}

auto target::end_prefill( dispatched_work const& work ) -> void
{
    auto& load = load_[index_of( work.priority )];
    load.own_prefill.fetch_sub( work.prompt_tokens, relaxed );
}

auto target::end_dispatch( dispatched_work const& work ) -> void
{
    own_memory_.fetch_sub( work.memory_tokens, relaxed );
    open_requests_.fetch_sub( 1, relaxed );
}

auto target::backlog_before( profiles::priority priority,
                             core::instant now ) const -> std::int64_t
{
    auto reported = std::int64_t{ 0 };
    auto sent_since = std::int64_t{ 0 };
    auto own = std::int64_t{ 0 };
    for ( auto i = std::size_t{ 0 }; i <= index_of( priority ); ++i )
    {
        reported += load_[i].reported.load( relaxed );
        sent_since += load_[i].sent_since_report.load( relaxed );
        own += load_[i].own_prefill.load( relaxed );
    }
    auto const age = core::seconds_of( report_age( now ) );
    auto const drained =
        static_cast<std::int64_t>( age * prefill_rate_.load( relaxed ) );
    // What remains of the report and of this instance's dispatches since, if
    // the target prefills at its usual rate. Own work without a first token is
    // certainly still there.
    auto const left =
        std::max( std::int64_t{ 0 }, reported + sent_since - drained );
    return std::max( left, own );
}

auto target::free_memory() const -> std::int64_t
{
    auto const used = memory_used_.load( relaxed ) +
                      memory_sent_since_report_.load( relaxed );
    auto const taken = std::max( used, own_memory_.load( relaxed ) );
    return memory_total_.load( relaxed ) - taken;
}

auto target::total_memory() const -> std::int64_t
{
    return memory_total_.load( relaxed );
}

auto target::prefill_rate() const -> double
{
    return prefill_rate_.load( relaxed );
}

auto target::decode_rate() const -> double
{
    return decode_rate_.load( relaxed );
}

auto target::step_seconds() const -> double
{
    return step_seconds_.load( relaxed );
}

auto target::full_step_seconds() const -> double
{
    return full_step_seconds_.load( relaxed );
}

auto target::backlog( core::instant now ) const -> std::int64_t
{
    return backlog_before( profiles::priority::bulk, now );
}

auto target::open_requests() const -> std::int64_t
{
    return open_requests_.load( relaxed );
}

auto target::reported_requests() const -> std::int64_t
{
    return reported_requests_.load( relaxed );
}

auto target::report_age( core::instant now ) const -> core::duration
{
    auto const age = microseconds_of( now ) - measured_at_us_.load( relaxed );
    return core::duration( std::max( std::int64_t{ 0 }, age ) );
}

auto target::note_probe( core::instant now ) -> void
{
    probed_at_us_.store( microseconds_of( now ), relaxed );
}

auto target::probe_age( core::instant now ) const -> core::duration
{
    auto const last = std::max( probed_at_us_.load( relaxed ),
                                measured_at_us_.load( relaxed ) );
    return core::duration(
        std::max( std::int64_t{ 0 }, microseconds_of( now ) - last ) );
}

}
