#include <pollenstream/core/invariant.hpp>
#include <pollenstream/exchange/engine_model.hpp>
#include <pollenstream/exchange/exchange.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Connections that could not be made do not count as targets reached, but a
/// request does not try for ever.
constexpr auto most_failed_connects = std::int64_t{ 4 };
/// Callers of streams leave after a gap of the longest of these: a fixed time,
/// and multiples of the two objectives (the platform's page on requests).
constexpr auto shortest_patience = core::duration( 2s );
constexpr auto patience_per_latency = 4;
constexpr auto patience_per_gap = 8;
/// A request that waits is refused this much before its caller would leave,
/// so that the caller hears when to come back.
constexpr auto refusal_margin = core::duration( 150ms );
/// Silence before the first event that is put down to the target: this much
/// and this many times the prediction. Predictions are late by a pass or two.
/// A prompt read in parts waits for the slowest of its readers, so that the
/// slack is never less than the route's objective.
constexpr auto first_event_slack = core::duration( 900ms );
constexpr auto first_event_factor = 2.5;
/// Silence between events: at least this, or this many tolerated pauses.
constexpr auto shortest_silence = core::duration( 1s );
constexpr auto silence_per_gap = 4;
/// Longest time for which an engine that reads is expected to be silent: longer
/// parts are not given to one that writes.
constexpr auto longest_reading = core::duration( 2s );
/// Silence of a call that may be repeated: at least this, or this many times
/// its objective. Calls of the first deployments take 220 ms at most.
constexpr auto shortest_call_silence = core::duration( 250ms );
constexpr auto call_silence_per_latency = 2;
/// Retry-After where a target turned a call away, and where none is known.
constexpr auto retry_after_turned_away = core::duration( 60ms );
constexpr auto retry_after_no_target = core::duration( 400ms );
constexpr auto retry_after_no_configuration = core::duration( 300ms );
constexpr auto retry_after_stop = core::duration( 0ms );
/// How long a target that another one blames is left alone, here and at the
/// other instances; a helper that is gone leaves the registry within seconds.
constexpr auto blamed_time = core::duration( 1500ms );
/// Chance of a long prompt that waits to choose an engine in one round of 15
/// ms: with the four or so that wait in a wave, about one of them does.
constexpr auto long_try_chance = 0.3;
/// Time that has to be left for another try to be worth it.
constexpr auto least_time_for_try = core::duration( 40ms );
/// Shortest pause after memory could not be reserved.
constexpr auto reservation_pause = core::duration( 150ms );
/// What a call and a stream take as a rule; a process that is about to end
/// admits only what fits in.
constexpr auto usual_call_time = core::duration( 400ms );
constexpr auto usual_stream_time = core::duration( 2500ms );
/// Bytes that may wait for a slow caller before the stream is given up.
constexpr auto most_unsent = std::size_t{ 1 } << 20U;
/// Added to the order of a request that is past its objective, in seconds: it
/// earns less than one that can still be in time.
constexpr auto late_penalty = 1'000.0;
constexpr auto priority_step = 100'000.0;

constexpr auto status_unauthorized = 401;
constexpr auto status_not_found = 404;
constexpr auto status_bad_gateway = 502;
constexpr auto status_unavailable = 503;
constexpr auto status_gateway_timeout = 504;
constexpr auto first_failure_status = 500;

auto is_success( int status ) -> bool
{
    return status >= 200 && status < 300;
}

auto retry_after_header( core::duration d ) -> header_field
{
    auto text = std::to_string( core::seconds_of( d ) );
    constexpr auto digits = std::size_t{ 4 };
    return { "Retry-After", text.substr( 0, text.find( '.' ) + digits ) };
}

}

/// Passes a target's answer on under the number of the try that it belongs
/// to, and keeps the exchange alive meanwhile.
class exchange::attempt : public attempt_listener
{
public:
    attempt( std::shared_ptr<exchange> owner, std::uint64_t serial )
        : owner_( std::move( owner ) ), serial_( serial )
    {
    }
    auto on_head( answer_head head ) -> void override
    {
        owner_->on_head( serial_, std::move( head ) );
    }
    auto on_body( std::string bytes ) -> void override
    {
        owner_->on_body( serial_, bytes );
    }
    auto on_end( attempt_end end ) -> void override
    {
        auto const keep = owner_;
        keep->on_end( serial_, end );
    }

private:
    std::shared_ptr<exchange> owner_;
    std::uint64_t serial_;
};

exchange::exchange( exchange_context& shared,
                    caller_request request,
                    std::shared_ptr<answer_channel> answer )
    : shared_( shared ), request_( std::move( request ) ),
      answer_( std::move( answer ) ), configuration_( shared.configuration )
{
    shared_.open.insert( this );
    shared_.counters.requests.add();
}

exchange::~exchange()
{
    core::check_invariant( core::invariant::ends_in_time, finished_,
                           "exchange " + request_.id.str() + " dropped open" );
    core::check_invariant( core::invariant::memory_is_returned, !current_,
                           "exchange " + request_.id.str() + " kept work" );
}

auto exchange::find_route() -> bool
{
    auto const path = std::string_view( request_.target )
                          .substr( 0, request_.target.find( '?' ) );
    route_ = configuration_->find_route( request_.host, path );
    if ( route_ == nullptr )
    {
        refuse( status_not_found, "no_route", std::nullopt );
        return false;
    }
    priority_ = route_->priority;
    if ( !configuration_->needs_keys || route_->is_public )
        return true;
    auto const workspace = configuration_->find_workspace( request_.key );
    if ( workspace == nullptr )
    {
        refuse( status_unauthorized, "unknown_key", std::nullopt );
        return false;
    }
    workspace_ = workspace->id;
    priority_ = workspace->priority.value_or( priority_ );
    return true;
}

auto exchange::pick_service() -> void
{
    auto total = 0.0;
    for ( auto const& s : route_->services )
        total += s.weight;
    auto drawn =
        std::uniform_real_distribution<double>( 0, total )( shared_.random );
    for ( auto const& s : route_->services )
    {
        demand_.service = s.service;
        drawn -= s.weight;
        if ( drawn < 0 )
            break;
    }
    service_ = configuration_->find_service( demand_.service );
}

auto exchange::set_times() -> void
{
    auto const limit = std::min(
        request_.time_limit.value_or( route_->timeout ), route_->timeout );
    deadline_ = request_.received + limit;
    auto const patience = std::max(
        { shortest_patience, route_->latency_objective * patience_per_latency,
          route_->gap_objective * patience_per_gap } );
    patience_until_ = request_.received + std::min( limit, patience );
    auto const left = deadline_ - shared_.scheduler.now();
    deadline_call_ = shared_.scheduler.call_after( left,
                                                   [this]
                                                   {
                                                       on_deadline();
                                                   } );
}

auto exchange::start() -> void
{
    if ( !configuration_ )
        return refuse( status_unavailable, "no_configuration",
                       retry_after_no_configuration );
    if ( !find_route() )
        return;
    pick_service();
    if ( service_ == nullptr )
        return refuse( status_unavailable, "unknown_service",
                       retry_after_no_target );
    auto const now = shared_.scheduler.now();
    auto const usual = route_->kind == request_kind::stream ? usual_stream_time
                                                            : usual_call_time;
    if ( shared_.stop_at && now + usual > *shared_.stop_at )
        return refuse( status_unavailable, "stopping", retry_after_stop );
    set_times();
    demand_.latency_objective = route_->latency_objective;
    demand_.gap_objective = route_->gap_objective;
    demand_.tightest_gap = configuration_->tightest_gap( demand_.service );
    if ( request_.prompt )
    {
        demand_.prompt_tokens = request_.prompt->prompt_tokens;
        demand_.output_tokens = request_.prompt->most_output_tokens;
    }
    is_long_ = service_->engine && is_long_prompt( *service_->engine, demand_ );
    is_wide_ = service_->engine && is_wide_prompt( *service_->engine, demand_ );
    last_event_ = request_.last_event;
    shared_.retries.note_request( demand_.service, now );
    if ( !try_start() )
        wait_for_room();
}

auto exchange::order() const -> double
{
    auto const seconds = core::seconds_of( due().time_since_epoch() );
    auto const is_late = shared_.scheduler.now() > due();
    return seconds + ( is_late ? late_penalty : 0 ) + priority_ * priority_step;
}

/// Instances hear at the same moment that engines have come free. So that not
/// all that wait choose the same ones, wide prompts take turns, and long ones
/// that go to one engine draw lots.
auto exchange::is_own_turn( core::instant now ) -> bool
{
    auto const draw =
        std::uniform_real_distribution<double>( 0, 1 )( shared_.random );
    if ( is_wide_ && !shared_.board.wide().may_choose( due(), draw, now ) )
    {
        not_before_ = now + wide_queue::turn_time;
        return false;
    }
    return is_wide_ || !is_long_ || !waiting_ || draw < long_try_chance;
}

auto exchange::try_start() -> bool
{
    if ( finished_ )
        return true;
    auto const now = shared_.scheduler.now();
    if ( now < not_before_ )
        return false;
    demand_.waited = now - request_.received;
    demand_.time_left = deadline_ - now;
    demand_.patience_left = patience_until_ - now;
    demand_.is_alone = shared_.board.wide().others() == 0;
    demand_.draw =
        std::uniform_real_distribution<double>( 0, 1 )( shared_.random );
    if ( !is_own_turn( now ) )
        return false;
    auto result = shared_.chooser.choose( demand_, *service_, now );
    if ( result.choice )
    {
        stop_waiting();
        begin( std::move( *result.choice ) );
        return true;
    }
    if ( result.reason == no_choice::too_large )
    {
        refuse( status_unavailable, "too_large", std::nullopt );
        return true;
    }
    if ( result.reason == no_choice::no_targets &&
         route_->kind != request_kind::stream )
    {
        refuse( status_unavailable, "no_targets", retry_after_no_target );
        return true;
    }
    return false;
}

auto exchange::due() const -> core::instant
{
    return request_.received + route_->latency_objective;
}

auto exchange::stop_waiting() -> void
{
    patience_call_.reset();
    if ( !std::exchange( waiting_, false ) || !is_wide_ )
        return;
    shared_.board.wide().leave( due() );
    shared_.announcer.waiting_changed();
}

auto exchange::wait_for_room() -> void
{
    if ( !std::exchange( waiting_, true ) && is_wide_ )
    {
        shared_.board.wide().enter( due() );
        shared_.announcer.waiting_changed();
    }
    shared_.room.add( shared_from_this() );
    auto const until = std::min( deadline_, patience_until_ ) - refusal_margin;
    patience_call_ =
        shared_.scheduler.call_after( until - shared_.scheduler.now(),
                                      [this]
                                      {
                                          on_out_of_patience();
                                      } );
}

auto exchange::begin( placement_choice choice ) -> void
{
    if ( !choice.needs_reservation )
        return send( choice, nullptr );
    auto places = std::vector<reservation_place>{};
    for ( auto i = std::size_t{ 0 }; i < choice.targets.size(); ++i )
        places.push_back( { choice.targets[i]->facts.id,
                            choice.targets[i]->facts.address,
                            choice.parts[i].memory_tokens } );
    auto const id = core::reservation_id(
        shared_.self.str() + "." + std::to_string( ++shared_.last_serial ) );
    auto const longest = deadline_ - shared_.scheduler.now() + 500ms;
    auto memory = std::make_shared<reservation_group>(
        shared_.reservations, shared_.scheduler, id, std::move( places ),
        longest );
    memory->start(
        [self = shared_from_this(), memory,
         choice = std::move( choice )]( auto status )
        {
            if ( self->finished_ )
                return memory->release();
            if ( !status.has_error() )
                return self->send( choice, memory );
            self->on_no_memory( choice, status.error() );
        } );
}

/// The targets hold less than the board says; others may have reserved at the
/// same time. A pause that is spread keeps them from meeting again.
auto exchange::on_no_memory( placement_choice const& choice,
                             core::error const& why ) -> void
{
    shared_.log.record(
        attempt_failed{ request_.id, choice.targets.front()->facts.id,
                        "reservation: " + why.detail, false, "wait" } );
    auto const spread = std::uniform_int_distribution<std::int64_t>(
        0, reservation_pause.count() )( shared_.random );
    not_before_ =
        shared_.scheduler.now() + reservation_pause + core::duration( spread );
    wait_for_room();
}

auto exchange::directions( placement_choice const& choice,
                           std::shared_ptr<reservation_group> const& memory )
    const -> target_directions
{
    auto told = target_directions{};
    told.target = choice.targets.front()->facts.id;
    told.time_left = deadline_ - shared_.scheduler.now();
    told.workspace = workspace_;
    told.last_event = last_event_;
    auto const ticket = memory ? memory->id() : core::reservation_id{};
    // With memory held the first target lists its own part too, in front.
    for ( auto i = std::size_t{ memory ? 0U : 1U }; i < choice.targets.size();
          ++i )
        told.helpers.push_back( { choice.targets[i]->facts.address, ticket } );
    return told;
}

auto exchange::send( placement_choice const& choice,
                     std::shared_ptr<reservation_group> memory ) -> void
{
    auto const now = shared_.scheduler.now();
    auto const& first = *choice.targets.front();
    core::check_invariant( core::invariant::leaving_gets_no_work,
                           first.takes_work() || memory,
                           "target " + first.facts.id.str() + " is leaving" );
    ++targets_reached_;
    core::check_invariant( core::invariant::at_most_once,
                           route_->is_idempotent() || !may_have_run_,
                           "attempt " + request_.id.str() + " sent again" );
    auto work = open_work{};
    work.serial = ++shared_.last_serial;
    work.parts = choice.parts;
    work.context_tokens = demand_.prompt_tokens;
    work.tolerated_gap_ms = core::milliseconds_of( demand_.gap_objective );
    work.reading = route_->kind == request_kind::stream;
    shared_.log.record( request_placed{
        request_.id, route_->id.str(), first.facts.id, choice.parts,
        targets_reached_, now - request_.received, deadline_ - now,
        choice.first_event_ms, demand_.prompt_tokens, first.load.requests,
        first.backlog_ms( now ), configuration_->version } );
    shared_.board.add_work( shared_.self, work, now );
    shared_.announcer.work_began( work );

    current_ = open_try{};
    auto& opened = *current_;
    opened.serial = work.serial;
    opened.target = first.facts.id;
    opened.address = first.facts.address;
    opened.memory = std::move( memory );
    opened.predicted_ms = choice.first_event_ms;
    opened.sent_at = now;
    opened.heard_at = now;
    last_target_ = first.facts.id;
    auto out = outgoing_request{};
    out.id = request_.id;
    out.target = first.facts.id;
    out.address = first.facts.address;
    out.is_get = request_.method == "GET";
    out.text = std::make_shared<std::string const>( shared_.speller.spell(
        request_, directions( choice, opened.memory ) ) );
    splitter_.reset();
    auto const serial = work.serial;
    auto call = shared_.targets.send(
        std::move( out ),
        std::make_shared<attempt>( shared_from_this(), serial ) );
    if ( current_ && current_->serial == serial )
        current_->call = std::move( call );
    arm_watch();
}

auto exchange::streams() const -> bool
{
    return route_->kind == request_kind::stream && current_->head &&
           is_success( current_->head->status );
}

auto exchange::on_head( std::uint64_t serial, answer_head head ) -> void
{
    if ( !current_ || current_->serial != serial )
        return;
    current_->heard_at = shared_.scheduler.now();
    if ( head.load )
        shared_.board.note_told( current_->target, *head.load,
                                 current_->heard_at );
    if ( !head.proves_not_run && !head.wrong_target )
        may_have_run_ = true;
    current_->head = std::move( head );
}

auto exchange::on_body( std::uint64_t serial, std::string const& bytes ) -> void
{
    if ( !current_ || current_->serial != serial )
        return;
    if ( streams() )
        relay( bytes );
    else
        current_->body += bytes;
}

auto exchange::relay( std::string const& bytes ) -> void
{
    auto out = std::string{};
    for ( auto& event : splitter_.take( bytes ) )
    {
        if ( !relay_event( event ) )
        {
            // A gap in the numbers: what follows cannot be joined.
            if ( !out.empty() )
                answer_->send_piece( std::move( out ) );
            auto lost = attempt_end{};
            lost.error = { core::error_code::failed, "event out of order" };
            lost.sent = true;
            return on_broken( lost );
        }
        out += event.bytes;
    }
    if ( out.empty() )
        return;
    if ( !streaming_ )
    {
        streaming_ = true;
        answer_->start_stream( current_->head->status,
                               current_->head->headers );
    }
    if ( answer_->unsent_bytes() > most_unsent )
        return fail( status_gateway_timeout, "caller_does_not_read" );
    answer_->send_piece( std::move( out ) );
}

/// Takes one event into account; an event that the caller has already is
/// emptied. False where events between are missing.
auto exchange::relay_event( stream_event& event ) -> bool
{
    note_event();
    if ( !event.id )
        return true;
    if ( last_event_ && *event.id <= *last_event_ )
    {
        event.bytes.clear();
        return true;
    }
    auto const in_order = !last_event_ || *event.id == *last_event_ + 1;
    if ( in_order )
        last_event_ = event.id;
    return in_order;
}

auto exchange::note_event() -> void
{
    auto const now = shared_.scheduler.now();
    current_->heard_at = now;
    if ( current_->reading )
    {
        current_->reading = false;
        shared_.board.end_reading( shared_.self, current_->serial, now );
        shared_.announcer.reading_ended( current_->serial );
        shared_.room.poke();
    }
    if ( events_ == 0 )
        first_event_ = now - request_.received;
    else
        longest_gap_ = std::max( longest_gap_, now - last_event_at_ );
    last_event_at_ = now;
    ++events_;
}

auto exchange::on_end( std::uint64_t serial, attempt_end const& end ) -> void
{
    if ( !current_ || current_->serial != serial )
        return;
    if ( end.sent && !( current_->head && current_->head->proves_not_run ) )
        may_have_run_ = may_have_run_ || !end.complete;
    if ( !end.complete || !current_->head )
        return on_broken( end );
    auto const& head = *current_->head;
    if ( head.wrong_target || head.proves_not_run )
        return on_not_run();
    if ( head.status >= first_failure_status )
        return on_own_failure();
    on_complete();
}

auto exchange::on_complete() -> void
{
    auto const& head = *current_->head;
    if ( is_success( head.status ) &&
         ( !head.has_seal || ( streams() && splitter_.pending() > 0 ) ) )
    {
        auto lost = attempt_end{};
        lost.error = { core::error_code::malformed, "answer not whole" };
        lost.sent = true;
        return on_broken( lost );
    }
    shared_.board.note_success( current_->target );
    auto const status = head.status;
    if ( streams() )
    {
        if ( !streaming_ )
            answer_->start_stream( status, head.headers );
        answer_->end_stream();
    }
    else if ( streaming_ )
    {
        return fail( status_bad_gateway, "resumption_refused" );
    }
    else
    {
        answer_->send_whole(
            { status, head.headers, std::move( current_->body ) } );
    }
    close_try( false );
    shared_.counters.served.add();
    end( "served", status );
}

auto exchange::on_own_failure() -> void
{
    auto const now = shared_.scheduler.now();
    shared_.board.note_failure( current_->target, now );
    auto const status = current_->head->status;
    if ( try_again( "status " + std::to_string( status ), true,
                    current_->target ) )
        return;
    if ( streaming_ )
        return fail( status, "target_failed" );
    answer_->send_whole(
        { status, current_->head->headers, std::move( current_->body ) } );
    close_try( false );
    shared_.counters.failed.add();
    end( "target_failed", status );
}

/// A target has proved that it did not run the request. Returns the target to
/// blame: the answering one, or a helper that it names.
auto exchange::blame( answer_head const& head ) -> core::target_id
{
    auto const now = shared_.scheduler.now();
    auto const named = head.at_fault.empty()
                           ? nullptr
                           : shared_.board.find_named( head.at_fault );
    auto to_blame = named ? named->facts.id : current_->target;
    auto const answering = shared_.board.find( current_->target );
    if ( head.wrong_target || to_blame != current_->target )
    {
        // Gone, or of no use to others: certain at once, and for all.
        shared_.board.shun( to_blame, now + blamed_time );
        shared_.announcer.target_shunned( to_blame, blamed_time );
    }
    else if ( answering && answering->load.requests < answering->facts.slots &&
              shared_.board.note_failure( to_blame, now ) )
    {
        shared_.announcer.target_shunned( to_blame, blamed_time );
    }
    return to_blame;
}

auto exchange::on_not_run() -> void
{
    auto const head = std::move( *current_->head );
    auto const blamed = blame( head );
    if ( try_again( "not run, status " + std::to_string( head.status ) +
                        ", blames " + blamed.str(),
                    false, blamed ) )
        return;
    if ( streaming_ )
        return fail( status_bad_gateway, "resumption_refused" );
    close_try( false );
    if ( may_have_run_ )
        return fail( status_bad_gateway, "not_run_after_failure" );
    refuse( status_unavailable, "turned_away", retry_after_turned_away );
}

auto exchange::on_broken( attempt_end const& end ) -> void
{
    auto const now = shared_.scheduler.now();
    auto const target = current_->target;
    shared_.board.note_failure( target, now );
    auto const was_made = end.sent;
    if ( !was_made )
    {
        // Nobody listens there: stronger evidence than a broken answer.
        if ( shared_.board.note_failure( target, now ) )
            shared_.announcer.target_shunned( target, 1s );
        --targets_reached_;
        ++connects_failed_;
    }
    if ( try_again( end.error.detail, was_made, target ) )
        return;
    close_try( true );
    if ( may_have_run_ || streaming_ )
        return fail( status_bad_gateway, "target_lost" );
    refuse( status_unavailable, "not_reached", retry_after_turned_away );
}

auto exchange::may_repeat() -> bool
{
    if ( may_have_run_ && !route_->is_idempotent() )
        return false;
    auto const now = shared_.scheduler.now();
    return targets_reached_ < route_->max_targets &&
           connects_failed_ < most_failed_connects &&
           deadline_ - now > least_time_for_try;
}

auto exchange::try_again( std::string const& why,
                          bool may_have_run,
                          core::target_id const& avoid ) -> bool
{
    auto const now = shared_.scheduler.now();
    auto const again =
        may_repeat() && ( targets_reached_ == 0 ||
                          shared_.retries.take( demand_.service, now ) );
    shared_.log.record( attempt_failed{ request_.id, current_->target, why,
                                        may_have_run,
                                        again ? "send_again" : "give_up" } );
    if ( !again )
        return false;
    shared_.counters.repeats.add();
    if ( streaming_ )
        shared_.counters.resumed.add();
    demand_.tried.push_back( avoid );
    close_try( true );
    if ( !try_start() )
        wait_for_room();
    return true;
}

/// Silence that is not put down to the target yet. An engine is silent while it
/// reads what the board knows of: that is no failure, and the request would
/// only be read a second time elsewhere.
auto exchange::tolerated_silence() const -> core::duration
{
    auto const at = shared_.board.find( current_->target );
    auto const reads_until = at ? at->load.read_until : core::instant{};
    auto const reading = std::clamp( reads_until - current_->heard_at,
                                     core::duration( 0 ), longest_reading );
    return idle_silence() + reading;
}

auto exchange::idle_silence() const -> core::duration
{
    if ( route_->kind == request_kind::safe )
        return std::max( shortest_call_silence,
                         route_->latency_objective * call_silence_per_latency );
    if ( !current_->reading )
        return std::max( shortest_silence,
                         route_->gap_objective * silence_per_gap );
    return std::max( first_event_slack, route_->latency_objective ) +
           core::duration_of( current_->predicted_ms * first_event_factor /
                              1'000 );
}

auto exchange::arm_watch() -> void
{
    if ( !current_ || route_->kind == request_kind::unsafe )
        return;
    auto const due = current_->heard_at + tolerated_silence();
    watch_call_ = shared_.scheduler.call_after(
        std::max( core::duration( 1ms ), due - shared_.scheduler.now() ),
        [this]
        {
            on_watch();
        } );
}

auto exchange::on_watch() -> void
{
    auto const done = std::move( watch_call_ );
    if ( finished_ || !current_ )
        return;
    auto const keep = shared_from_this();
    auto const now = shared_.scheduler.now();
    auto const since = now - current_->heard_at;
    if ( route_->kind == request_kind::stream && since < tolerated_silence() )
        return arm_watch();
    if ( !route_->is_idempotent() )
        return;
    // Only worth a try where another target may be reached.
    if ( targets_reached_ >= route_->max_targets )
        return;
    auto silent = attempt_end{};
    silent.error = { core::error_code::timed_out, "silent" };
    silent.sent = true;
    may_have_run_ = true;
    on_broken( silent );
}

auto exchange::on_deadline() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_try( true );
    if ( may_have_run_ )
        return fail( status_gateway_timeout, "deadline" );
    refuse( status_unavailable, "deadline", retry_after_turned_away );
}

auto exchange::on_out_of_patience() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ || !waiting_ )
        return;
    if ( may_have_run_ )
        return fail( status_bad_gateway, "no_room_for_repeat" );
    refuse( status_unavailable, "no_room", predicted_room() );
}

/// When there may be room: the longer the queue, the later, spread so that
/// those who were refused together do not come back together.
auto exchange::predicted_room() const -> core::duration
{
    constexpr auto for_each_waiting = core::duration( 10ms );
    constexpr auto most = core::duration( 1500ms );
    auto const queue =
        std::min( most, for_each_waiting *
                            static_cast<std::int64_t>( shared_.room.size() ) );
    auto const spread = std::uniform_int_distribution<std::int64_t>(
        0, core::duration( 300ms ).count() )( shared_.random );
    return queue + core::duration( spread );
}

auto exchange::on_caller_gone() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    close_try( true );
    shared_.counters.abandoned.add();
    end( "caller_gone", 0 );
}

auto exchange::abandon( std::string reason ) -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_try( true );
    if ( may_have_run_ )
        return fail( status_bad_gateway, std::move( reason ) );
    refuse( status_unavailable, std::move( reason ), retry_after_stop );
}

auto exchange::close_try( bool cancel ) -> void
{
    if ( !current_ )
        return;
    auto gone = std::move( *current_ );
    current_.reset();
    watch_call_.reset();
    if ( cancel && gone.call )
        gone.call->cancel();
    if ( gone.memory )
        gone.memory->release();
    shared_.board.end_work( shared_.self, gone.serial,
                            shared_.scheduler.now() );
    shared_.announcer.work_ended( gone.serial );
    shared_.room.poke();
}

auto exchange::refuse( int status,
                       std::string reason,
                       std::optional<core::duration> retry_after ) -> void
{
    core::check_invariant( core::invariant::not_run_is_true, !may_have_run_,
                           "refusal of " + request_.id.str() );
    auto answer = whole_answer{ status, {}, reason + "\n" };
    answer.headers.push_back( { "Content-Type", "text/plain" } );
    if ( retry_after )
        answer.headers.push_back( retry_after_header( *retry_after ) );
    auto const now = shared_.scheduler.now();
    shared_.log.record( request_refused{
        request_.id, status, route_ != nullptr ? route_->id.str() : "", reason,
        now - request_.received, retry_after.value_or( core::duration( 0 ) ),
        configuration_ ? configuration_->version : core::revision{},
        demand_.prompt_tokens, shared_.room.size() } );
    close_try( true );
    answer_->send_whole( std::move( answer ) );
    shared_.counters.refused.add();
    end( std::move( reason ), status );
}

auto exchange::fail( int status, std::string reason ) -> void
{
    close_try( true );
    if ( streaming_ )
        answer_->abort();
    else
        answer_->send_whole(
            { status, { { "Content-Type", "text/plain" } }, reason + "\n" } );
    shared_.counters.failed.add();
    end( std::move( reason ), status );
}

auto exchange::end( std::string outcome, int status ) -> void
{
    finished_ = true;
    deadline_call_.reset();
    stop_waiting();
    watch_call_.reset();
    shared_.room.remove( this );
    shared_.open.erase( this );
    shared_.log.record( request_ended{
        request_.id, route_ != nullptr ? route_->id.str() : "",
        std::move( outcome ), status, last_target_,
        shared_.scheduler.now() - request_.received, first_event_, longest_gap_,
        events_, targets_reached_ } );
}

}
