#ifndef POLLENSTREAM_OBSERVATION_BOUNDED_LOG_HPP
#define POLLENSTREAM_OBSERVATION_BOUNDED_LOG_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pollenstream::observation
{

/// Limits how many requests are logged per second. Requests within the limit
/// are logged immediately. The events of any further request are held back
/// until it ends: a served request is left out and counted, any other request
/// is logged completely. State changes are always logged.
///
/// Expected latenesses are logged immediately, up to the same number per
/// second, together with all other events of their requests. Beyond that, one
/// whose request is held back is logged or left out with it; any other one is
/// left out and counted.
class bounded_log : public exchange::event_log
{
public:
    bounded_log( exchange::event_log& next,
                 ports::scheduler& scheduler,
                 std::size_t requests_per_second );

    auto record( exchange::event const& what ) -> void override;

    /// Number of requests that were left out of the log.
    [[nodiscard]] auto left_out() const -> std::uint64_t
    {
        return left_out_;
    }

private:
    auto admit( exchange::attempt_id const& id ) -> bool;
    auto hold( exchange::attempt_id const& id, exchange::event const& what )
        -> void;
    auto expect_late( exchange::lateness_expected const& e,
                      exchange::event const& what ) -> void;
    auto end( exchange::request_ended const& e, exchange::event const& what )
        -> void;
    auto log_held( exchange::attempt_id const& id ) -> void;
    auto report_left_out() -> void;
    auto advance_window() -> void;

    exchange::event_log& next_log_;
    ports::scheduler& scheduler_;
    std::size_t max_requests_per_second_;
    core::instant window_start_;
    std::size_t started_in_window_{ 0 };
    std::uint64_t left_out_{ 0 };
    std::uint64_t reported_left_out_{ 0 };
    std::unordered_map<std::string, std::vector<exchange::event>> held_events_;
    std::size_t late_in_window_{ 0 };
    std::uint64_t late_left_out_{ 0 }; ///< in this window
    /// Open requests whose expected lateness was logged.
    std::unordered_set<std::string> logged_late_;
};

}

#endif
