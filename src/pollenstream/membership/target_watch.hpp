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

/// Keeps the target table in step with the platform's list and asks targets
/// for their load where answers have not brought it.
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

    /// Takes over the list. A target that the list no longer names is gone;
    /// one that it calls leaving gets no new work from here on.
    auto take_listing( ports::instance_listing const& listing ) -> void;

    /// Asks one target for its load: a suspect before others, then the one
    /// with the oldest report. How often this is called bounds what polls
    /// cost, however many targets there are; most reports ride on answers.
    auto poll() -> void;

    core::counter polls;
    core::counter phase_changes;

private:
    auto forgive_later( routing::target& t, core::instant now ) -> void;
    auto is_due( routing::target const& t, core::instant now ) const -> bool;
    auto poll_one( std::shared_ptr<routing::target> const& which ) -> void;
    auto on_load( std::shared_ptr<routing::target> const& which,
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
