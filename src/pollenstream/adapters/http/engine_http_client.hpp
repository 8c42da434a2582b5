#ifndef POLLENSTREAM_ADAPTERS_HTTP_ENGINE_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_ENGINE_HTTP_CLIENT_HPP

#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/ports/engine.hpp>

namespace pollenstream::adapters::http
{

/// Calls model engines over HTTP; answers arrive as server-sent events.
class engine_http_client : public ports::engine_client
{
public:
    engine_http_client();

    auto open( ports::engine_endpoint const& engine,
               ports::engine_request const& request,
               std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<ports::engine_stream> override;
    auto resume( ports::engine_endpoint const& engine,
                 ports::engine_request const& request,
                 std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<ports::engine_stream> override;
    auto reserve( ports::engine_endpoint const& engine,
                  ports::reservation_request const& reservation,
                  done callback ) -> void override;
    auto release( ports::engine_endpoint const& engine,
                  core::reservation_id const& reservation,
                  done callback ) -> void override;
    auto fill_span( ports::engine_endpoint const& engine,
                    core::reservation_id const& reservation,
                    core::token_count tokens,
                    core::duration limit,
                    done callback ) -> void override;
    auto load( ports::engine_endpoint const& engine, load_done callback )
        -> void override;
    auto held( ports::engine_endpoint const& engine, held_done callback )
        -> void override;
    auto drop( ports::engine_endpoint const& engine,
               core::request_id const& request,
               done callback ) -> void override;

private:
    auto start( ports::engine_endpoint const& engine,
                core::request_id const& request,
                call_request const& call,
                std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<ports::engine_stream>;
    auto send_release( core::address const& to,
                       std::string const& path,
                       done callback ) -> void;

    call_client streams_; ///< the session detects silent targets
    call_client control_; ///< for short calls, with a short timeout
};

}

#endif
