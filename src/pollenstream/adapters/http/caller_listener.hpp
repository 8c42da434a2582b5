#ifndef POLLENSTREAM_ADAPTERS_HTTP_CALLER_LISTENER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_CALLER_LISTENER_HPP

#include <pollenstream/adapters/http/listener.hpp>
#include <pollenstream/adapters/system/blocking_pool.hpp>
#include <pollenstream/sessions/gateway.hpp>

namespace pollenstream::adapters::http
{

/// Limits on the requests of callers.
struct caller_limits
{
    std::size_t max_body_size{ 0 }; ///< bytes
};

/// Serves the HTTP interface for callers; see docs/CALLERS.md.
class caller_listener
{
public:
    caller_listener( core::address const& at,
                     caller_limits const& limits,
                     sessions::gateway& gateway,
                     system::blocking_pool& blocking,
                     std::shared_ptr<listening_loop> loop );

    auto open() -> void;
    auto close() -> void;

private:
    auto routes() -> std::vector<route>;
    auto on_chat( received_request request ) -> void;
    auto on_entry( received_request request ) -> void;
    auto on_service( received_request request ) -> void;

    sessions::gateway& gateway_;
    system::blocking_pool& blocking_;
    listener listener_;
};

}

#endif
