#ifndef POLLENSTREAM_ADAPTERS_HTTP_SERVICE_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_SERVICE_HTTP_CLIENT_HPP

#include <pollenstream/ports/service_client.hpp>

namespace pollenstream::adapters::http
{

/// Calls to plain services over HTTP. Each call has a connection of its own:
/// a kept one could be cut by the other end just as the call is sent, and
/// nobody could tell whether it ran.
class service_http_client : public ports::service_client
{
public:
    auto call( core::address const& target,
               ports::service_call const& request,
               done callback ) -> void override;
};

}

#endif
