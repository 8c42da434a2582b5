#include "support/played_engines.hpp"

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

constexpr auto later_events = 15;
constexpr auto event_gap = core::duration( 50ms );
constexpr auto callers_tries = 2;

auto event_text( int id ) -> std::string
{
    return "id: " + std::to_string( id ) + "\ndata: x\n\n";
}

}

auto sized_encoder::encode(
    exchange::caller_request const& request,
    exchange::target_directions const& directions ) const -> std::string
{
    auto text = std::to_string( request.prompt->prompt_tokens );
    for ( auto const& helper : directions.helpers )
        text += " " + core::to_string( helper.address );
    return text;
}

/// One answer under way; keeps itself alive through its timer's owner.
class played_engines::answer
    : public exchange::open_attempt,
      public std::enable_shared_from_this<played_engines::answer>
{
public:
    answer( held_scheduler& scheduler,
            std::shared_ptr<exchange::attempt_listener> listener,
            std::size_t parts )
        : scheduler_( scheduler ), listener_( std::move( listener ) ),
          parts_left_( parts )
    {
    }
    [[nodiscard]] auto is_cancelled() const -> bool
    {
        return listener_ == nullptr;
    }
    auto on_part_read() -> void
    {
        if ( --parts_left_ == 0 )
            next_event_in( event_gap );
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
    auto next_event_in( core::duration time ) -> void
    {
        timer_ = scheduler_.call_after( time,
                                        [self = shared_from_this()]
                                        {
                                            self->tell();
                                        } );
    }

private:
    auto tell() -> void
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
        if ( events_ <= later_events )
            return next_event_in( event_gap );
        auto end = exchange::attempt_end{};
        end.complete = true;
        end.sent = true;
        listener->on_end( end );
    }

    held_scheduler& scheduler_;
    std::shared_ptr<exchange::attempt_listener> listener_;
    std::unique_ptr<ports::scheduled_call> timer_;
    std::size_t parts_left_;
    int events_{ 0 };
};

auto played_engines::send(
    exchange::outgoing_request request,
    std::shared_ptr<exchange::attempt_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto text = std::istringstream( *request.text );
    auto tokens = std::int64_t{ 0 };
    text >> tokens;
    sent.push_back( tokens );
    auto readers =
        std::vector<std::string>{ core::to_string( request.address ) };
    for ( auto helper = std::string{}; text >> helper; )
        if ( helper != readers.front() )
            readers.push_back( helper );
    auto const part_time =
        core::duration_of( exchange::prefill_ms( speed_, tokens ) /
                           static_cast<double>( readers.size() ) / 1'000 );
    auto const started = std::make_shared<answer>(
        scheduler_, std::move( listener ), readers.size() );
    for ( auto const& address : readers )
    {
        auto& engine = readers_[address];
        go_on( engine );
        engine.parts.push_back(
            { started, part_time, address == readers.front() } );
        go_on( engine );
    }
    return started;
}

auto played_engines::current( reader& engine ) -> std::vector<part>::iterator
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

auto played_engines::go_on( reader& engine ) -> void
{
    auto const now = scheduler_.now();
    auto time = now - std::exchange( engine.read_up_to, now );
    engine.next_end.reset();
    std::erase_if( engine.parts,
                   []( auto const& p )
                   {
                       return p.of->is_cancelled();
                   } );
    while ( !engine.parts.empty() )
    {
        auto const at = current( engine );
        if ( at->left > time )
        {
            at->left -= time;
            engine.next_end = scheduler_.call_after( at->left,
                                                     [this, &engine]
                                                     {
                                                         go_on( engine );
                                                     } );
            return;
        }
        time -= at->left;
        auto const done = at->of;
        engine.parts.erase( at );
        done->on_part_read();
    }
}

/// A caller's side of one try.
class played_load::caller_channel : public recorded_channel
{
public:
    caller_channel( played_load& owner,
                    std::shared_ptr<played_request> which,
                    std::string route,
                    core::duration time_limit )
        : owner_( owner ), which_( std::move( which ) ),
          route_( std::move( route ) ), time_limit_( time_limit ),
          tried_at_( owner.fixture.scheduler.now() )
    {
    }
    auto send_chunk( std::string bytes ) -> void override
    {
        if ( !which_->first )
            which_->first = owner_.fixture.scheduler.now() - which_->came;
        recorded_channel::send_chunk( std::move( bytes ) );
    }
    auto end_stream() -> void override
    {
        which_->complete = true;
        recorded_channel::end_stream();
    }
    auto send_whole( exchange::whole_answer answer ) -> void override
    {
        recorded_channel::send_whole( std::move( answer ) );
        if ( whole.status != 503 )
            return;
        auto const now = owner_.fixture.scheduler.now();
        which_->refused_after =
            std::max( which_->refused_after, now - tried_at_ );
        auto const left = time_limit_ - ( now - tried_at_ );
        auto const told = header( "Retry-After" );
        auto const pause = std::min(
            core::duration_of( told.empty() ? 0.0 : std::stod( told ) ),
            left / 3 );
        if ( ++which_->refusals >= callers_tries )
            return;
        owner_.calls_.push_back( owner_.fixture.scheduler.call_after(
            pause,
            [&owner = owner_, which = which_, route = route_,
             rest = left - pause]
            {
                owner.begin( which, route, rest );
            } ) );
    }

private:
    played_load& owner_;
    std::shared_ptr<played_request> which_;
    std::string route_;
    core::duration time_limit_;
    core::instant tried_at_;
};

played_load::played_load( int engine_count, exchange::engine_speed speed )
    : engines( fixture.scheduler, speed ), context_{
                                               .scheduler = fixture.scheduler,
                                               .targets = engines,
                                               .encoder = encoder_,
                                               .reservations =
                                                   fixture.reservations,
                                               .loads = fixture.loads,
                                               .crashes = fixture.crashes,
                                               .chooser = fixture.chooser,
                                               .placements = fixture.router,
                                               .retries = fixture.retries,
                                               .queue = fixture.queue,
                                               .log = fixture.log,
                                               .announcer = fixture.announcer,
                                               .self =
                                                   core::instance_id( "self" ),
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
    fixture.reservations.answers_at_once = true;
    for ( auto const* id : { "m1", "m2", "m3" } )
        fixture.loads.remove( core::target_id( id ) );
    for ( auto i = 0; i < engine_count; ++i )
    {
        auto properties = make_target( "e" + std::to_string( i ), "model" );
        properties.address = { "10.0.1." + std::to_string( i ), 80 };
        properties.slots = speed.slots;
        fixture.loads.put( properties );
    }
}

played_load::~played_load() = default;

auto played_load::call( core::duration after,
                        std::string const& route,
                        std::int64_t tokens ) -> std::shared_ptr<played_request>
{
    auto const which = std::make_shared<played_request>();
    which->tokens = tokens;
    calls_.push_back( fixture.scheduler.call_after(
        after,
        [this, which, route]
        {
            which->came = fixture.scheduler.now();
            auto const limit = route == "audit" ? 15s : 10s;
            begin( which, route, limit );
        } ) );
    return which;
}

auto played_load::begin( std::shared_ptr<played_request> const& which,
                         std::string const& route,
                         core::duration time_limit ) -> void
{
    auto request = fixture.request( "/" + route + "/x" );
    request.prompt = exchange::prompt_properties{ which->tokens, 800, 0 };
    request.time_limit = time_limit;
    auto const started = std::make_shared<exchange::exchange>(
        context_, std::move( request ),
        std::make_shared<caller_channel>( *this, which, route, time_limit ) );
    started->start();
}

auto played_load::play( core::duration time ) -> void
{
    fixture.scheduler.run( time );
}

}
