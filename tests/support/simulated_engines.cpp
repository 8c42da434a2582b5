#include "support/simulated_engines.hpp"

#include <pollenstream/exchange/engine_model.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace tests
{

namespace
{

using namespace std::chrono_literals;

constexpr auto events_after_first = 15;
constexpr auto event_gap = core::duration( 50ms );
constexpr auto max_attempts_per_caller = 2;
constexpr auto tick_period = core::duration( 100ms );

/// The address of the engine `number`.
auto engine_address( int number ) -> core::address
{
    return { "10.0.1." + std::to_string( number ), 80 };
}

auto event_text( int id ) -> std::string
{
    return "id: " + std::to_string( id ) + "\ndata: x\n\n";
}

auto scaled( core::duration time, double factor ) -> core::duration
{
    return core::duration_of( core::seconds_of( time ) * factor );
}

}

auto sized_encoder::encode_head(
    exchange::caller_request const& request,
    exchange::target_directions const& directions ) const -> std::string
{
    auto text = std::to_string( request.prompt->prompt_tokens );
    for ( auto const& helper : directions.helpers )
        text += " " + core::to_string( helper.address );
    return text;
}

/// One answer in progress. The callback of its timer keeps it alive.
class simulated_engines::answer
    : public exchange::open_attempt,
      public std::enable_shared_from_this<simulated_engines::answer>
{
public:
    answer( held_scheduler& scheduler,
            std::shared_ptr<exchange::attempt_listener> listener,
            std::size_t parts,
            double const& slowdown )
        : scheduler_( scheduler ), listener_( std::move( listener ) ),
          parts_left_( parts ), slowdown_( slowdown )
    {
    }
    [[nodiscard]] auto is_cancelled() const -> bool
    {
        return listener_ == nullptr;
    }
    auto on_part_prefilled() -> void
    {
        if ( --parts_left_ == 0 )
            schedule_event();
    }
    auto cancel() -> void override
    {
        timer_.reset();
        listener_.reset();
    }
    [[nodiscard]] auto sent() const -> bool override
    {
        return true;
    }
    auto schedule_event() -> void
    {
        timer_ = scheduler_.call_after( scaled( event_gap, slowdown_ ),
                                        [self = shared_from_this()]
                                        {
                                            self->send_event();
                                        } );
    }

private:
    auto send_event() -> void
    {
        auto const listener = listener_;
        if ( !listener )
            return;
        if ( events_ == 0 )
        {
            auto head = exchange::answer_head{};
            head.status = 200;
            head.has_seal = true;
            listener->on_head( std::move( head ) );
        }
        listener->on_body( event_text( ++events_ ) );
        if ( events_ <= events_after_first )
            return schedule_event();
        auto end = exchange::attempt_end{};
        end.complete = true;
        end.sent = true;
        listener->on_end( end );
    }

    held_scheduler& scheduler_;
    std::shared_ptr<exchange::attempt_listener> listener_;
    std::unique_ptr<ports::scheduled_call> timer_;
    std::size_t parts_left_;
    double const& slowdown_; ///< of the engine that answers
    int events_{ 0 };
};

auto simulated_engines::send(
    exchange::outgoing_request request,
    std::shared_ptr<exchange::attempt_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto text = std::istringstream( *request.head );
    auto tokens = std::int64_t{ 0 };
    text >> tokens;
    sent.push_back( tokens );
    auto addresses =
        std::vector<std::string>{ core::to_string( request.address ) };
    for ( auto helper = std::string{}; text >> helper; )
        if ( helper != addresses.front() )
            addresses.push_back( helper );
    auto const part_time =
        core::duration_of( exchange::prefill_ms( speed_, tokens ) /
                           static_cast<double>( addresses.size() ) / 1'000 );
    auto const started = std::make_shared<answer>(
        scheduler_, std::move( listener ), addresses.size(),
        engines_[addresses.front()].slowdown );
    for ( auto const& address : addresses )
    {
        auto& engine = engines_[address];
        advance( engine );
        engine.parts.push_back( { started, scaled( part_time, engine.slowdown ),
                                  address == addresses.front() } );
        advance( engine );
    }
    return started;
}

auto simulated_engines::set_slowdown( int number, double factor ) -> void
{
    auto& engine = engines_[core::to_string( engine_address( number ) )];
    advance( engine );
    auto const change = factor / std::exchange( engine.slowdown, factor );
    for ( auto& p : engine.parts )
        p.time_left = scaled( p.time_left, change );
    advance( engine );
}

auto simulated_engines::current_part( engine_state& engine )
    -> std::vector<part>::iterator
{
    auto const for_others =
        std::find_if( engine.parts.rbegin(), engine.parts.rend(),
                      []( auto const& p )
                      {
                          return !p.is_own;
                      } );
    return for_others == engine.parts.rend() ? engine.parts.begin()
                                             : std::prev( for_others.base() );
}

auto simulated_engines::advance( engine_state& engine ) -> void
{
    auto const now = scheduler_.now();
    auto time = now - std::exchange( engine.prefilled_until, now );
    engine.next_part_end.reset();
    std::erase_if( engine.parts,
                   []( auto const& p )
                   {
                       return p.pending_answer->is_cancelled();
                   } );
    while ( !engine.parts.empty() )
    {
        auto const at = current_part( engine );
        if ( at->time_left > time )
        {
            at->time_left -= time;
            engine.next_part_end = scheduler_.call_after( at->time_left,
                                                          [this, &engine]
                                                          {
                                                              advance( engine );
                                                          } );
            return;
        }
        time -= at->time_left;
        auto const finished = at->pending_answer;
        engine.parts.erase( at );
        finished->on_part_prefilled();
    }
}

/// The caller's side of one attempt, which retries after a refusal.
class simulated_load::caller_channel : public recorded_channel
{
public:
    caller_channel( simulated_load& owner,
                    std::shared_ptr<simulated_request> record,
                    std::string route,
                    core::duration time_limit )
        : owner_( owner ), record_( std::move( record ) ),
          route_( std::move( route ) ), time_limit_( time_limit ),
          started_at_( owner.fixture.scheduler.now() )
    {
    }
    auto send_chunk( std::string bytes ) -> void override
    {
        if ( !record_->first_event )
            record_->first_event =
                owner_.fixture.scheduler.now() - record_->arrived_at;
        recorded_channel::send_chunk( std::move( bytes ) );
    }
    auto end_stream() -> void override
    {
        record_->complete = true;
        recorded_channel::end_stream();
    }
    auto send_whole( exchange::whole_answer answer ) -> void override
    {
        recorded_channel::send_whole( std::move( answer ) );
        if ( whole.status != 503 )
            return;
        auto const now = owner_.fixture.scheduler.now();
        record_->longest_refusal_wait =
            std::max( record_->longest_refusal_wait, now - started_at_ );
        auto const time_left = time_limit_ - ( now - started_at_ );
        auto const retry_after = header( "Retry-After" );
        auto const pause = std::min(
            core::duration_of( retry_after.empty() ? 0.0
                                                   : std::stod( retry_after ) ),
            time_left / 3 );
        if ( ++record_->refusals >= max_attempts_per_caller )
            return;
        owner_.timers_.push_back( owner_.fixture.scheduler.call_after(
            pause,
            [&owner = owner_, record = record_, route = route_,
             remaining = time_left - pause]
            {
                owner.start_request( record, route, remaining );
            } ) );
    }

private:
    simulated_load& owner_;
    std::shared_ptr<simulated_request> record_;
    std::string route_;
    core::duration time_limit_;
    core::instant started_at_;
};

simulated_load::simulated_load( int engine_count, exchange::engine_speed speed )
    : engines( fixture.scheduler, speed ),
      context_{ .scheduler = fixture.scheduler,
                .targets = engines,
                .probe = fixture.probe,
                .encoder = encoder_,
                .reservations = fixture.reservations,
                .loads = fixture.loads,
                .crashes = fixture.crashes,
                .chooser = fixture.chooser,
                .placements = fixture.router,
                .retries = fixture.retries,
                .path = fixture.path,
                .answer_memory = fixture.answer_memory,
                .queue = fixture.queue,
                .log = fixture.log,
                .announcer = fixture.announcer,
                .self = core::instance_id( "self" ),
                .incarnation = core::incarnation( 1 ),
                .configuration = nullptr,
                .stop = std::nullopt,
                .last_serial = 0,
                .open = {},
                .counters = {},
                .random = std::minstd_rand( 1 ) }
{
    auto changed = std::make_shared<exchange::route_configuration>(
        *fixture.context.configuration );
    changed->services[core::service_id( "model" )].engine = speed;
    changed->index_routes();
    context_.configuration = changed;
    fixture.coordinator.set_configuration( changed );
    fixture.loads.set_engine_models( changed->engine_models(),
                                     fixture.scheduler.now() );
    fixture.reservations.answers_at_once = true;
    for ( auto const* id : { "m1", "m2", "m3" } )
        fixture.loads.remove( core::target_id( id ) );
    for ( auto i = 0; i < engine_count; ++i )
    {
        auto properties = make_target( "e" + std::to_string( i ), "model" );
        properties.address = engine_address( i );
        properties.slots = speed.slots;
        fixture.loads.put( properties );
    }
    tick();
}

simulated_load::~simulated_load() = default;

auto simulated_load::tick() -> void
{
    fixture.loads.expire_slowdowns( fixture.scheduler.now() );
    tick_call_ = fixture.scheduler.call_after( tick_period,
                                               [this]
                                               {
                                                   tick();
                                               } );
}

auto simulated_load::schedule_request( core::duration after,
                                       std::string const& route,
                                       std::int64_t tokens )
    -> std::shared_ptr<simulated_request>
{
    auto const record = std::make_shared<simulated_request>();
    record->tokens = tokens;
    timers_.push_back( fixture.scheduler.call_after(
        after,
        [this, record, route]
        {
            record->arrived_at = fixture.scheduler.now();
            auto const limit = route == "audit" ? 15s : 10s;
            start_request( record, route, limit );
        } ) );
    return record;
}

auto simulated_load::start_request(
    std::shared_ptr<simulated_request> const& record,
    std::string const& route,
    core::duration time_limit ) -> void
{
    auto request = fixture.request( "/" + route + "/x" );
    request.prompt = exchange::prompt_properties{ record->tokens, 800, 0 };
    request.time_limit = time_limit;
    auto const started = std::make_shared<exchange::exchange>(
        context_, std::move( request ),
        std::make_shared<caller_channel>( *this, record, route, time_limit ) );
    started->start();
}

auto simulated_load::later_than_predicted() const -> int
{
    auto predicted = std::map<exchange::attempt_id, core::duration>{};
    auto late = 0;
    for ( auto const& event : fixture.log.all )
    {
        if ( auto const* placed =
                 std::get_if<exchange::request_placed>( &event ) )
            predicted[placed->id] =
                placed->waited +
                core::duration_of( placed->predicted_ms / 1'000 );
        else if ( auto const* ended =
                      std::get_if<exchange::request_ended>( &event ) )
            late += ended->first_event > predicted[ended->id] ? 1 : 0;
    }
    return late;
}

auto simulated_load::run( core::duration time ) -> void
{
    fixture.scheduler.run( time );
}

}
