#include <pollenstream/exchange/exchange.hpp>

#include <algorithm>

// Member functions of exchange that record when its first event is expected
// after the latency objective. They change nothing of how it is served.

namespace pollenstream::exchange
{

/// Checks the wait when the latency objective has passed, if the request still
/// has no target then.
auto exchange::arm_objective_timer() -> void
{
    if ( lateness_.is_done() || events_ > 0 )
        return;
    auto const due = request_.received + lateness_.objective();
    objective_timer_ = call_after(
        std::max( due - context_.scheduler.now(), core::duration( 0 ) ),
        &exchange::on_objective_passed );
}

auto exchange::on_objective_passed() -> void
{
    if ( finished_ || !waiting_ || events_ > 0 )
        return;
    auto const waited = context_.scheduler.now() - request_.received;
    if ( auto const reason = lateness_.on_wait( waited ) )
        record_lateness( *reason, std::nullopt );
}

/// Uses the waiting time and the prediction that the `placed` line shows, so
/// that both lines agree. After the first event there is nothing to expect.
auto exchange::note_predicted_lateness( placement_choice const& choice ) -> void
{
    if ( events_ > 0 )
        return;
    auto own_prefill_ms = 0.0;
    for ( auto i = std::size_t{ 0 }; i < choice.parts.size(); ++i )
        own_prefill_ms =
            std::max( own_prefill_ms, choice.parts[i].prefill_ms *
                                          choice.targets[i]->slowdown );
    auto const predicted = core::duration_of_ms( choice.first_event_ms );
    auto const waited = context_.scheduler.now() - request_.received;
    if ( auto const reason = lateness_.on_choice(
             { waited, predicted,
               core::duration_of_ms( choice.basis.backlog_ms ),
               core::duration_of_ms( own_prefill_ms ) } ) )
        record_lateness( *reason, predicted );
}

auto exchange::record_lateness( scheduling::lateness_reason reason,
                                std::optional<core::duration> predicted )
    -> void
{
    context_.log.record( lateness_expected{
        request_.id, content_, workspace_, route_->id.str(),
        context_.scheduler.now() - request_.received, predicted,
        lateness_.objective(), reason, handed_over_by() } );
}

}
