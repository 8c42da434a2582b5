#ifndef POLLENSTREAM_STATE_CALL_TICKET_HPP
#define POLLENSTREAM_STATE_CALL_TICKET_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <string>

namespace pollenstream::state
{

/// Permits one incarnation of an instance, and no other, to run a
/// non-idempotent call until the ticket expires. The caller builds it from the
/// `ticket_prefix` of `GET /v1/entry` and a key that it chooses, so issuing a
/// ticket needs no call and no stored state.
struct call_ticket
{
    core::instance_id instance;
    core::incarnation incarnation;
    core::instant expires; ///< in that incarnation's monotonic clock
    core::idempotency_key key;
};

/// Returns `INSTANCE:INCARNATION:MILLISECONDS:KEY`.
auto to_string( call_ticket const& ticket ) -> std::string;

/// Parses the format of `to_string`. Fails if a field is missing or invalid.
auto parse_ticket( std::string const& text ) -> core::result<call_ticket>;

}

#endif
