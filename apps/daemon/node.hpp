#ifndef APPS_DAEMON_NODE_HPP
#define APPS_DAEMON_NODE_HPP

#include "periodic_task.hpp"
#include <pollenstream/adapters/http/caller_listener.hpp>
#include <pollenstream/adapters/http/configuration_text_codec.hpp>
#include <pollenstream/adapters/http/engine_http_client.hpp>
#include <pollenstream/adapters/http/list_http_client.hpp>
#include <pollenstream/adapters/http/operator_listener.hpp>
#include <pollenstream/adapters/http/service_http_client.hpp>
#include <pollenstream/adapters/http/store_http_client.hpp>
#include <pollenstream/adapters/system/asio_timer.hpp>
#include <pollenstream/adapters/system/blocking_pool.hpp>
#include <pollenstream/adapters/system/steady_clock.hpp>
#include <pollenstream/adapters/thrift/peer_thrift_client.hpp>
#include <pollenstream/adapters/thrift/peer_thrift_server.hpp>
#include <pollenstream/membership/heartbeater.hpp>
#include <pollenstream/membership/target_watch.hpp>
#include <pollenstream/routing/target_policy.hpp>
#include <pollenstream/sessions/gateway.hpp>
#include <pollenstream/settings/daemon_settings.hpp>
#include <pollenstream/state/configuration_follower.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <functional>
#include <memory>

namespace apps::daemon
{

namespace adapters = pollenstream::adapters;
namespace core = pollenstream::core;
namespace membership = pollenstream::membership;
namespace ports = pollenstream::ports;
namespace routing = pollenstream::routing;
namespace sessions = pollenstream::sessions;
namespace state = pollenstream::state;

/// One running instance: every part, wired together, and its threads.
class node : public ports::peer_handler
{
public:
    /// `on_drain` is called when an operator asks for a planned stop.
    node( pollenstream::settings::daemon_settings settings,
          std::function<void()> on_drain );
    ~node() override;

    /// Passes some time; returns false if the process is asked to stop.
    using pause_or_stop = std::function<bool()>;

    /// Opens the addresses and starts the threads. Waits for addresses that are
    /// in use or are not there yet. Returns false if it was stopped meanwhile.
    auto start( pause_or_stop const& pause ) -> bool;

    /// A planned stop: leaves the answers to callers, goes on accepting for as
    /// long as callers keep an answer, lets its requests finish, and closes.
    /// Returns the number of requests that were still open at the limit.
    auto stop() -> std::int64_t;

    auto on_exchange( ports::heartbeat const& theirs )
        -> ports::heartbeat override;
    auto on_fetch_configuration( core::revision newer_than,
                                 std::vector<std::string> const& known_hashes )
        -> ports::peer_configuration override;
    auto on_call( ports::forwarded_call const& what )
        -> state::call_outcome override;

private:
    auto self_member() const -> membership::member;
    auto start_tasks() -> void;
    static auto open_when_free( core::address const& at,
                                std::function<void()> const& open,
                                pause_or_stop const& pause ) -> bool;
    static auto try_to_open( core::address const& at,
                             std::function<void()> const& open,
                             std::string& problem ) -> bool;
    auto open_operators() -> core::duration;
    auto beat() -> core::duration;
    auto read_list() -> core::duration;
    auto note_left_out() -> void;
    auto note_unusable_entries( std::vector<std::string> const& before,
                                std::vector<std::string> const& now ) -> void;
    /// Logs a problem that is new; empty: there is none.
    auto note_list_problem( std::string const& problem ) -> void;
    auto follow() -> core::duration;
    auto reach( core::revision wanted ) -> adapters::http::revision_reach;
    auto sources() -> adapters::http::dump_sources;
    auto wait_for_requests() -> std::int64_t;

    pollenstream::settings::daemon_settings settings_;
    core::incarnation incarnation_;
    adapters::system::steady_clock clock_;
    adapters::system::asio_timer timer_;
    adapters::system::blocking_pool blocking_;
    adapters::http::configuration_text_codec codec_;
    adapters::http::engine_http_client engines_;
    adapters::http::service_http_client services_;
    adapters::http::store_http_client store_;
    adapters::http::list_http_client list_;
    ports::instance_listing listing_; ///< as it was read last
    std::string list_problem_;        ///< of the last fetch; empty: none
    bool logged_left_out_{ false };   ///< that instances were left out
    adapters::thrift::peer_thrift_client peers_;
    routing::target_table targets_;
    std::unique_ptr<routing::target_policy> policy_;
    pollenstream::admission::retry_budget retries_;
    pollenstream::metrics::request_metrics metrics_;
    sessions::context shared_;
    state::configuration_holder holder_;
    state::configuration_publisher publisher_;
    state::configuration_follower follower_;
    state::call_ledger ledger_;
    membership::member_table members_;
    membership::heartbeater heartbeats_;
    std::shared_ptr<membership::target_watch> watch_;
    sessions::gateway gateway_;
    /// Of all ports.
    std::shared_ptr<adapters::http::listening_loop> ports_loop_;
    adapters::http::caller_listener callers_;
    adapters::http::operator_listener operators_;
    std::unique_ptr<adapters::thrift::peer_thrift_server> peer_server_;
    // Of the task that opens the operators' address.
    bool operators_are_open_{ false };
    std::string operators_problem_;
    std::vector<std::unique_ptr<periodic_task>> tasks_;
};

}

#endif
