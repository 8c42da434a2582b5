#include <pollenstream/exchange/exchange.hpp>

#include <algorithm>
#include <utility>

// Member functions of exchange for a target that is silent. The target may
// still be working, so its attempt stays open while another target is tried (a
// hedge). The first of the two to send an event goes on.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Silence that is tolerated before the first event: this slack plus this
/// multiple of the prediction. The first event may come a forward pass or two
/// later than predicted. A split prompt waits for the slowest engine that
/// prefills a part, so the slack is at least the route's latency objective.
constexpr auto first_event_slack = core::duration( 900ms );
constexpr auto first_event_factor = 2.5;
/// Silence that is tolerated between events: at least this, or this multiple of
/// the route's gap objective.
constexpr auto min_event_silence = core::duration( 1s );
constexpr auto silence_per_gap = 4;
/// Longest silence that is expected because an engine prefills other prompts.
/// Parts with a longer prefill are not placed on an engine that decodes.
constexpr auto max_prefill_wait = core::duration( 2s );
/// Silence that is tolerated of a call that may be retried: at least this, or
/// this multiple of its latency objective. Calls of the first deployments take
/// 220 ms at most.
constexpr auto min_call_silence = core::duration( 250ms );
constexpr auto call_silence_per_latency = 2;

}

auto exchange::try_another_target() -> void
{
    may_have_run_ = true;
    if ( !std::exchange( current_->is_silence_noted, true ) )
        note_path_failure( current_->target );
    auto const again = may_retry() && has_retry_budget();
    record_failure( *current_, "silent", true,
                    again ? "look_elsewhere" : "wait" );
    if ( !again )
    {
        current_->silent_from = context_.scheduler.now();
        return arm_silence_timer();
    }
    exclude_target( current_->target.id );
    silent_ = std::exchange( current_, std::nullopt );
    if ( !try_start() )
        wait_in_queue();
}

auto exchange::return_to_silent_target( std::string const& why ) -> bool
{
    if ( !silent_ )
        return false;
    record_failure( *silent_, why, true, "go_back" );
    close_attempt( true );
    cancel_placement();
    current_ = std::exchange( silent_, std::nullopt );
    current_->silent_from = context_.scheduler.now();
    arm_silence_timer();
    return true;
}

/// The silent attempt has ended or failed. The placement request or attempt
/// that was started beside it goes on alone.
auto exchange::on_silent_target_failed( attempt_end const& end ) -> void
{
    auto const& head = silent_->head;
    if ( !end.complete || !head )
        note_broken_attempt( *silent_, end );
    else if ( head->wrong_target || head->proves_not_run )
        note_rejection( *silent_ );
    else
        note_failure( silent_->target );
    record_failure( *silent_,
                    end.complete ? "failed while silent" : end.error.detail,
                    true, "goes_on_elsewhere" );
    close_silent();
    if ( context_.scheduler.now() >= refusal_deadline() )
        on_patience_expired();
}

/// How long the current target may be silent before another one is tried. An
/// engine is silent while it prefills the prompts that the load table has for
/// it. That is no failure, and a hedge would only repeat the prefill elsewhere.
auto exchange::silence_timeout() const -> core::duration
{
    auto const target = context_.loads.find_lifetime( current_->target );
    auto const prefill_until =
        target ? target->load.prefill_until : core::instant{};
    auto const remaining_prefill =
        std::clamp( prefill_until - current_->silent_from, core::duration( 0 ),
                    max_prefill_wait );
    return base_silence_timeout() + remaining_prefill;
}

auto exchange::base_silence_timeout() const -> core::duration
{
    if ( route_->kind == request_kind::safe )
        return std::max( min_call_silence,
                         route_->latency_objective * call_silence_per_latency );
    if ( !current_->prefilling )
        return std::max( min_event_silence,
                         route_->gap_objective * silence_per_gap );
    return std::max( first_event_slack, route_->latency_objective ) +
           core::duration_of( current_->predicted_ms * first_event_factor /
                              1'000 );
}

auto exchange::arm_silence_timer() -> void
{
    if ( !current_ || route_->kind == request_kind::unsafe )
        return;
    auto const now = context_.scheduler.now();
    silence_timer_due_ = std::max( now + core::duration( 1ms ),
                                   current_->silent_from + silence_timeout() );
    silence_timer_ =
        call_after( silence_timer_due_ - now, &exchange::on_silence_timer );
}

auto exchange::on_silence_timer() -> void
{
    auto const fired_timer = std::move( silence_timer_ );
    if ( finished_ || !current_ || current_->is_handover )
        return;
    auto const keep = shared_from_this();
    auto const now = context_.scheduler.now();
    auto const since = now - current_->silent_from;
    silence_timer_delay_ = now - silence_timer_due_;
    if ( route_->kind == request_kind::stream && since < silence_timeout() )
        return arm_silence_timer();
    // It is not silent: this instance does not read it.
    if ( current_->is_paused )
    {
        current_->silent_from = now;
        return arm_silence_timer();
    }
    // Nothing to do unless another target may be tried.
    if ( !route_->is_idempotent() || targets_counted() >= max_targets() )
        return;
    if ( !silent_ )
        return try_another_target();
    // Two attempts are open and silent. A third would replace one of them, so
    // the exchange keeps waiting for these.
    current_->silent_from = now;
    arm_silence_timer();
}

}
