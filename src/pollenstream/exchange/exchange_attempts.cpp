#include <pollenstream/core/invariant.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// Member functions of exchange that send attempts to targets, close them and
// decide whether to retry.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// A failed connection does not count as a target reached, so this bounds the
/// connections that a request may fail to make. A stream that has begun still
/// retries until its deadline, with a pause after each further failure.
constexpr auto max_failed_connects = std::int64_t{ 4 };
constexpr auto connect_pause = core::duration( 250ms );
/// Retry-After for a request that has not run and may not be retried.
constexpr auto retry_after_no_retry_left = core::duration( 400ms );
/// Another attempt is not worthwhile with less time than this to the deadline.
constexpr auto min_time_for_retry = core::duration( 40ms );

}

/// Forwards the answer of one attempt to the exchange, with the attempt's
/// serial number, and keeps the exchange alive.
class exchange::attempt_handler : public attempt_listener
{
public:
    attempt_handler( std::shared_ptr<exchange> owner, std::uint64_t serial )
        : owner_( std::move( owner ) ), serial_( serial )
    {
    }
    auto on_head( answer_head head ) -> void override
    {
        auto const keep = owner_;
        keep->run(
            [&]
            {
                keep->on_head( serial_, std::move( head ) );
            } );
    }
    auto on_body( std::string bytes ) -> void override
    {
        auto const keep = owner_;
        keep->run(
            [&]
            {
                keep->on_body( serial_, bytes );
            } );
    }
    auto on_end( attempt_end end ) -> void override
    {
        auto const keep = owner_;
        keep->run(
            [&]
            {
                keep->on_end( serial_, end );
            } );
    }

private:
    std::shared_ptr<exchange> owner_;
    std::uint64_t serial_;
};

auto exchange::directions_for(
    placement_choice const& choice,
    std::shared_ptr<reservation_group> const& reservation ) const
    -> target_directions
{
    auto directions = target_directions{};
    directions.target = choice.targets.front()->properties.id;
    directions.time_left = deadline_ - context_.scheduler.now();
    directions.workspace = workspace_;
    directions.last_event = last_event_;
    auto const id = reservation ? reservation->id() : core::reservation_id{};
    // If memory is reserved, the list starts with the first target's own part.
    for ( auto i = std::size_t{ reservation ? 0U : 1U };
          i < choice.targets.size(); ++i )
        directions.helpers.push_back(
            { choice.targets[i]->properties.address, id } );
    return directions;
}

/// Adds the work to the load table and, if other instances are to know of it,
/// announces it to the coordinators.
auto exchange::add_work( placement_grant const& grant ) -> void
{
    auto work = open_work{};
    work.serial = grant.serial;
    work.parts = grant.choice.parts;
    work.context_tokens = demand_.prompt_tokens;
    work.tolerated_gap_ms = core::milliseconds_of( demand_.gap_objective );
    work.prefilling = route_->kind == request_kind::stream;
    work.is_suspect = demand_.crashes > 0;
    work.reserves = grant.choice.needs_reservation;
    context_.loads.add_work( context_.self, work, context_.scheduler.now() );
    for ( auto const& target : grant.choice.targets )
        uses_limited_target_ =
            uses_limited_target_ ||
            target->limit.per_second( context_.scheduler.now() );
    if ( is_announced() )
        context_.announcer.work_began( work );
    else
        context_.loads.note_unreported( work.parts, context_.scheduler.now() );
}

auto exchange::send( placement_grant const& grant,
                     std::shared_ptr<reservation_group> reservation ) -> void
{
    if ( !take_retry() )
    {
        if ( reservation )
            reservation->release();
        return on_no_retry( grant );
    }
    auto const now = context_.scheduler.now();
    auto const& choice = grant.choice;
    auto const& first = *choice.targets.front();
    core::check_invariant( core::invariant::leaving_gets_no_work,
                           first.takes_work() || reservation,
                           "target " + first.properties.id.str() +
                               " got a request while leaving" );
    for ( auto const& target : choice.targets )
        core::check_invariant( core::invariant::drained_gets_no_work,
                               !target->data_centre_drained,
                               "target " + target->properties.id.str() +
                                   " got work while its data centre is "
                                   "drained" );
    core::check_invariant( core::invariant::pause_holds,
                           !context_.loads.is_paused( first.ref(), now ),
                           "target " + first.properties.id.str() +
                               " got a request during its pause" );
    core::check_invariant( core::invariant::quarantine_holds, !is_held_back(),
                           "quarantined request sent: " +
                               to_string( suspects_ ) );
    ++targets_reached_;
    core::check_invariant( core::invariant::at_most_once,
                           route_->is_idempotent() || !may_have_run_,
                           "non-idempotent request " + request_.id.str() +
                               " sent again" );
    auto const serial = grant.serial;
    note_predicted_lateness( choice );
    context_.log.record( request_placed{
        request_.id, content_, route_->id.str(), first.properties.id,
        choice.parts, targets_reached_, now - request_.received,
        deadline_ - now, choice.first_event_ms, demand_.prompt_tokens,
        choice.basis, configuration_->version, grant.decided_by,
        last_placement_time_, shared_parts(), handed_over_by() } );

    current_.emplace(
        core::bounded_text( context_.answer_memory, max_answer_bytes() ) );
    auto& opened = *current_;
    opened.serial = serial;
    opened.is_retry = targets_reached_ > 1;
    opened.target = first.ref();
    opened.address = first.properties.address;
    opened.reservation = std::move( reservation );
    opened.predicted_ms = choice.first_event_ms;
    opened.sent_at = now;
    opened.last_heard_at = now;
    opened.silent_from = now;
    last_target_ = first.properties.id;
    context_.path.note_sent( first.properties.id, now );
    auto out = outgoing_request{};
    out.id = request_.id;
    out.target = first.properties.id;
    out.lifetime = first.properties.lifetime;
    out.address = first.properties.address;
    out.is_get = request_.method == "GET";
    // On a used connection, additional bytes behind an earlier answer could be
    // taken for proof that this request has not run.
    out.fresh_connection = !route_->is_idempotent();
    out.head =
        std::make_shared<std::string const>( context_.encoder.encode_head(
            request_, directions_for( choice, opened.reservation ) ) );
    // All attempts send the one body, which lives as long as this object.
    out.body = { shared_from_this(), &request_.body };
    auto call = context_.targets.send( std::move( out ),
                                       handler_for_attempt( serial ) );
    if ( current_ && current_->serial == serial )
        current_->call = std::move( call );
    arm_silence_timer();
}

auto exchange::handler_for_attempt( std::uint64_t serial )
    -> std::shared_ptr<attempt_listener>
{
    return std::make_shared<attempt_handler>( shared_from_this(), serial );
}

auto exchange::may_retry() -> bool
{
    if ( may_have_run_ && !route_->is_idempotent() )
        return false;
    // A trial goes on only where its target has proved not to have run it.
    if ( is_held_back() || ( is_trial_ && may_have_run_ ) )
        return false;
    auto const now = context_.scheduler.now();
    auto const connects_left =
        streaming_ || connects_failed_ < max_failed_connects;
    return targets_counted() < max_targets() && connects_left &&
           deadline_ - now > min_time_for_retry;
}

/// True if the retry budget allows a retry now. A retry is taken from the
/// budget only when it is sent, so that waiting requests use up none of it.
auto exchange::has_retry_budget() -> bool
{
    return targets_reached_ == 0 ||
           context_.retries.can_take( demand_.service,
                                      context_.scheduler.now() );
}

auto exchange::take_retry() -> bool
{
    if ( targets_reached_ == 0 )
        return true;
    if ( !may_retry() ||
         !context_.retries.take( demand_.service, context_.scheduler.now() ) )
        return false;
    context_.counters.retries.add();
    if ( streaming_ )
        context_.counters.resumed.add();
    return true;
}

/// The grant came too late, or other requests have used up the retry budget
/// since it was requested.
auto exchange::on_no_retry( placement_grant const& grant ) -> void
{
    release( grant.serial, work_outcome::none );
    give_up( "no_repeat_left", retry_after_no_retry_left );
}

auto exchange::exclude_target( core::target_id const& target ) -> void
{
    auto& tried = demand_.tried;
    if ( std::find( tried.begin(), tried.end(), target ) == tried.end() )
        tried.push_back( target );
}

auto exchange::record_failure( target_attempt const& which,
                               std::string why,
                               bool may_have_run,
                               std::string decision ) -> void
{
    context_.log.record( attempt_failed{
        request_.id, content_, which.target.id, std::move( why ), may_have_run,
        std::move( decision ), context_.scheduler.now() - which.last_heard_at,
        events_, which.events, which.head.has_value(), shared_parts(),
        std::exchange( silence_timer_delay_, {} ), handed_over_by() } );
}

auto exchange::shared_parts() const -> std::vector<prompt_part_id>
{
    return request_.prompt ? request_.prompt->shared_parts
                           : std::vector<prompt_part_id>{};
}

auto exchange::retry( std::string const& why,
                      bool may_have_run,
                      core::target_id const& excluded ) -> bool
{
    auto const again = may_retry() && has_retry_budget();
    record_failure( *current_, why, may_have_run,
                    again ? "send_again" : "give_up" );
    if ( !again )
        return false;
    exclude_target( excluded );
    close_attempt( true );
    auto const is_doubtful = context_.path.state() != path_state::sound;
    if ( !may_have_run && is_doubtful && !silent_ &&
         hand_over( unreached_reason ) )
        return true;
    if ( connects_failed_ >= max_failed_connects )
        not_before_ = context_.scheduler.now() + connect_pause;
    if ( !try_start() )
        wait_in_queue();
    return true;
}

auto exchange::close_attempt( bool cancel, work_outcome outcome ) -> void
{
    if ( current_ )
        silence_timer_.reset();
    close( current_, cancel, outcome );
}

auto exchange::close_silent() -> void
{
    close( silent_, true, work_outcome::none );
}

auto exchange::close_all() -> void
{
    close_attempt( true );
    close_silent();
}

auto exchange::close( std::optional<target_attempt>& which,
                      bool cancel,
                      work_outcome outcome ) -> void
{
    if ( !which )
        return;
    auto closed = std::move( *which );
    which.reset();
    context_.answers_without_memory.leave( closed.serial );
    if ( cancel && closed.call )
        closed.call->cancel();
    if ( closed.reservation )
        closed.reservation->release();
    if ( !closed.is_handover )
        release( closed.serial, outcome );
    context_.queue.schedule_round();
}

}
