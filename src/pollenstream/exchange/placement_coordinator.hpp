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

/// Counts over all asks that were decided here.
struct coordinator_counters
{
    core::counter asked;
    core::counter granted;
    core::counter refused;
    core::counter asked_again; ///< a repeated ask; its answer may be lost
    core::counter limited;     ///< refused for targets' limits
};

/// Chooses targets for the prompts of all instances that ask here. One
/// decision follows the other on one board, so that nothing is given out twice,
/// and all that wait wait in one order.
///
/// Every instance has one. Which of them is asked is decided elsewhere; two
/// that are asked at the same time hear of each other's grants from the askers
/// and may meet at an engine until then.
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

    /// Decides now, or when there is room. The same ask again gets the answer
    /// that it had.
    auto request( placement_request what,
                  std::shared_ptr<placement_listener> listener ) -> void;
    /// The ask is withdrawn, or the work of its grant has ended.
    auto release( core::instance_id const& requester, std::uint64_t serial )
        -> void;
    /// Releases all of `requester` but what is in `open`.
    auto keep_only( core::instance_id const& requester,
                    std::set<std::uint64_t> const& open ) -> void;
    /// The asker has ended.
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
    class queued_prompt;
    friend class queued_prompt;
    using key = std::pair<core::instance_id, std::uint64_t>;

    /// A grant whose work has not ended.
    struct open_grant
    {
        placement_choice choice;
        content_id content;
        bool is_suspect{ false };
    };

    /// When a service's refused callers are to come back, as far as it has
    /// been said: each has a moment of its own.
    using return_times = std::map<core::service_id, core::instant>;

    [[nodiscard]] auto runs_now( content_id content ) const -> bool;
    /// Asks for the same service beside `who`, and those of them before it.
    [[nodiscard]] auto others_waiting( queued_prompt const& who ) const
        -> std::size_t;
    [[nodiscard]] auto waiting_before( queued_prompt const& who ) const
        -> std::size_t;
    [[nodiscard]] auto time_to_return( queued_prompt const& who,
                                       limited_capacity const& capacity )
        -> core::duration;
    auto grant( queued_prompt const& who, placement_choice choice ) -> void;
    auto add_work( queued_prompt const& who, placement_choice const& choice )
        -> void;

    core::instance_id self_;
    ports::scheduler& scheduler_;
    load_table& load_table_;
    crash_history& crashes_;
    placement& chooser_;
    wait_queue& wait_queue_;
    event_log& log_;
    configuration_ptr configuration_;
    std::map<key, std::shared_ptr<queued_prompt>> waiting_;
    /// For askers that have not heard their answer.
    std::map<key, open_grant> granted_;
    return_times returns_;
    coordinator_counters counters_;
    std::minstd_rand random_;
};

}

#endif
