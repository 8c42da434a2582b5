#ifndef POLLENSTREAM_MEMBERSHIP_TARGET_WATCH_HPP
#define POLLENSTREAM_MEMBERSHIP_TARGET_WATCH_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/ports/clock.hpp>
#include <pollenstream/ports/engine.hpp>
#include <pollenstream/ports/instance_list.hpp>
#include <pollenstream/routing/target_policy.hpp>
#include <pollenstream/routing/target_table.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <atomic>
#include <memory>

namespace pollenstream::membership
{

/// Keeps the target table in step with the platform's list, and polls the load
/// of targets whose answers have not carried a recent load report.
class target_watch : public std::enable_shared_from_this<target_watch>
{
public:
    target_watch( core::instance_id self,
                  core::data_centre_id data_centre,
                  state::configuration_holder& holder,
                  routing::target_table& table,
                  routing::target_policy& policy,
                  ports::engine_client& engines,
                  ports::clock const& clock );

    /// Replaces the targets by this instance's subset of the list. A target
    /// that drops out of it is gone; one that is listed as leaving gets no new
    /// work.
    auto apply_listing( ports::instance_listing const& listing ) -> void;

    /// Polls the load of at most one target: a suspect before others, and among
    /// equals the one whose last report or poll is oldest. The rate of calls
    /// bounds the cost of polls regardless of the number of targets; most load
    /// reports arrive with answers.
    auto poll() -> void;

    core::counter polls;
    core::counter phase_changes;
    /// Fetches of the list that failed, and entries that could not be used.
    core::counter failed_listings;
    core::counter unusable_entries;

private:
    /// Makes a suspect target of a plain service alive again after a timeout.
    auto reinstate_after_timeout( routing::target& t, core::instant now )
        -> void;
    auto needs_poll( routing::target const& t, core::instant now ) const
        -> bool;
    auto poll_target( std::shared_ptr<routing::target> const& polled ) -> void;
    auto on_load( std::shared_ptr<routing::target> const& polled,
                  core::result<ports::load_report> const& report ) -> void;
    auto is_model_target( routing::target const& t ) const -> bool;

    core::instance_id self_;
    core::data_centre_id data_centre_;
    state::configuration_holder& holder_;
    routing::target_table& table_;
    routing::target_policy& policy_;
    ports::engine_client& engines_;
    ports::clock const& clock_;
};

}

#endif
