#ifndef POLLENSTREAM_ADAPTERS_HTTP_STATE_DUMP_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_STATE_DUMP_HPP

#include <pollenstream/adapters/http/listening_loop.hpp>
#include <pollenstream/membership/heartbeater.hpp>
#include <pollenstream/membership/member_table.hpp>
#include <pollenstream/membership/target_watch.hpp>
#include <pollenstream/sessions/context.hpp>
#include <pollenstream/sessions/gateway.hpp>
#include <pollenstream/state/call_ledger.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <cpprest/json.h>

namespace pollenstream::adapters::http
{

/// The components whose state is dumped.
struct dump_sources
{
    sessions::context& context;
    sessions::gateway& gateway;
    state::configuration_holder& holder;
    state::call_ledger& ledger;
    membership::member_table& members;
    membership::heartbeater& heartbeats;
    membership::target_watch& targets;
    listening_loop& ports;
};

/// Dumps the whole state of the process.
auto dump_all( dump_sources const& from ) -> web::json::value;
auto dump_members( dump_sources const& from ) -> web::json::value;
auto dump_targets( dump_sources const& from ) -> web::json::value;
auto dump_metrics( dump_sources const& from ) -> web::json::value;
auto dump_invariants() -> web::json::value;

}

#endif
