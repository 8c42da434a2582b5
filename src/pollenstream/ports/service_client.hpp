#ifndef POLLENSTREAM_PORTS_SERVICE_CLIENT_HPP
#define POLLENSTREAM_PORTS_SERVICE_CLIENT_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <functional>
#include <string>

namespace pollenstream::ports
{

/// One call to a plain service.
struct service_call
{
    std::string method; ///< HTTP method
    std::string path;   ///< path relative to the service's root, with the query
    std::string content_type;
    std::string body;
    core::idempotency_key key; ///< empty if the caller gave none
    core::duration time_left{ 0 };
};

/// A plain service's reply, passed on unchanged.
struct service_reply
{
    int status{ 0 }; ///< HTTP status
    std::string content_type;
    std::string body;
};

/// Client for the calls to plain services.
class service_client
{
public:
    using done = std::function<void( core::result<service_reply> )>;

    virtual ~service_client() = default;
    virtual auto call( core::address const& target,
                       service_call const& request,
                       done callback ) -> void = 0;
};

}

#endif
