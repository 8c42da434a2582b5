#ifndef POLLENSTREAM_EXCHANGE_PLACEMENT_COORDINATOR_HPP
#define POLLENSTREAM_EXCHANGE_PLACEMENT_COORDINATOR_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/exchange/crash_history.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/placement_client.hpp>
#include <pollenstream/exchange/routes.hpp>
#include <pollenstream/exchange/wait_queue.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace pollenstream::exchange
{

/// Counts of the placement requests at this coordinator.
struct coordinator_counters
{
    core::counter requests;
    core::counter granted;
    core::counter refused;
    core::counter repeated; ///< received again; the answer may be lost
    core::counter limited;  ///< refused because of targets' limits
};

/// Chooses targets for the prompts of all instances that send it placement
/// requests. It decides one at a time on one load table, so that no capacity is
/// granted twice, and keeps all waiting requests in one order.
///
/// Every instance has a coordinator, and the requesters decide which one they
/// use. Two that are in use at the same time learn of each other's grants from
/// the requesters; until then both may choose the same engine.
class placement_coordinator
{
public:
    placement_coordinator( core::instance_id self,
                           ports::scheduler& scheduler,
                           load_table& loads,
                           crash_history& crashes,
                           placement& chooser,
                           wait_queue& queue,
                           event_log& log );
    ~placement_coordinator();
    placement_coordinator( placement_coordinator const& ) = delete;
    auto operator=( placement_coordinator const& )
        -> placement_coordinator& = delete;

    auto set_configuration( configuration_ptr configuration ) -> void;
    /// False where the configuration names no such service, or is not known.
    [[nodiscard]] auto knows( core::service_id const& service ) const -> bool;

    /// Decides now, or when a target has capacity. A request that is repeated
    /// gets the same grant again, or keeps its place in the queue.
    auto request( placement_request new_request,
                  std::shared_ptr<placement_listener> listener ) -> void;
    /// The request is withdrawn, or the granted work has ended.
    auto release( core::instance_id const& requester, std::uint64_t serial )
        -> void;
    /// Releases everything of `requester` that is not in `open`.
    auto keep_only( core::instance_id const& requester,
                    std::set<std::uint64_t> const& open ) -> void;
    /// Releases everything of `requester`, which has ended.
    auto forget( core::instance_id const& requester ) -> void;

    [[nodiscard]] auto waiting() const -> std::size_t
    {
        return waiting_.size();
    }
    [[nodiscard]] auto counters() const -> coordinator_counters const&
    {
        return counters_;
    }

private:
    class queued_request;
    friend class queued_request;
    using request_key = std::pair<core::instance_id, std::uint64_t>;

    /// A grant whose work has not ended yet.
    struct open_grant
    {
        placement_choice choice;
        content_id content;
        bool is_suspect{ false };
        bool is_trial{ false };
        std::shared_ptr<report_claim> memory; ///< of the request
    };

    /// A trial of a quarantine that this coordinator has granted.
    struct open_trial
    {
        suspect_list suspects;
        core::instant began;
        std::unique_ptr<ports::scheduled_call> end_call; ///< once it has ended
    };

    /// The latest retry time that was given to a refused caller of a service;
    /// each caller gets its own, one after the other.
    using retry_times = std::map<core::service_id, core::instant>;

    [[nodiscard]] auto is_running( content_id content ) const -> bool;
    /// Number of other requests that wait for the same service.
    [[nodiscard]] auto count_other_waiting( queued_request const& item ) const
        -> std::size_t;
    /// Those of them that are tried before `item`.
    [[nodiscard]] auto count_waiting_ahead( queued_request const& item ) const
        -> std::size_t;
    [[nodiscard]] auto next_retry_delay( queued_request const& item,
                                         limited_capacity const& capacity )
        -> core::duration;
    auto grant( queued_request const& item, placement_choice choice ) -> void;
    auto begin_trial( request_key const& key, suspect_list const& suspects )
        -> void;
    auto end_trial( request_key const& key ) -> void;
    auto add_work( queued_request const& item, placement_choice const& choice )
        -> void;

    core::instance_id self_;
    ports::scheduler& scheduler_;
    load_table& load_table_;
    crash_history& crashes_;
    placement& chooser_;
    wait_queue& wait_queue_;
    event_log& log_;
    configuration_ptr configuration_;
    std::map<request_key, std::shared_ptr<queued_request>> waiting_;
    /// Kept until release, also to answer repeated requests.
    std::map<request_key, open_grant> granted_;
    std::map<request_key, open_trial> trials_;
    retry_times retry_times_;
    coordinator_counters counters_;
    std::minstd_rand random_;
};

}

#endif
