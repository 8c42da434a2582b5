#ifndef POLLENSTREAM_ADAPTERS_HTTP_STORE_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_STORE_HTTP_CLIENT_HPP

#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/ports/key_value_store.hpp>

namespace pollenstream::adapters::http
{

/// Accesses the platform's key-value service over HTTP.
class store_http_client : public ports::key_value_store
{
public:
    explicit store_http_client( core::address store );

    auto get( std::string const& key )
        -> core::result<ports::key_value> override;
    auto compare_and_swap( std::string const& key,
                           ports::key_version expected,
                           std::string const& value )
        -> core::result<ports::key_version> override;
    auto watch( std::string const& key,
                ports::key_version known,
                core::duration limit )
        -> core::result<ports::key_value> override;

private:
    core::address store_;
    call_client calls_;
    call_client watches_;
};

}

#endif
