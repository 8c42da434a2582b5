#ifndef POLLENSTREAM_EXCHANGE_HANDOVER_HPP
#define POLLENSTREAM_EXCHANGE_HANDOVER_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace pollenstream::exchange
{

/// A request as it is handed over to another instance.
struct outgoing_handover
{
    core::instance_id to;
    /// Has the headers, and the body, which it keeps alive.
    std::shared_ptr<caller_request const> request;
    std::optional<std::int64_t> last_event; ///< resume after this event
    core::duration time_left{ 0 };
    handover_origin origin;
    bool fresh_connection{ false }; ///< do not reuse a connection
};

/// Hands requests over to instances that reach targets. The other instance
/// places the request and relays the answer.
class handover_client
{
public:
    virtual ~handover_client() = default;

    /// An instance that can take a request now and is none of `asked`; nullopt
    /// if there is none.
    [[nodiscard]] virtual auto
    choose( std::set<core::instance_id> const& asked )
        -> std::optional<core::instance_id> = 0;
    /// The attempt ends with an error if the instance falls silent.
    virtual auto send( outgoing_handover handover,
                       std::shared_ptr<attempt_listener> listener )
        -> std::shared_ptr<open_attempt> = 0;
};

}

#endif
