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

/// Names one route of the configuration.
using route_id = core::strong_id<struct route_id_tag>;

/// What may be repeated of a request.
enum class request_kind
{
    safe,   ///< may run any number of times
    unsafe, ///< may run once
    stream, ///< a series of events; runs once unless the route resumes streams
};

/// One service of a route with its part of the traffic.
struct weighted_service
{
    core::service_id service;
    double weight{ 1 };
};

/// How one path prefix of one host is served.
struct route
{
    route_id id;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    request_kind kind{ request_kind::unsafe };
    bool resumable{ false };     ///< a stream may go on at another target
    core::duration timeout{ 0 }; ///< longest time a caller is kept waiting
    core::duration latency_objective{ 0 };
    core::duration gap_objective{ 0 }; ///< longest pause between events
    int priority{ 0 };                 ///< 0 is first
    std::int64_t max_targets{ 1 };     ///< targets that one request may reach
    bool is_public{ false };           ///< needs no key
    std::vector<weighted_service> services;

    /// True where a second run does no harm.
    [[nodiscard]] auto is_idempotent() const -> bool
    {
        return kind == request_kind::safe ||
               ( kind == request_kind::stream && resumable );
    }
};

/// How fast the engines of a service work; all times in milliseconds.
struct engine_speed
{
    std::int64_t slots{ 1 };           ///< requests at once
    std::int64_t memory_tokens{ 0 };   ///< KV memory
    double step_ms{ 1 };               ///< one token step of an empty batch
    double step_ms_per_request{ 0 };   ///< added by each request that writes
    double step_ms_per_k_context{ 0 }; ///< added by 1,000 tokens of context
    double prefill_tokens_per_ms{ 1 };
    double prefill_ms_per_m_pairs{ 0 }; ///< a million pairs of tokens
    std::int64_t prefill_chunk{ 1 };    ///< tokens read in one step at most
    std::int64_t steps_per_pass{ 1 };
    double hop_ms{ 0 }; ///< added to a step where the prompt is spread
    double typical_prompt_tokens{ 0 };
    double typical_output_tokens{ 0 };
};

/// What the configuration says of a service.
struct service_settings
{
    core::service_id id;
    std::string health_path;
    std::int64_t max_connections{ 0 };  ///< to each target, over all callers
    std::optional<engine_speed> engine; ///< absent for a plain service
};

/// What callers may send and how long they may take.
struct caller_limits
{
    std::uint64_t header_bytes{ 16'384 };
    std::uint64_t body_bytes{ 4'194'304 };
    core::duration header_time{ std::chrono::seconds( 3 ) };
    core::duration idle_time{ std::chrono::seconds( 15 ) };
};

/// A customer with the rank that goes before a route's.
struct workspace_settings
{
    core::workspace_id id;
    std::optional<int> priority;
};

/// The operators' configuration of one version. It does not change once it
/// has been read.
class route_configuration
{
public:
    core::revision version;
    std::vector<route> routes;
    std::map<core::service_id, service_settings> services;
    caller_limits limits;
    bool needs_keys{ false }; ///< requests carry a key

    /// Adds a workspace with its keys.
    auto add_workspace( workspace_settings settings,
                        std::vector<std::string> const& keys ) -> void;
    /// Has to be called once after `routes` is filled.
    auto index_routes() -> void;

    /// The route with the longest prefix of `path` at `host`, or null.
    [[nodiscard]] auto find_route( std::string_view host,
                                   std::string_view path ) const
        -> route const*;
    [[nodiscard]] auto find_workspace( std::string const& key ) const
        -> workspace_settings const*;
    /// The shortest pause objective of the streams that `id` serves; zero
    /// where it serves none.
    [[nodiscard]] auto min_gap_objective( core::service_id const& id ) const
        -> core::duration;
    [[nodiscard]] auto find_service( core::service_id const& id ) const
        -> service_settings const*;

private:
    auto index_gaps() -> void;

    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<core::service_id, core::duration> min_gap_objective_;
    std::vector<workspace_settings> workspaces_;
    std::unordered_map<std::string, std::size_t> by_key_;
};

using configuration_ptr = std::shared_ptr<route_configuration const>;

}

#endif
