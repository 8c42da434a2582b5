#ifndef POLLENSTREAM_EXCHANGE_ROUTES_HPP
#define POLLENSTREAM_EXCHANGE_ROUTES_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pollenstream::exchange
{

/// Identifies a route of the configuration.
using route_id = core::strong_id<struct route_id_tag>;

/// Whether and how a request may be retried.
enum class request_kind
{
    safe,   ///< may run any number of times
    unsafe, ///< may run once
    stream, ///< streams events; runs once unless the route is resumable
};

/// A service of a route and its relative share of the traffic.
struct weighted_service
{
    core::service_id service;
    double weight{ 1 };
};

/// How requests to one path prefix of one host are served.
struct route
{
    route_id id;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    request_kind kind{ request_kind::unsafe };
    bool resumable{ false };     ///< a stream may resume at another target
    core::duration timeout{ 0 }; ///< for the whole request
    core::duration latency_objective{ 0 };
    core::duration gap_objective{ 0 }; ///< longest gap between events
    int priority{ 0 };                 ///< 0 is the most urgent
    std::int64_t max_targets{ 1 };     ///< targets that one request may try
    bool is_public{ false };           ///< needs no API key
    std::vector<weighted_service> services;

    /// True if a request may run more than once.
    [[nodiscard]] auto is_idempotent() const -> bool
    {
        return kind == request_kind::safe ||
               ( kind == request_kind::stream && resumable );
    }
};

/// Capacity and speed of the engines of a service.
struct engine_speed
{
    std::int64_t slots{ 1 };           ///< concurrent requests
    std::int64_t memory_tokens{ 0 };   ///< size of the KV cache
    double step_ms{ 1 };               ///< decode step of an empty batch
    double step_ms_per_request{ 0 };   ///< added by each request that decodes
    double step_ms_per_k_context{ 0 }; ///< added by 1,000 tokens of context
    double prefill_tokens_per_ms{ 1 };
    double prefill_ms_per_m_pairs{ 0 }; ///< per million pairs of tokens
    std::int64_t prefill_chunk{ 1 };    ///< most tokens prefilled per step
    std::int64_t steps_per_pass{ 1 };
    double hop_ms{ 0 }; ///< added to each step of a split prompt
    double typical_prompt_tokens{ 0 };
    double typical_output_tokens{ 0 };

    friend auto operator==( engine_speed const&, engine_speed const& )
        -> bool = default;
};

/// Configuration of a service.
struct service_settings
{
    core::service_id id;
    std::string health_path;
    std::int64_t max_connections{ 0 };  ///< to each target, for all callers
    std::optional<engine_speed> engine; ///< absent for a plain service
    /// Requests a second that a target takes from all instances together while
    /// it warms up after its start; empty if that is not limited.
    std::optional<double> warm_up_rate;
};

/// Limits on the size of callers' requests and on the time to send them.
struct caller_limits
{
    std::uint64_t max_header_bytes{ 16'384 };
    std::uint64_t max_body_bytes{ 4'194'304 };
    core::duration header_timeout{ std::chrono::seconds( 3 ) };
    core::duration idle_timeout{ std::chrono::seconds( 15 ) };
};

/// Limits of a port whose requests have no body.
inline auto limits_without_body() -> caller_limits
{
    auto limits = caller_limits{};
    limits.max_body_bytes = 0;
    return limits;
}

/// A workspace and the priority that overrides that of the routes.
struct workspace_settings
{
    core::workspace_id id;
    std::optional<int> priority;
};

/// One version of the operators' configuration, immutable once loaded.
class route_configuration
{
public:
    core::revision version;
    std::vector<route> routes;
    std::map<core::service_id, service_settings> services;
    caller_limits limits;
    bool needs_keys{ false }; ///< requests need an API key

    /// Adds a workspace with its API keys.
    auto add_workspace( workspace_settings settings,
                        std::vector<std::string> const& keys ) -> void;
    /// Builds the indexes. Has to be called once `routes` is filled.
    auto index_routes() -> void;

    /// The route of `host` with the longest matching prefix of the path of
    /// `target`, which may have a query; or null.
    [[nodiscard]] auto find_route( std::string_view host,
                                   std::string_view target ) const
        -> route const*;
    [[nodiscard]] auto find_workspace( std::string const& key ) const
        -> workspace_settings const*;
    /// True if requests of `which` need the key of a workspace.
    [[nodiscard]] auto needs_key( route const& which ) const -> bool;
    /// True if a request has a route, and a key where it needs one.
    [[nodiscard]] auto admits( std::string_view host,
                               std::string_view target,
                               std::string const& key ) const -> bool;
    /// The shortest gap objective of the streams that the service serves; zero
    /// if it serves none.
    [[nodiscard]] auto min_gap_objective( core::service_id const& id ) const
        -> core::duration;
    [[nodiscard]] auto find_service( core::service_id const& id ) const
        -> service_settings const*;
    /// The warm-up rates of the services that have one.
    [[nodiscard]] auto warm_up_rates() const
        -> std::unordered_map<core::service_id, double>;
    /// The engine models of the services that have one.
    [[nodiscard]] auto engine_models() const
        -> std::unordered_map<core::service_id, engine_speed>;

private:
    auto index_gap_objectives() -> void;

    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<core::service_id, core::duration> min_gap_objective_;
    std::vector<workspace_settings> workspaces_;
    std::unordered_map<std::string, std::size_t> by_key_;
};

using configuration_ptr = std::shared_ptr<route_configuration const>;

}

#endif
