#ifndef POLLENSTREAM_EXCHANGE_PLACEMENT_HPP
#define POLLENSTREAM_EXCHANGE_PLACEMENT_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/routes.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace pollenstream::exchange
{

/// What the placement of a request depends on: its own properties and those of
/// other waiting requests.
struct placement_demand
{
    core::service_id service;
    /// Of the instance that received the request; empty if it is not known.
    core::data_centre_id data_centre;
    std::int64_t prompt_tokens{ 0 }; ///< 0 for a plain call
    std::int64_t output_tokens{ 0 };
    core::duration latency_objective{ 0 };
    core::duration gap_objective{ 0 };
    core::duration min_gap_objective{ 0 }; ///< over all routes of the service
    core::duration waited{ 0 };            ///< since the request arrived
    core::duration time_left{ 0 };
    core::duration patience_left{ 0 };  ///< until the caller gives up
    std::vector<core::target_id> tried; ///< must not be chosen again
    /// Targets that accept nothing from the requester now.
    std::vector<core::target_id> paused;
    /// Which part of the limits that targets report may be used.
    limit_use limits{ limit_use::coordinated };
    /// Targets with limits may be chosen only to probe whether their limits
    /// still hold; for anything else the coordinator has to be asked.
    bool only_to_probe_limits{ false };
    /// Number of targets that ended while they ran the same content, and may
    /// have ended because of it.
    std::size_t crashes{ 0 };
    /// No other split prompt waits.
    bool is_only_split_prompt{ false };
    /// Another split prompt waits that can still be in time.
    bool others_in_time{ false };
    /// Random number from 0 to 1 that selects among equally good targets.
    double draw{ 0 };
};

/// What was known of the chosen targets at the time of the choice.
struct choice_basis
{
    std::int64_t requests{ 0 };   ///< that the first target answers
    std::int64_t prefilling{ 0 }; ///< parts that the first target prefills
    double backlog_ms{ 0 };       ///< largest among the chosen targets
    /// Time that the request waited for capacity under targets' limits.
    std::int64_t limit_wait_ms{ 0 };
};

/// The targets of a request. The first one answers; the others only prefill
/// parts of the prompt.
struct placement_choice
{
    std::vector<std::shared_ptr<target_entry>> targets;
    std::vector<work_part> parts; ///< one for each target
    double first_event_ms{ 0 };   ///< predicted, from now
    /// Memory has to be reserved at all targets before the request is sent, as
    /// none of them can hold the whole prompt.
    bool needs_reservation{ false };
    choice_basis basis;
};

/// Why no target was chosen.
enum class placement_obstacle
{
    no_targets, ///< no target accepts work
    full,       ///< no target has capacity now
    too_large,  ///< exceeds the memory of all targets together
    paused,     ///< all remaining targets are paused for the requester
    limited,    ///< all remaining targets have reached their limits
    drained,    ///< all remaining targets are in drained data centres
};

struct placement_result
{
    std::optional<placement_choice> choice;
    placement_obstacle reason{ placement_obstacle::no_targets };
};

struct prefill_candidate;

/// A result without a choice, with the reason.
inline auto not_placed( placement_obstacle reason ) -> placement_result
{
    return { std::nullopt, reason };
}

/// The remaining targets of a request, grouped by what limits their use.
struct target_options
{
    using list = std::vector<std::shared_ptr<target_entry>>;

    /// No limit, or an ample one if the request may be more than a probe.
    list unlimited;
    list limited; ///< their limits allow a request now
    list ejected; ///< considered failing; their limits allow a request now
    /// Further targets have capacity later, according to their limits.
    bool limited_later{ false };

    [[nodiscard]] auto has_limited() const -> bool
    {
        return limited_later || !limited.empty();
    }
};

/// When the remaining targets have capacity under their limits, and at which
/// rate.
struct limited_capacity
{
    core::instant available_at; ///< capacity for one request
    double per_second{ 0 };

    /// When there is capacity for a request behind `requests_ahead` others.
    [[nodiscard]] auto available_after( std::size_t requests_ahead ) const
        -> core::instant;
};

/// Chooses targets from the load table. Whether a request without a choice
/// waits or is refused is decided by the caller.
class placement
{
public:
    placement( load_table const& loads, core::data_centre_id own_data_centre );

    /// The data centre of this instance.
    [[nodiscard]] auto own_data_centre() const -> core::data_centre_id const&
    {
        return own_data_centre_;
    }

    /// Chooses targets for `demand` among those that accept work now.
    [[nodiscard]] auto choose( placement_demand const& demand,
                               service_settings const& service,
                               core::instant now ) const -> placement_result;

    /// Capacity under the limits of the targets that remain for `demand`;
    /// nullopt if none of them allows any requests by a limit.
    [[nodiscard]] auto capacity_by_limits( placement_demand const& demand,
                                           core::instant now ) const
        -> std::optional<limited_capacity>;

    /// True if the prompt cannot have its first event in time any more, even
    /// with as many engines as it can expect to get.
    [[nodiscard]] auto is_too_late( placement_demand const& demand,
                                    service_settings const& service ) const
        -> bool;

    /// Prefill time of the prompt on as many engines as it can expect to get.
    [[nodiscard]] auto shortest_prefill( placement_demand const& demand,
                                         service_settings const& service ) const
        -> core::duration;

private:
    using candidates = std::vector<std::shared_ptr<target_entry>>;

    [[nodiscard]] auto choose_by_prompt( candidates const& targets,
                                         placement_demand const& demand,
                                         service_settings const& service,
                                         core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto options( placement_demand const& demand,
                                core::instant now ) const -> target_options;
    [[nodiscard]] auto choose_limit_probe( target_options const& options,
                                           placement_demand const& demand,
                                           service_settings const& service,
                                           core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_by_preference( target_options const& options,
                                             placement_demand const& demand,
                                             service_settings const& service,
                                             core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_from( candidates const& targets,
                                    placement_demand const& demand,
                                    service_settings const& service,
                                    core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto has_paused_target( placement_demand const& demand ) const
        -> bool;
    [[nodiscard]] auto
    has_drained_target( placement_demand const& demand ) const -> bool;
    [[nodiscard]] auto choose_isolated( candidates const& targets,
                                        placement_demand const& demand,
                                        service_settings const& service,
                                        core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_plain( candidates const& targets,
                                     core::data_centre_id const& near,
                                     core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_short( placement_demand const& demand,
                                     engine_speed const& speed,
                                     candidates const& targets,
                                     core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_long( placement_demand const& demand,
                                    engine_speed const& speed,
                                    candidates const& targets,
                                    core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_decode_target( engine_speed const& speed,
                                             candidates const& targets,
                                             std::int64_t memory,
                                             double part_ms,
                                             double draw,
                                             core::instant now ) const
        -> std::optional<prefill_candidate>;
    [[nodiscard]] auto choose_reserved( placement_demand const& demand,
                                        engine_speed const& speed,
                                        candidates const& targets,
                                        core::instant now ) const
        -> placement_result;

    load_table const& load_table_;
    core::data_centre_id own_data_centre_;
};

/// True if the prefill of the prompt would delay decoding requests with the
/// shortest pause objective too much, so that it belongs on other engines.
auto is_long_prompt( engine_speed const& speed, placement_demand const& demand )
    -> bool;

/// True if the prefill of the prompt is split over several engines when these
/// are free.
auto is_split_prompt( engine_speed const& speed,
                      placement_demand const& demand ) -> bool;

}

#endif
