#ifndef POLLENSTREAM_ADAPTERS_HTTP_LISTENING_LOOP_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_LISTENING_LOOP_HPP

#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/adapters/asio/unsent_answers.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>

namespace pollenstream::adapters::http
{

/// Limits on the memory and the connections of callers at all ports of a
/// process.
struct listening_limits
{
    std::size_t received_bytes{ 0 }; ///< connections and requests
    std::size_t unsent_bytes{ 0 };   ///< answers that callers have not taken
    std::size_t connections{ 0 };
};

/// The division of `memory_bytes` of a process among these.
auto listening_limits_of( std::size_t memory_bytes ) -> listening_limits;

/// Use of memory and descriptors by the connections of a process.
struct connection_usage
{
    std::size_t connections{ 0 };
    std::size_t max_connections{ 0 };
    std::size_t received_bytes{ 0 };
    std::size_t unsent_bytes{ 0 };
    /// Connections that were closed, or whose request was refused, for others.
    std::uint64_t gave_way{ 0 };
    /// Connections and requests for which nobody could give way.
    std::uint64_t refused{ 0 };
    /// Callers that did not take their answers.
    std::uint64_t dropped{ 0 };
};

/// The event loop of the listeners of a process, with its thread, and the one
/// account of what their connections take. Shared by these listeners.
class listening_loop
{
public:
    explicit listening_loop( listening_limits const& limits );
    ~listening_loop();
    listening_loop( listening_loop const& ) = delete;
    auto operator=( listening_loop const& ) -> listening_loop& = delete;

    /// Runs `work` on the loop's thread and waits for its end.
    auto run_and_wait( std::function<void()> work ) -> void;

    /// Waits for the loop's thread.
    [[nodiscard]] auto usage() -> connection_usage;

    [[nodiscard]] auto context() const
        -> std::shared_ptr<asio::net::io_context> const&
    {
        return context_;
    }
    /// For the loop's thread.
    [[nodiscard]] auto accounts() const
        -> std::shared_ptr<asio::connection_accounts> const&
    {
        return accounts_;
    }
    /// For the loop's thread.
    [[nodiscard]] auto unsent() const
        -> std::shared_ptr<asio::unsent_answers> const&
    {
        return unsent_;
    }

private:
    auto run() -> void;
    auto report_shortages() -> void;

    std::shared_ptr<asio::net::io_context> context_;
    std::shared_ptr<asio::connection_accounts> accounts_;
    std::shared_ptr<asio::unsent_answers> unsent_;
    asio::net::executor_work_guard<asio::net::io_context::executor_type> work_;
    asio::net::steady_timer report_timer_;
    std::thread thread_;
};

}

#endif
