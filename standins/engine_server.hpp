#ifndef STANDINS_ENGINE_SERVER_HPP
#define STANDINS_ENGINE_SERVER_HPP

#include "engine_model.hpp"
#include <pollenstream/adapters/http/listener.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace standins
{

namespace http = pollenstream::adapters::http;

/// A stand-in engine behind HTTP, in real time.
class engine_server
{
public:
    engine_server( core::address const& at,
                   core::address const& control,
                   engine_settings settings );
    ~engine_server();
    engine_server( engine_server const& ) = delete;
    auto operator=( engine_server const& ) -> engine_server& = delete;

    auto open() -> void;
    auto close() -> void;

private:
    using filled = std::function<void( bool )>;

    /// What was written for one request, for as long as it may be resumed.
    struct record
    {
        core::request_id request;
        core::attempt_number attempt;
        std::uint64_t hash{ 0 };
        std::int64_t first{ 0 }; ///< position of the first token written here
        std::int64_t written{ 0 };
        bool ended{ false };
        bool expired{ false };
        std::shared_ptr<http::reply_channel> reader; ///< null: none
        core::instant kept_until;
    };

    auto routes() -> std::vector<http::route>;
    auto control_routes() -> std::vector<http::route>;
    auto on_open( http::received_request request ) -> void;
    auto on_resume( http::received_request request ) -> void;
    auto on_cancel( http::received_request request ) -> void;
    auto on_reserve( http::received_request request ) -> void;
    auto on_release( http::received_request request ) -> void;
    auto on_fill( http::received_request request ) -> void;
    auto on_load( http::received_request request ) -> void;
    auto on_held( http::received_request request ) -> void;
    auto on_fault( http::received_request request ) -> void;
    auto on_counts( http::received_request request ) -> void;

    auto drive() -> void;
    auto deliver( std::vector<engine_output> const& out ) -> void;
    auto send_from( record& to, std::int64_t position, std::size_t count )
        -> void;
    auto send_end( record& to ) -> void;
    auto attach( record& to, http::received_request const& request ) -> void;
    auto forget_old() -> void;
    auto has_fault( std::string const& kind ) const -> bool;

    engine_model model_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{ false };
    std::unordered_map<core::request_id, record> records_;
    std::unordered_map<core::reservation_id, filled> filling_;
    std::set<std::string> faults_;
    std::int64_t opened_{ 0 };
    std::int64_t cancelled_{ 0 };
    std::int64_t resumed_{ 0 };
    http::listener listener_;
    http::listener control_;
    std::thread driver_;
};

}

#endif
