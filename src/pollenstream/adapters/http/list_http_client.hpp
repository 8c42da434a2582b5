#ifndef POLLENSTREAM_ADAPTERS_HTTP_LIST_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_LIST_HTTP_CLIENT_HPP

#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/ports/instance_list.hpp>

#include <cpprest/json.h>

namespace pollenstream::adapters::http
{

/// Fetches the platform's instance list over HTTP. If the platform sends entity
/// tags, an unchanged list is not transferred again. Not thread-safe.
class list_http_client : public ports::instance_list
{
public:
    explicit list_http_client( core::address list );

    auto fetch()
        -> core::result<std::optional<ports::instance_listing>> override;

private:
    core::address list_;
    call_client calls_;
    std::string entity_tag_; ///< of the last list that was read
};

/// Parses the list's JSON; fails if any entry is invalid.
auto read_listing( web::json::value const& json )
    -> core::result<ports::instance_listing>;

}

#endif
