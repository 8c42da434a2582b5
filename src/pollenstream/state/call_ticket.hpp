#ifndef POLLENSTREAM_STATE_CALL_TICKET_HPP
#define POLLENSTREAM_STATE_CALL_TICKET_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <string>

namespace pollenstream::state
{

/// Names the only incarnation of an instance that may ever run a
/// non-idempotent call, and until when. The caller joins what `GET /v1/entry`
/// gave it and a key of its own, so that a ticket costs no call and no store.
/// Only the named incarnation reads the time, which is its own.
struct call_ticket
{
    core::instance_id instance;
    core::incarnation incarnation;
    core::instant expires; ///< in the named incarnation's monotonic time
    core::idempotency_key key;
};

/// `INSTANCE:INCARNATION:MILLISECONDS:KEY`.
auto to_string( call_ticket const& ticket ) -> std::string;

/// Reads what `to_string` writes.
auto parse_ticket( std::string const& text ) -> core::result<call_ticket>;

}

#endif
