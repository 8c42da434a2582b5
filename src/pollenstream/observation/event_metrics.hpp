#ifndef POLLENSTREAM_OBSERVATION_EVENT_METRICS_HPP
#define POLLENSTREAM_OBSERVATION_EVENT_METRICS_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/observation/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace pollenstream::observation
{

/// Counts the events on their way to the log, so that logs and metrics never
/// tell different stories. Used by one thread.
class event_metrics : public exchange::event_log
{
public:
    explicit event_metrics( exchange::event_log& next );

    auto record( exchange::event const& what ) -> void override;

    /// All counts and histograms as text for monitoring systems.
    [[nodiscard]] auto text() const -> std::string;

private:
    auto count( exchange::request_refused const& e ) -> void;
    auto count( exchange::request_placed const& e ) -> void;
    auto count( exchange::attempt_failed const& e ) -> void;
    auto count( exchange::request_ended const& e ) -> void;
    auto count( exchange::state_change const& e ) -> void;

    using pair = std::pair<std::string, std::string>;

    exchange::event_log& next_;
    std::map<pair, std::uint64_t> ended_;   ///< by route and outcome
    std::map<pair, std::uint64_t> refused_; ///< by route and reason
    std::map<pair, std::uint64_t> beliefs_; ///< by what and state
    std::map<std::string, std::uint64_t> failed_attempts_;
    std::map<std::string, histogram> first_event_; ///< by route
    std::map<std::string, histogram> longest_gap_;
    std::map<std::string, histogram> total_;
    std::map<std::string, histogram> queued_;
    std::map<std::string, histogram> asked_; ///< ask to grant, by route
    std::uint64_t placed_{ 0 };
    std::uint64_t parts_{ 0 };
};

}

#endif
