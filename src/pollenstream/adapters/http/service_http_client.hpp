#ifndef POLLENSTREAM_ADAPTERS_HTTP_SERVICE_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_SERVICE_HTTP_CLIENT_HPP

#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/ports/service_client.hpp>

namespace pollenstream::adapters::http
{

/// Calls plain services over HTTP. Each call uses a new connection: the target
/// could close a persistent one just as the call is sent, and it would be
/// unknown whether the call ran.
class service_http_client : public ports::service_client
{
public:
    service_http_client();

    auto call( core::address const& target,
               ports::service_call const& request,
               done callback ) -> void override;

private:
    call_client calls_;
};

}

#endif
