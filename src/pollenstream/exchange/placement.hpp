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

/// What the choice of targets depends on.
struct placement_demand
{
    core::service_id service;
    std::int64_t prompt_tokens{ 0 }; ///< 0 for a plain call
    std::int64_t output_tokens{ 0 };
    core::duration latency_objective{ 0 };
    core::duration gap_objective{ 0 };
    core::duration min_gap_objective{ 0 }; ///< of all routes of the service
    core::duration waited{ 0 };            ///< since the request came
    core::duration time_left{ 0 };
    core::duration patience_left{ 0 };  ///< until the caller leaves
    std::vector<core::target_id> tried; ///< not to be chosen again
    /// Targets that want nothing from the asker now.
    std::vector<core::target_id> paused;
    /// What may be spent of the limits that targets name.
    limit_use limits{ limit_use::coordinated };
    /// Targets with limits are chosen only to hear whether these still hold;
    /// else they are to be asked for.
    bool only_to_probe_limits{ false };
    /// Targets that may have ended by runs of the same content.
    std::size_t crashes{ 0 };
    /// No other wide prompt waits.
    bool is_alone{ false };
    /// Another wide prompt that can still be in time waits.
    bool others_in_time{ false };
    /// Uniform in 0 to 1, to draw among targets that are equally good.
    double draw{ 0 };
};

/// What was known of the targets of a choice when it was made.
struct choice_basis
{
    std::int64_t requests{ 0 };   ///< that the first target answers
    std::int64_t prefilling{ 0 }; ///< parts of prompts that it reads
    double backlog_ms{ 0 };       ///< most that one of the targets has to read
    /// For how long the request has waited for a target's limit.
    std::int64_t limit_wait_ms{ 0 };
};

/// Where a request goes. The first part's target answers; the others read
/// parts of the prompt.
struct placement_choice
{
    std::vector<std::shared_ptr<target_entry>> targets;
    std::vector<work_part> parts; ///< one for each target
    double first_event_ms{ 0 };   ///< predicted, from now
    /// The parts' memory has to be reserved first: no target holds the whole
    /// prompt.
    bool needs_reservation{ false };
    choice_basis basis;
};

/// Why nothing was chosen.
enum class placement_obstacle
{
    no_targets, ///< none that may get work
    full,       ///< none has room now
    too_large,  ///< all memory together does not hold it
    paused,     ///< all that are left want nothing from the asker now
    limited,    ///< all that are left have got as much as they take
};

struct placement_result
{
    std::optional<placement_choice> choice;
    placement_obstacle reason{ placement_obstacle::no_targets };
};

struct prefill_candidate;

/// No choice, for `reason`.
inline auto not_placed( placement_obstacle reason ) -> placement_result
{
    return { std::nullopt, reason };
}

/// Targets that are left for a request, by what speaks against them.
struct target_options
{
    using list = std::vector<std::shared_ptr<target_entry>>;

    list free;          ///< that name no limit
    list limited;       ///< that do, and have room for one request now
    list ejected;       ///< with room too, and believed to fail
    bool more{ false }; ///< others have room later, by their limits

    [[nodiscard]] auto has_limited() const -> bool
    {
        return more || !limited.empty();
    }
};

/// When the targets that are left have room by their limits, and how fast.
struct limited_capacity
{
    core::instant first; ///< for one request
    double per_second{ 0 };

    /// When there is room for one behind `ahead` others.
    [[nodiscard]] auto behind( std::size_t ahead ) const -> core::instant;
};

/// Chooses targets on the board; decides nothing about refusing.
class placement
{
public:
    placement( load_table const& loads, core::data_centre_id own_data_centre );

    /// The targets for `demand` among those that may get work now.
    [[nodiscard]] auto choose( placement_demand const& demand,
                               service_settings const& service,
                               core::instant now ) const -> placement_result;

    /// Room by the limits of the targets that are left for `demand`; nothing
    /// where none of them names one.
    [[nodiscard]] auto
    capacity_by_limits( placement_demand const& demand ) const
        -> std::optional<limited_capacity>;

    /// True where the prompt cannot have its first event in time any more, even
    /// with as many engines as one prompt may take.
    [[nodiscard]] auto is_too_late( placement_demand const& demand,
                                    service_settings const& service ) const
        -> bool;

    /// Shortest time in which the prompt can be read if it gets as many engines
    /// as one prompt may take.
    [[nodiscard]] auto shortest_prefill( placement_demand const& demand,
                                         service_settings const& service ) const
        -> core::duration;

private:
    using candidates = std::vector<std::shared_ptr<target_entry>>;

    [[nodiscard]] auto choose_among( candidates const& targets,
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
    [[nodiscard]] auto choose_in_turn( target_options const& options,
                                       placement_demand const& demand,
                                       service_settings const& service,
                                       core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_from( candidates const& targets,
                                    placement_demand const& demand,
                                    service_settings const& service,
                                    core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto pauses_only( placement_demand const& demand ) const
        -> bool;
    [[nodiscard]] auto choose_apart( candidates const& targets,
                                     placement_demand const& demand,
                                     service_settings const& service,
                                     core::instant now ) const
        -> placement_result;
    [[nodiscard]] auto choose_plain( candidates const& targets,
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

/// True where reading the prompt beside the writers with the shortest pauses
/// would make their answers late, so that it belongs on other engines.
auto is_long_prompt( engine_speed const& speed, placement_demand const& demand )
    -> bool;

/// True where a prompt is read by several engines at once, if they are free.
auto is_split_prompt( engine_speed const& speed,
                      placement_demand const& demand ) -> bool;

}

#endif
