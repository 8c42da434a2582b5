#include "fake_engines.hpp"

#include <utility>

namespace standins
{

namespace
{

constexpr auto network_delay = core::duration( 500 );

auto unreachable() -> core::error
{
    return { core::error_code::unreachable, "connection refused" };
}

auto broken() -> core::error
{
    return { core::error_code::connection_lost, "connection reset" };
}

}

class fake_engines::fake_stream : public ports::engine_stream
{
public:
    fake_stream( fake_engines& owner,
                 std::string engine,
                 core::request_id request,
                 std::shared_ptr<ports::stream_listener> listener )
        : owner_( owner ), engine_( std::move( engine ) ),
          request_( std::move( request ) ), listener_( std::move( listener ) )
    {
    }

    auto cancel() -> void override
    {
        detach();
        auto& engine = owner_.engines_.at( engine_ );
        if ( engine.dead )
            return;
        engine.model->cancel( request_, owner_.time_.now() );
        engine.records.erase( request_ );
    }

    auto detach() -> void override
    {
        listener_.reset();
    }

    auto silence() -> void
    {
        silent_ = true;
    }

    auto send( std::vector<ports::engine_event> const& events ) -> void
    {
        auto const listener = listener_;
        if ( listener && !silent_ )
            listener->on_events( events );
    }

    auto end( core::result<void> status ) -> void
    {
        if ( silent_ )
            return;
        auto const listener = std::exchange( listener_, nullptr );
        if ( listener )
            listener->on_end( std::move( status ) );
    }

private:
    fake_engines& owner_;
    std::string engine_;
    core::request_id request_;
    std::shared_ptr<ports::stream_listener> listener_;
    bool silent_{ false };
};

fake_engines::fake_engines( held_time& time ) : time_( time ) {}

fake_engines::~fake_engines() = default;

auto fake_engines::add( std::string const& id, engine_settings settings )
    -> void
{
    auto& engine = engines_[id];
    engine.settings = settings;
    engine.model = std::make_unique<engine_model>( settings );
}

auto fake_engines::model( std::string const& id ) -> engine_model&
{
    return *engines_.at( id ).model;
}

auto fake_engines::endpoint( ports::engine_endpoint const& at ) -> one_engine&
{
    return engines_.at( at.id.str() );
}

auto fake_engines::later( std::function<void()> callback ) -> void
{
    time_.at( time_.now() + network_delay, std::move( callback ) );
}

auto fake_engines::kill( std::string const& id ) -> void
{
    auto& engine = engines_.at( id );
    engine.dead = true;
    engine.model = std::make_unique<engine_model>( engine.settings );
    engine.records.clear();
    auto const filling = std::exchange( engine.filling, {} );
    for ( auto const& [reservation, callback] : filling )
        callback( broken() );
    cut_connections( id );
}

auto fake_engines::set_hung( std::string const& id, bool on ) -> void
{
    engines_.at( id ).hung = on;
}

auto fake_engines::revive( std::string const& id ) -> void
{
    engines_.at( id ).dead = false;
}

auto fake_engines::silence_connections( std::string const& id ) -> void
{
    for ( auto const& [request, weak] : engines_.at( id ).streams )
    {
        if ( auto const stream = weak.lock() )
            stream->silence();
    }
}

auto fake_engines::cut_connections( std::string const& id ) -> void
{
    auto const streams = std::exchange( engines_.at( id ).streams, {} );
    for ( auto const& [request, weak] : streams )
    {
        if ( auto const stream = weak.lock() )
            stream->end( broken() );
    }
}

auto fake_engines::set_crossed( bool on ) -> void
{
    crossed_ = on;
}

auto fake_engines::memory_held() const -> std::int64_t
{
    auto total = std::int64_t{ 0 };
    for ( auto const& [id, engine] : engines_ )
        total += engine.model->memory_used();
    return total;
}

auto fake_engines::opens() const -> std::int64_t
{
    return opens_;
}

auto fake_engines::next_step() const -> std::optional<core::instant>
{
    auto next = time_.next();
    for ( auto const& [id, engine] : engines_ )
    {
        auto const step = engine.model->next_event();
        if ( step && !engine.hung && ( !next || *step < *next ) )
            next = step;
    }
    return next;
}

auto fake_engines::run_for( core::duration span ) -> void
{
    auto const end = time_.now() + span;
    for ( ;; )
    {
        auto const next = next_step();
        if ( !next || *next > end )
            break;
        time_.advance_to( *next );
        step_due();
    }
    time_.advance_to( end );
    step_due();
}

auto fake_engines::step_due() -> void
{
    for ( auto& [id, engine] : engines_ )
    {
        auto const next = engine.model->next_event();
        if ( engine.hung )
            continue;
        auto const is_due = next && *next <= time_.now();
        if ( is_due || engine.model->expires_by( time_.now() ) )
            step( engine );
    }
}

auto fake_engines::step( one_engine& engine ) -> void
{
    if ( engine.dead )
        return;
    for ( auto const& out : engine.model->advance( time_.now() ) )
        deliver( engine, out );
}

auto fake_engines::deliver( one_engine& engine, engine_output const& out )
    -> void
{
    using kind = engine_output::kind;
    if ( out.what == kind::filled )
    {
        auto const at = engine.filling.find( out.reservation );
        if ( at == engine.filling.end() )
            return;
        auto const callback = at->second;
        engine.filling.erase( at );
        callback( core::success() );
        return;
    }
    auto const record = engine.records.find( out.request );
    if ( record == engine.records.end() )
        return;
    auto event = ports::engine_event{ out.request, out.attempt, out.position };
    if ( out.what == kind::token )
    {
        ++record->second.count;
        event.text = token_text( record->second.hash, out.position );
        if ( out.position == record->second.first )
            event.load = engine.model->load( time_.now() );
    }
    else
    {
        record->second.ended = true;
        record->second.expired = out.what == kind::expired;
        event.last = true;
    }
    auto const stream = engine.streams[out.request].lock();
    if ( !stream )
        return;
    auto events = std::vector<ports::engine_event>{ event };
    if ( crossed_ )
    {
        auto other = event;
        other.request = core::request_id( "another" );
        events = { other, event, event };
    }
    if ( out.what != kind::expired )
        stream->send( events );
    if ( out.what != kind::token )
        stream->end( core::success() );
}

auto fake_engines::attach( one_engine& engine,
                           ports::engine_request const& request,
                           std::shared_ptr<ports::stream_listener> listener )
    -> std::shared_ptr<fake_stream>
{
    auto id = std::string{};
    for ( auto const& [name, each] : engines_ )
    {
        if ( &each == &engine )
            id = name;
    }
    return std::make_shared<fake_stream>( *this, id, request.request,
                                          std::move( listener ) );
}

auto fake_engines::open( ports::engine_endpoint const& at,
                         ports::engine_request const& request,
                         std::shared_ptr<ports::stream_listener> listener )
    -> std::shared_ptr<ports::engine_stream>
{
    auto& engine = endpoint( at );
    ++opens_;
    auto stream = attach( engine, request, std::move( listener ) );
    later(
        [this, &engine, stream, request]
        {
            if ( engine.dead )
            {
                stream->end( unreachable() );
                return;
            }
            auto const status = engine.model->submit( request, time_.now() );
            if ( !status )
            {
                stream->end( status.error() );
                return;
            }
            engine.records[request.request] = { prompt_hash( *request.prompt ),
                                                request.attempt,
                                                request.from_position };
            engine.streams[request.request] = stream;
        } );
    return stream;
}

auto fake_engines::resume( ports::engine_endpoint const& at,
                           ports::engine_request const& request,
                           std::shared_ptr<ports::stream_listener> listener )
    -> std::shared_ptr<ports::engine_stream>
{
    auto& engine = endpoint( at );
    auto stream = attach( engine, request, std::move( listener ) );
    later(
        [&engine, stream, request]
        {
            if ( engine.hung )
                return;
            if ( engine.dead )
            {
                stream->end( unreachable() );
                return;
            }
            auto const at = engine.records.find( request.request );
            if ( at == engine.records.end() )
            {
                stream->end( core::error{ core::error_code::not_found,
                                          "no such stream" } );
                return;
            }
            auto const& record = at->second;
            engine.streams[request.request] = stream;
            auto events = std::vector<ports::engine_event>{};
            auto const end = record.first + record.count;
            for ( auto p = request.from_position; p < end; ++p )
                events.push_back( { request.request, record.attempt, p,
                                    token_text( record.hash, p ) } );
            if ( record.ended && !record.expired )
                events.push_back(
                    { request.request, record.attempt, end, {}, true } );
            auto const ended = record.ended;
            if ( !events.empty() )
                stream->send( events );
            if ( ended )
                stream->end( core::success() );
        } );
    return stream;
}

auto fake_engines::reserve( ports::engine_endpoint const& at,
                            ports::reservation_request const& reservation,
                            done callback ) -> void
{
    auto& engine = endpoint( at );
    later(
        [this, &engine, reservation, callback]
        {
            if ( engine.dead )
                callback( unreachable() );
            else
                callback( engine.model->reserve( reservation, time_.now() ) );
        } );
}

auto fake_engines::release( ports::engine_endpoint const& at,
                            core::reservation_id const& reservation,
                            done callback ) -> void
{
    auto& engine = endpoint( at );
    later(
        [this, &engine, reservation, callback]
        {
            if ( !engine.dead )
                engine.model->release( reservation, time_.now() );
            callback( core::success() );
        } );
}

auto fake_engines::fill_span( ports::engine_endpoint const& at,
                              core::reservation_id const& reservation,
                              core::token_count tokens,
                              core::duration,
                              done callback ) -> void
{
    auto& engine = endpoint( at );
    later(
        [this, &engine, reservation, tokens, callback]
        {
            if ( engine.dead )
            {
                callback( unreachable() );
                return;
            }
            auto const status =
                engine.model->fill( reservation, tokens.count(), time_.now() );
            if ( !status )
                callback( status.error() );
            else
                engine.filling[reservation] = callback;
        } );
}

auto fake_engines::load( ports::engine_endpoint const& at, load_done callback )
    -> void
{
    auto& engine = endpoint( at );
    later(
        [this, &engine, callback]
        {
            if ( engine.dead )
                callback( unreachable() );
            else
                callback( engine.model->load( time_.now() ) );
        } );
}

auto fake_engines::held( ports::engine_endpoint const& at, held_done callback )
    -> void
{
    auto& engine = endpoint( at );
    later(
        [&engine, callback]
        {
            callback( engine.model->held() );
        } );
}

auto fake_engines::drop( ports::engine_endpoint const& at,
                         core::request_id const& request,
                         done callback ) -> void
{
    auto& engine = endpoint( at );
    later(
        [this, &engine, request, callback]
        {
            engine.model->cancel( request, time_.now() );
            callback( core::success() );
        } );
}

}
