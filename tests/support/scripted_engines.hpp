#ifndef TESTS_SUPPORT_SCRIPTED_ENGINES_HPP
#define TESTS_SUPPORT_SCRIPTED_ENGINES_HPP

#include <pollenstream/ports/engine.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tests
{

/// A stream of an engine; the test sends its events.
class scripted_stream : public pollenstream::ports::engine_stream
{
public:
    scripted_stream(
        std::string at,
        pollenstream::ports::engine_request asked,
        bool is_resume,
        std::shared_ptr<pollenstream::ports::stream_listener> listener )
        : engine( std::move( at ) ), request( std::move( asked ) ),
          resumed( is_resume ), listener_( std::move( listener ) )
    {
    }

    auto cancel() -> void override
    {
        cancelled = true;
        detach();
    }
    auto detach() -> void override
    {
        detached = true;
        listener_.reset();
    }

    /// Sends the token at `position`; its text begins with the engine's id.
    auto write( std::int64_t position ) -> void
    {
        send( { request.request, request.attempt, position,
                engine + std::to_string( position ) + ' ' } );
    }
    /// Ends the answer after `tokens` tokens.
    auto complete( std::int64_t tokens ) -> void
    {
        auto event = pollenstream::ports::engine_event{
            request.request, request.attempt, tokens };
        event.last = true;
        send( event );
        end( pollenstream::core::success() );
    }
    /// Ends the stream with an error.
    auto lose( pollenstream::core::error_code why ) -> void
    {
        end( pollenstream::core::error{ why, "scripted" } );
    }

    [[nodiscard]] auto is_open() const -> bool
    {
        return listener_ != nullptr;
    }

    std::string engine;
    pollenstream::ports::engine_request request;
    bool resumed;
    bool cancelled{ false };
    bool detached{ false };

private:
    auto send( pollenstream::ports::engine_event const& event ) -> void
    {
        if ( auto const listener = listener_ )
            listener->on_events( { event } );
    }
    auto end( pollenstream::core::result<void> status ) -> void
    {
        if ( auto const listener = std::exchange( listener_, nullptr ) )
            listener->on_end( std::move( status ) );
    }

    std::shared_ptr<pollenstream::ports::stream_listener> listener_;
};

/// Engines that send only what a test sends for them. Reservations and the
/// prefill of parts succeed at once unless the test refuses or holds them.
class scripted_engines : public pollenstream::ports::engine_client
{
public:
    using endpoint = pollenstream::ports::engine_endpoint;
    using request = pollenstream::ports::engine_request;
    using listener = std::shared_ptr<pollenstream::ports::stream_listener>;
    using stream = std::shared_ptr<pollenstream::ports::engine_stream>;

    auto open( endpoint const& engine, request const& asked, listener to )
        -> stream override
    {
        return add( engine, asked, false, std::move( to ) );
    }
    auto resume( endpoint const& engine, request const& asked, listener to )
        -> stream override
    {
        return add( engine, asked, true, std::move( to ) );
    }
    auto reserve( endpoint const&,
                  pollenstream::ports::reservation_request const& wanted,
                  done callback ) -> void override
    {
        if ( refuses_memory )
        {
            callback( pollenstream::core::error{
                pollenstream::core::error_code::refused, "no memory" } );
            return;
        }
        reserved.insert( wanted.id.str() );
        callback( pollenstream::core::success() );
    }
    auto release( endpoint const&,
                  pollenstream::core::reservation_id const& id,
                  done callback ) -> void override
    {
        reserved.erase( id.str() );
        callback( pollenstream::core::success() );
    }
    auto fill_span( endpoint const&,
                    pollenstream::core::reservation_id const&,
                    pollenstream::core::token_count,
                    pollenstream::core::duration,
                    done callback ) -> void override
    {
        if ( holds_fills )
            fills.push_back( std::move( callback ) );
        else
            callback( pollenstream::core::success() );
    }
    auto load( endpoint const&, load_done ) -> void override {}
    auto held( endpoint const&, held_done ) -> void override {}
    auto drop( endpoint const&, pollenstream::core::request_id const&, done )
        -> void override
    {
    }

    /// Attempts that have not been cancelled and have not ended.
    [[nodiscard]] auto open_attempts() const -> std::size_t
    {
        auto numbers = std::set<std::int64_t>{};
        for ( auto const& each : all )
        {
            if ( each->is_open() )
                numbers.insert( each->request.attempt.count() );
        }
        return numbers.size();
    }

    std::vector<std::shared_ptr<scripted_stream>> all;
    std::set<std::string> reserved; ///< ids of reservations that are held
    std::vector<done> fills;        ///< callbacks of prefills that are held
    bool refuses_memory{ false };
    bool holds_fills{ false };

private:
    auto add( endpoint const& engine,
              request const& asked,
              bool is_resume,
              listener to ) -> stream
    {
        all.push_back( std::make_shared<scripted_stream>(
            engine.id.str(), asked, is_resume, std::move( to ) ) );
        return all.back();
    }
};

}

#endif
