#include <pollenstream/core/invariant.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <utility>

// Member functions of exchange that end the request, and events from outside of
// it that do.

namespace pollenstream::exchange
{

auto exchange::on_deadline() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_all();
    if ( may_have_run_ )
        return fail( status_gateway_timeout, "deadline" );
    refuse( status_unavailable, "deadline", retry_after_turned_away );
}

auto exchange::on_caller_gone() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    close_all();
    count_outcome( context_.counters.caller_gone );
    end( "caller_gone", 0 );
}

auto exchange::abandon( std::string reason ) -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_all();
    give_up( std::move( reason ), retry_after_stop );
}

auto exchange::is_held_back() const -> bool
{
    return !is_trial_ && context_.crashes.is_quarantined( suspects_ );
}

auto exchange::may_be_trial() const -> bool
{
    auto const next = context_.crashes.next_trial( suspects_ );
    return next && *next <= context_.scheduler.now();
}

auto exchange::end_as_quarantined() -> void
{
    auto const next = context_.crashes.next_trial( suspects_ );
    give_up( quarantined_reason,
             next ? retry_after_quarantined( *next - context_.scheduler.now() )
                  : std::nullopt );
}

auto exchange::on_quarantine_changed() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ || route_ == nullptr || !is_held_back() )
        return;
    // It waits for the coordinator, which decides whether it is a trial.
    if ( !current_ && !silent_ && may_be_trial() )
        return;
    auto const runs = current_ && !current_->prefilling;
    if ( runs )
        return;
    // The silent attempt is past its prefill, the one that replaces it is not.
    if ( silent_ && !silent_->prefilling )
    {
        return_to_silent_target( quarantined_reason );
        return;
    }
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_all();
    end_as_quarantined();
}

auto exchange::on_cut_from_targets() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ || route_ == nullptr ||
         ( current_ && current_->is_handover ) || hand_over( cut_reason ) )
        return;
    if ( streaming_ || silent_ || may_have_run_ || sent_attempts() > 0 )
        return;
    close_all();
    give_up( cut_reason, retry_after_cut );
}

auto exchange::refuse( int status,
                       std::string reason,
                       std::optional<core::duration> retry_after ) -> void
{
    core::check_invariant( core::invariant::not_run_is_true, !may_have_run_,
                           "refused although it may have run: " +
                               request_.id.str() );
    auto answer = whole_answer{ status, {}, reason + "\n" };
    answer.headers.push_back( { "Content-Type", "text/plain" } );
    answer.closes_connection = context_.path.is_cut();
    answer.is_refused_here = is_own_state( reason );
    if ( retry_after )
        answer.headers.push_back( retry_after_header( *retry_after ) );
    auto const now = context_.scheduler.now();
    auto const* const quarantine =
        context_.crashes.find_quarantine( suspects_ );
    context_.log.record( request_refused{
        request_.id, content_, workspace_, status,
        route_ != nullptr ? route_->id.str() : "", reason,
        now - request_.received, retry_after.value_or( core::duration( 0 ) ),
        configuration_ ? configuration_->version : core::revision{},
        demand_.prompt_tokens, context_.queue.size(),
        quarantine != nullptr ? *quarantine : suspect_list{},
        handed_over_by() } );
    close_all();
    answer_->send_whole( std::move( answer ) );
    count_outcome( context_.counters.refused );
    end( std::move( reason ), status );
}

auto exchange::fail( int status, std::string reason ) -> void
{
    close_all();
    if ( streaming_ )
        answer_->abort();
    else
        answer_->send_whole(
            { status, { { "Content-Type", "text/plain" } }, reason + "\n" } );
    count_outcome( context_.counters.failed );
    end( std::move( reason ), status );
}

/// A handler has thrown, so the state of this request cannot be relied on. A
/// target may have processed it.
auto exchange::on_internal_error( std::string what ) -> void
{
    context_.log.record( state_change{
        "request", request_.id.str(), "broken", std::move( what ), {} } );
    context_.counters.internal_errors.add();
    if ( !finished_ )
        fail( status_bad_gateway, "internal_error" );
}

auto exchange::give_up( std::string reason,
                        std::optional<core::duration> retry_after ) -> void
{
    if ( return_to_silent_target( reason ) )
        return;
    if ( may_have_run_ )
        return fail( status_bad_gateway, std::move( reason ) );
    refuse( status_unavailable, std::move( reason ), retry_after );
}

auto exchange::end( std::string outcome, int status ) -> void
{
    finished_ = true;
    deadline_timer_.reset();
    cancel_placement();
    silence_timer_.reset();
    context_.open.erase( this );
    context_.log.record( request_ended{
        request_.id, content_, workspace_,
        route_ != nullptr ? route_->id.str() : "", std::move( outcome ), status,
        last_target_, context_.scheduler.now() - request_.received,
        first_event_, longest_gap_, events_, targets_reached_,
        demand_.prompt_tokens, demand_.latency_objective, demand_.gap_objective,
        configuration_ ? configuration_->version : core::revision{},
        context_.configuration ? context_.configuration->version
                               : core::revision{},
        handed_over_by() } );
}

auto exchange::handed_over_by() const -> core::instance_id
{
    return request_.handed_over ? request_.handed_over->from
                                : core::instance_id{};
}

auto exchange::count_outcome( core::counter& outcome ) -> void
{
    if ( !request_.handed_over )
        outcome.add();
}

}
