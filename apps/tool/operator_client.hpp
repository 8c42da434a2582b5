#ifndef APPS_TOOL_OPERATOR_CLIENT_HPP
#define APPS_TOOL_OPERATOR_CLIENT_HPP

#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>

#include <cpprest/json.h>

#include <map>
#include <string>

namespace apps::tool
{

namespace core = pollenstream::core;

/// Calls to one daemon's interface for operators.
class operator_client
{
public:
    operator_client( core::address daemon, std::string token );

    auto get( std::string const& path ) -> core::result<web::json::value>;
    auto post( std::string const& path, web::json::value const& body )
        -> core::result<web::json::value>;

private:
    auto send( pollenstream::adapters::http::call_request request )
        -> core::result<web::json::value>;

    pollenstream::adapters::http::call_client client_;
    core::address daemon_;
    std::string token_;
};

/// The operators' documents by name, with their revision.
struct shown_configuration
{
    std::int64_t revision{ 0 };
    std::map<std::string, std::string> documents;
};

auto show_configuration( operator_client& daemon )
    -> core::result<shown_configuration>;

}

#endif
