#ifndef POLLENSTREAM_APPS_GATEWAY_GATEWAY_NODE_HPP
#define POLLENSTREAM_APPS_GATEWAY_GATEWAY_NODE_HPP

#include "../../platform/entry_handlers.hpp"
#include "../../platform/exchange_headers.hpp"
#include "../../platform/handover_calls.hpp"
#include "../../platform/registry_records.hpp"
#include "../../platform/settings_file.hpp"
#include "../../platform/store_client.hpp"
#include "../../platform/target_calls.hpp"
#include "caller_handler.hpp"
#include "handover_handler.hpp"
#include "listening_ports.hpp"
#include "metrics_handler.hpp"
#include "node_state.hpp"
#include "resource_limits.hpp"
#include "state_handler.hpp"
#include <pollenstream/adapters/asio/asio_scheduler.hpp>
#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/adapters/asio/datagram_socket.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>
#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/placement_coordinator.hpp>
#include <pollenstream/handover/outgoing_handovers.hpp>
#include <pollenstream/observation/bounded_log.hpp>
#include <pollenstream/observation/event_metrics.hpp>
#include <pollenstream/observation/first_service.hpp>
#include <pollenstream/observation/route_service.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/placement_router.hpp>
#include <pollenstream/peers/quarantine.hpp>
#include <pollenstream/peers/record_fetch.hpp>
#include <pollenstream/peers/target_path_watch.hpp>
#include <pollenstream/registry/instance_records.hpp>
#include <pollenstream/registry/quarantine_records.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <vector>

namespace pollenstream::gateway
{

/// One instance of the gateway: its components, its listeners and its planned
/// stop.
class gateway_node
{
public:
    gateway_node( adapters::asio::net::io_context& io,
                  platform::gateway_settings settings,
                  exchange::event_log& log );

    /// Serves metrics and the state dump at `port` from the start on.
    auto serve_metrics( std::uint16_t port ) -> void;

    /// Opens the ports and begins to work once callers and other instances can
    /// reach this one.
    auto start() -> void;
    /// Applies the settings that may change at run time: the retry budget, the
    /// grace period, the directory's time to live and the seed instances.
    /// Returns the names of changed settings that need a restart.
    auto apply( platform::gateway_settings const& next ) -> std::string;
    /// Begins a planned stop: accepts no new callers and lets open requests
    /// finish within the grace period.
    auto stop() -> void;
    /// Logs and counts what has thrown an exception outside of any request.
    auto note_failure( std::string const& what, std::exception const& e )
        -> void;

private:
    /// Time to live of the directory's answer: short enough that callers soon
    /// leave an instance that has failed, long enough that directory requests
    /// cost little.
    static constexpr auto directory_ttl =
        core::duration( std::chrono::seconds( 1 ) );

    using listener_ptr = std::unique_ptr<adapters::asio::caller_listener>;

    auto make_context() -> exchange::exchange_context;
    auto make_registry_events() -> registry::registry_events;
    auto add_instance( std::string const& key, std::string const& ip ) -> void;
    auto parts() const -> node_parts;
    [[nodiscard]] auto broken_inputs() const -> std::uint64_t;
    auto add_listener( listener_ptr& listener,
                       listening_port port,
                       adapters::asio::request_handler& handler ) -> void;
    auto add_ports() -> void;
    auto begin() -> void;
    auto connect_events() -> void;
    auto is_ready() const -> bool;
    auto registry_is_current() const -> bool;
    auto update_ready() -> void;
    auto note_readiness() -> void;
    auto tick() -> void;
    auto update_store_state() -> void;
    auto note_configuration_delay( core::revision version ) -> void;
    /// Fetches the records that another instance knows, and applies them.
    auto fetch_records( core::instance_id const& from,
                        std::function<void()> ended ) -> void;
    auto check_stopped() -> void;
    auto close_idle_connections() -> void;
    auto abandon_open() -> void;
    auto end_process( std::string because ) -> void;
    auto record_dropped_caller( std::string const& caller,
                                std::size_t bytes,
                                core::duration stalled ) -> void;
    /// Logs the state with the age of this process.
    auto record_retry_budget( exchange::used_up_retry_budget const& state )
        -> void;
    auto record_process( std::string now, std::string because ) -> void;

    adapters::asio::net::io_context& io_;
    platform::gateway_settings settings_;
    adapters::asio::asio_scheduler scheduler_;
    observation::bounded_log bounded_log_;
    observation::event_metrics log_;
    observation::route_service route_service_;
    observation::first_service first_service_;
    observation::delay_gauge configuration_delay_;
    resource_limits limits_;
    /// For the connections at all ports and what they send.
    std::shared_ptr<adapters::asio::connection_accounts> connection_accounts_;
    /// For the answers of targets until their callers have taken them, and for
    /// all other answers that wait for their readers.
    std::shared_ptr<core::memory_budget> answer_memory_;
    std::shared_ptr<adapters::asio::unsent_answers> unsent_answers_;
    adapters::asio::http_client http_;
    platform::store_client store_;
    platform::registry_records records_;
    platform::target_calls target_calls_;
    platform::reservation_calls reservation_client_;
    platform::handover_calls handover_calls_;
    core::handover_key handover_key_;
    platform::header_encoder encoder_;
    exchange::load_table load_table_;
    exchange::crash_history crashes_;
    exchange::placement placement_;
    exchange::shared_retry_budget retries_;
    exchange::target_path path_;
    exchange::wait_queue wait_queue_;
    adapters::asio::datagram_socket datagrams_;
    peers::peer_group group_;
    handover::outgoing_handovers handovers_;
    exchange::placement_coordinator coordinator_;
    peers::placement_router router_;
    exchange::exchange_context context_;
    registry::registry_watch registry_;
    registry::instance_records instance_records_;
    peers::record_fetch record_fetch_;
    peers::target_path_watch path_watch_;
    peers::quarantine quarantine_;
    registry::quarantine_records quarantine_records_;

    caller_handler caller_handler_;
    state_handler state_handler_;
    handover_handler handover_handler_;
    platform::directory_handler directory_handler_;
    platform::readiness_handler readiness_handler_;
    metrics_handler metrics_handler_;
    listener_ptr callers_;
    listener_ptr directory_;
    listener_ptr readiness_;
    listener_ptr peer_listener_;
    listener_ptr metrics_;
    listening_ports listening_ports_;
    core::counter failures_;

    core::instant started_;
    ready_state ready_state_;
    bool has_begun_{ false };
    bool stopping_{ false };
    core::instant callers_left_at_;
    std::optional<ports::repeating_call> ticks_;
    std::unique_ptr<ports::scheduled_call> stop_call_;
};

}

#endif
