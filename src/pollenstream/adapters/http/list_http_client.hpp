#ifndef POLLENSTREAM_ADAPTERS_HTTP_LIST_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_LIST_HTTP_CLIENT_HPP

#include <pollenstream/adapters/http/client_pool.hpp>
#include <pollenstream/ports/instance_list.hpp>

#include <cpprest/json.h>

namespace pollenstream::adapters::http
{

/// The platform's instance list over HTTP. A list that has not changed is not
/// sent again where the platform gives entity tags. Not for several threads.
class list_http_client : public ports::instance_list
{
public:
    explicit list_http_client( core::address list );

    auto fetch()
        -> core::result<std::optional<ports::instance_listing>> override;

private:
    core::address list_;
    client_pool calls_;
    std::string entity_tag_; ///< of the list as it was read last
};

/// Reads the list's JSON; entries that cannot be read make it fail.
auto read_listing( web::json::value const& json )
    -> core::result<ports::instance_listing>;

}

#endif
