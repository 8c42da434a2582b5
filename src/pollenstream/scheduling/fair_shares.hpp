#ifndef POLLENSTREAM_SCHEDULING_FAIR_SHARES_HPP
#define POLLENSTREAM_SCHEDULING_FAIR_SHARES_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/scheduling/workspace_number.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace pollenstream::scheduling
{

/// What one of several parties asks for, and its weight in the division.
struct weighted_demand
{
    double asked{ 0 };
    double weight{ 1 };
};

/// The level of max-min fairness (water-filling): the largest L for which the
/// sum of the smaller of `asked` and L times `weight` equals `available`.
/// Empty if all demands together fit into `available`.
auto max_min_level( std::vector<weighted_demand> demands, double available )
    -> std::optional<double>;

/// The share of one workspace in the capacity of one service.
struct workspace_share
{
    core::service_id service;
    workspace_number workspace;
    double asked_per_second{ 0 };   ///< tokens
    double granted_per_second{ 0 }; ///< tokens
    /// Tokens a second that each workspace may have; empty without a shortage.
    std::optional<double> level_per_second;
    bool is_over{ false };
};

/// Divides the capacity of services fairly between workspaces, for a load in
/// which one of them asks for many times as much as the others while there is
/// not enough for all. It keeps the tokens asked for and granted as
/// exponentially decaying averages and tells which workspaces have got more
/// than their share.
///
/// Not thread-safe.
class fair_shares
{
public:
    /// Time constant of the averages. A burst of one workspace weighs for a few
    /// seconds, which is about as long as callers wait for a first event.
    static constexpr auto time_constant =
        core::duration( std::chrono::seconds( 2 ) );
    /// Share of the asked tokens that may be missing from the granted ones
    /// without a shortage. Requests wait some tens of ms for the next pass of
    /// an engine also if there is capacity for all, which is this share of the
    /// time constant.
    static constexpr auto shortage_margin = 0.02;
    /// A workspace that asks for more than the level counts as over its share
    /// from this share of the level on. Where the others get all that they ask
    /// for, the level is just what it was granted, and it would be over its
    /// share and within it in turns. A single prompt is this much of an
    /// average.
    static constexpr auto full_share = 0.9;
    /// Interval at which the levels are updated at most, so that their cost
    /// does not grow with the number of requests times that of workspaces.
    static constexpr auto update_interval =
        core::duration( std::chrono::milliseconds( 10 ) );

    /// Workspaces without a weight have 1.
    auto set_weight( workspace_number workspace, double weight ) -> void;
    auto note_asked( core::service_id const& service,
                     workspace_number workspace,
                     double tokens,
                     core::instant now ) -> void;
    auto note_granted( core::service_id const& service,
                       workspace_number workspace,
                       double tokens,
                       core::instant now ) -> void;
    /// Forgets all averages.
    auto clear() -> void;

    /// True while the service has too little capacity and the workspace was
    /// granted more than its share of it.
    [[nodiscard]] auto is_over_share( core::service_id const& service,
                                      workspace_number workspace,
                                      core::instant now ) -> bool;
    /// Number of workspaces that are over their share of a service.
    [[nodiscard]] auto over_share( core::instant now ) -> std::size_t;
    /// The `count` workspaces with the most tokens asked for, in that order.
    [[nodiscard]] auto largest( std::size_t count, core::instant now )
        -> std::vector<workspace_share>;
    /// The workspaces that are over their share and were not at the last call,
    /// and those that no longer are.
    auto take_changes( core::instant now ) -> std::vector<workspace_share>;
    /// True if nothing was asked for lately and no change is left to be taken.
    [[nodiscard]] auto is_idle( core::instant now ) const -> bool;

private:
    /// Averages are stored as of `service_shares::epoch`: a later token counts
    /// more instead of all earlier ones less, so that nothing changes where
    /// nothing is asked for or granted.
    struct averages
    {
        double asked{ 0 };
        double granted{ 0 };
        bool is_over{ false };
        bool was_over{ false }; ///< at the last `take_changes`
    };
    struct service_shares
    {
        core::instant epoch;
        core::instant last_asked;
        core::instant updated_at;
        bool needs_update{ true };
        std::optional<double> level;
        std::map<workspace_number, averages> workspaces;
    };

    [[nodiscard]] auto weight_of( workspace_number workspace ) const -> double;
    auto entry( core::service_id const& service,
                workspace_number workspace,
                core::instant now ) -> std::pair<service_shares*, averages*>;
    auto update( service_shares& shares, core::instant now ) -> void;
    [[nodiscard]] auto share_of( core::service_id const& service,
                                 service_shares const& shares,
                                 workspace_number workspace,
                                 averages const& of,
                                 core::instant now ) const -> workspace_share;

    std::map<core::service_id, service_shares> services_;
    std::map<workspace_number, double> weights_;
};

}

#endif
