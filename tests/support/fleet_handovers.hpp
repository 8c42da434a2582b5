#ifndef TESTS_SUPPORT_FLEET_HANDOVERS_HPP
#define TESTS_SUPPORT_FLEET_HANDOVERS_HPP

#include "support/held_scheduler.hpp"
#include <pollenstream/handover/handover_transport.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

namespace exchange = pollenstream::exchange;
namespace handover = pollenstream::handover;

/// Starts a request that was handed over, at the instance with this address.
/// Returns what ends it when the other instance cancels it; null if no instance
/// runs there.
using take_over_request = std::function<std::function<void()>(
    handover::peer_access const& to,
    exchange::caller_request request,
    std::shared_ptr<exchange::answer_channel> answer )>;

/// Simulated connections between instances for requests that are handed over,
/// of one fleet.
class fleet_handovers
{
public:
    fleet_handovers( held_scheduler& scheduler, take_over_request take_over );

    /// `from_ip`: the instance that hands over.
    auto send( std::string const& from_ip,
               handover::peer_access const& to,
               exchange::outgoing_handover handover,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt>;
    /// Closes the connections of an instance, as the end of its process does.
    auto close_all( std::string const& ip ) -> void;

    int sent{ 0 };

private:
    class connection;

    held_scheduler& scheduler_;
    take_over_request take_over_;
    std::vector<std::weak_ptr<connection>> open_;
};

}

#endif
