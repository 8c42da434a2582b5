#ifndef STANDINS_PLATFORM_SERVER_HPP
#define STANDINS_PLATFORM_SERVER_HPP

#include "store_model.hpp"
#include <pollenstream/adapters/http/listener.hpp>

#include <cpprest/json.h>

#include <atomic>
#include <deque>
#include <mutex>

namespace standins
{

namespace http = pollenstream::adapters::http;

/// The key-value service behind HTTP.
class store_server
{
public:
    store_server( core::address const& at, core::address const& control );

    auto open() -> void;
    auto close() -> void;

private:
    auto routes() -> std::vector<http::route>;
    auto control_routes() -> std::vector<http::route>;
    auto on_get( http::received_request const& request ) -> void;
    auto on_put( http::received_request const& request ) -> void;
    auto on_fault( http::received_request const& request ) -> void;
    auto on_counts( http::received_request const& request ) -> void;

    store_model model_;
    http::listener listener_;
    http::listener control_;
};

/// The instance list behind HTTP: what was put there `lag` ago.
class list_server
{
public:
    list_server( core::address const& at, core::duration lag );

    auto open() -> void;
    auto close() -> void;

private:
    struct version
    {
        core::instant at;
        web::json::value content;
    };

    auto routes() -> std::vector<http::route>;
    auto on_get( http::received_request const& request ) -> void;
    auto on_put( http::received_request const& request ) -> void;

    core::duration lag_;
    std::mutex mutex_;
    std::deque<version> versions_;
    web::json::value nothing_ = web::json::value::object();
    http::listener listener_;
};

/// A plain service that counts what it ran, by key.
class service_server
{
public:
    service_server( core::address const& at,
                    core::address const& control,
                    core::duration work );

    auto open() -> void;
    auto close() -> void;

private:
    auto routes() -> std::vector<http::route>;
    auto control_routes() -> std::vector<http::route>;
    auto on_call( http::received_request const& request ) -> void;
    auto on_runs( http::received_request const& request ) -> void;

    core::duration work_;
    std::mutex mutex_;
    std::map<std::string, std::int64_t> runs_; ///< by key, or by body
    http::listener listener_;
    http::listener control_;
};

}

#endif
