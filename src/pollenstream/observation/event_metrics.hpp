#ifndef POLLENSTREAM_OBSERVATION_EVENT_METRICS_HPP
#define POLLENSTREAM_OBSERVATION_EVENT_METRICS_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/observation/histogram.hpp>
#include <pollenstream/observation/lost_requests.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace pollenstream::observation
{

/// Counts events and passes them on to the log, so that logs and metrics always
/// agree. Not thread-safe.
class event_metrics : public exchange::event_log
{
public:
    explicit event_metrics( exchange::event_log& next );

    auto record( exchange::event const& what ) -> void override;

    /// All counters and histograms in the Prometheus text format.
    [[nodiscard]] auto text() const -> std::string;

private:
    auto count( exchange::request_refused const& e ) -> void;
    auto count( exchange::request_placed const& e ) -> void;
    auto count( exchange::request_handed_over const& e ) -> void;
    auto count( exchange::lateness_expected const& e ) -> void;
    auto count( exchange::attempt_failed const& e ) -> void;
    auto count( exchange::request_ended const& e ) -> void;
    auto count( exchange::state_change const& e ) -> void;

    using label_pair = std::pair<std::string, std::string>;

    exchange::event_log& next_log_;
    std::map<label_pair, std::uint64_t> ended_;       ///< by route and outcome
    std::map<label_pair, std::uint64_t> refused_;     ///< by route and reason
    std::map<label_pair, std::uint64_t> handed_over_; ///< by route and reason
    std::map<label_pair, std::uint64_t>
        state_changes_; ///< by kind of subject and new state
    std::map<std::string, std::uint64_t> failed_attempts_; ///< by decision
    std::map<std::string, std::uint64_t> late_expected_;   ///< by route
    lost_requests lost_;
    std::map<std::string, histogram> first_event_; ///< by route
    std::map<std::string, histogram> longest_gap_;
    std::map<std::string, histogram> request_time_;
    std::map<std::string, histogram> queue_time_;
    std::map<std::string, histogram>
        placement_time_; ///< request to grant, by route
    std::uint64_t placements_{ 0 };
    std::uint64_t placed_parts_{ 0 };
};

}

#endif
