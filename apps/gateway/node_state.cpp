#include "node_state.hpp"

#include "process_memory.hpp"
#include <pollenstream/core/invariant.hpp>

#include <nlohmann/json.hpp>

#include <sstream>

namespace pollenstream::gateway
{

namespace
{

using nlohmann::json;

/// The limit of the target in requests per second, reported or of its warm-up;
/// null if it has none.
auto limit_or_null( exchange::target_entry const& t, core::instant now ) -> json
{
    auto const limit = t.limit.per_second( now );
    return limit ? json( *limit ) : json();
}

/// The rate at which all instances send to the target, as known here. It is
/// complete only on the instance that places the prompts for the target.
auto sent_per_second( exchange::target_entry const& t, core::instant now )
    -> double
{
    return static_cast<double>( t.limit.sent_in_window( now ) ) /
           core::seconds_of( exchange::sent_times::window );
}

auto describe_targets( exchange::exchange_context const& context ) -> json
{
    auto const now = context.scheduler.now();
    auto targets = json::array();
    for ( auto const& [id, t] : context.loads.all() )
        targets.push_back(
            { { "id", id.str() },
              { "service", t->properties.service.str() },
              { "place", t->properties.data_centre.str() },
              { "leaving", t->is_leaving() },
              { "gone", t->gone },
              { "drained", t->data_centre_drained },
              { "may_get_work", t->may_get_work( now ) },
              { "requests", t->load.requests },
              { "writers", t->load.decoding },
              { "memory_tokens", t->load.memory_tokens },
              { "backlog_ms", t->backlog_ms( now ) },
              { "slowdown", t->slowdown },
              { "failure_share", t->health.failure_share },
              { "warming_up", t->limit.is_warming_up( now ) },
              { "limit", limit_or_null( *t, now ) },
              { "sent_per_second", sent_per_second( *t, now ) } } );
    return targets;
}

auto describe_drained( exchange::load_table const& loads ) -> json
{
    auto list = json::array();
    for ( auto const& id : loads.drained_data_centres() )
        list.push_back( id.str() );
    return list;
}

auto describe_peers( peers::peer_group const& group, core::instant now ) -> json
{
    auto list = json::array();
    for ( auto const& [id, p] : group.peers() )
        list.push_back( { { "id", id.str() },
                          { "ip", p.ip },
                          { "alive", p.alive },
                          { "ready", p.ready },
                          { "leaving", p.leaving },
                          { "known_until", p.known_until.count() },
                          { "heard_ms_ago",
                            core::milliseconds_of( now - p.last_heard ) } } );
    return list;
}

auto describe_placement( node_parts const& node ) -> json
{
    auto coordinators = json::array();
    auto is_coordinator = false;
    for ( auto const& id : node.group.coordinators() )
    {
        coordinators.push_back( id.str() );
        is_coordinator = is_coordinator || id == node.context.self;
    }
    return { { "coordinators", std::move( coordinators ) },
             { "here", is_coordinator },
             { "asks_waiting", node.coordinator.waiting() } };
}

/// Bounds the number of targets with a limit in the text.
constexpr auto max_limits_written = 50;

auto write_limits( exchange::load_table const& loads,
                   core::instant now,
                   std::ostream& out ) -> void
{
    auto limited = 0;
    for ( auto const& [id, t] : loads.all() )
    {
        auto const limit = t->limit.reported_per_second();
        if ( !limit || !t->takes_work() || ++limited > max_limits_written )
            continue;
        auto const label = "{target=\"" + id.str() + "\"} ";
        out << "pollenstream_target_limit" << label << *limit << '\n'
            << "pollenstream_target_sent_per_second" << label
            << sent_per_second( *t, now ) << '\n';
    }
    out << "# TYPE pollenstream_targets_limited gauge\n"
        << "pollenstream_targets_limited " << limited << '\n';
}

auto write_quarantines( exchange::crash_history const& crashes,
                        std::ostream& out ) -> void
{
    auto contents = 0;
    auto parts = 0;
    for ( auto const& group : crashes.quarantined() )
        ++( exchange::prompt_parts_of( group.suspects ).empty() ? contents
                                                                : parts );
    out << "# TYPE pollenstream_quarantined_contents gauge\n"
        << "pollenstream_quarantined_contents " << contents << '\n'
        << "# TYPE pollenstream_quarantined_parts gauge\n"
        << "pollenstream_quarantined_parts " << parts << '\n';
}

/// What became of received bytes: handlers that threw, incomplete answers, and
/// how long the last configurations took to arrive.
auto write_received( node_parts const& node, std::ostream& out ) -> void
{
    auto const& delay = node.configuration_delay;
    out << "pollenstream_internal_errors_total{of=\"request\"} "
        << node.context.counters.internal_errors.value() << '\n'
        << "pollenstream_internal_errors_total{of=\"input\"} "
        << node.broken_inputs << '\n'
        << "pollenstream_internal_errors_total{of=\"timer\"} " << node.failures
        << '\n'
        << "# TYPE pollenstream_answers_waiting_for_memory gauge\n"
        << "pollenstream_answers_waiting_for_memory "
        << node.context.answers_without_memory.size() << '\n'
        << "pollenstream_waits_for_memory_total "
        << node.context.answers_without_memory.waits() << '\n'
        << "# TYPE pollenstream_ports_waiting gauge\n"
        << "pollenstream_ports_waiting " << node.ports_waiting.size() << '\n'
        << "# TYPE pollenstream_answer_bytes_kept gauge\n"
        << "pollenstream_answer_bytes_kept "
        << node.context.answer_memory->used_bytes() << '\n'
        << "# TYPE pollenstream_request_bytes_kept gauge\n"
        << "pollenstream_request_bytes_kept " << node.request_bytes << '\n'
        << "# TYPE pollenstream_configuration_delay_seconds gauge\n"
        << "pollenstream_configuration_delay_seconds "
        << core::seconds_of( delay.last() ) << '\n'
        << "# TYPE pollenstream_configuration_delay_max_seconds gauge\n"
        << "pollenstream_configuration_delay_max_seconds "
        << core::seconds_of( delay.longest() ) << '\n';
}

/// What takes memory besides bodies and answers, and all of it.
auto write_memory( node_parts const& node, std::ostream& out ) -> void
{
    out << "# TYPE pollenstream_caller_connections gauge\n"
        << "pollenstream_caller_connections " << node.caller_connections << '\n'
        << "# TYPE pollenstream_unsent_bytes gauge\n"
        << "pollenstream_unsent_bytes " << node.unsent_bytes << '\n'
        << "pollenstream_callers_dropped_total " << node.dropped_callers
        << '\n';
    if ( auto const resident = resident_bytes() )
        out << "# TYPE pollenstream_resident_bytes gauge\n"
            << "pollenstream_resident_bytes " << *resident << '\n';
}

/// How long this process has run, has been ready or not, and took until it
/// served its first request. The last is missing until it has served one.
auto write_start( node_parts const& node, std::ostream& out ) -> void
{
    auto const write = [&out]( char const* name, auto value )
    {
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    };
    auto const now = node.context.scheduler.now();
    write( "pollenstream_uptime_seconds",
           core::seconds_of( node.first_service.age() ) );
    write( "pollenstream_ready", node.ready.is_ready ? 1 : 0 );
    write( "pollenstream_ready_age_seconds",
           core::seconds_of( now - node.ready.since ) );
    if ( auto const served = node.first_service.served_after() )
        write( "pollenstream_first_served_seconds",
               core::seconds_of( *served ) );
}

auto invariant_counts() -> json
{
    auto counts = json::object();
    auto const& monitor = core::invariant_monitor::instance();
    constexpr auto kinds =
        static_cast<int>( core::invariant::number_of_invariants );
    for ( auto i = 0; i < kinds; ++i )
    {
        auto const which = static_cast<core::invariant>( i );
        counts[std::string( core::name_of( which ) )] = {
            { "checks", monitor.checks( which ) },
            { "violations", monitor.violations( which ) } };
    }
    return counts;
}

}

auto describe_node( node_parts const& node ) -> std::string
{
    auto const& context = node.context;
    auto const& group = node.group;
    auto const& registry = node.registry;
    auto const version =
        context.configuration ? context.configuration->version.count() : 0;
    auto const served = node.first_service.served_after();
    auto const state =
        json{ { "instance", context.self.str() },
              { "configuration", version },
              { "stopping", context.stop.has_value() },
              { "ready", node.ready.is_ready },
              { "ports_waiting", node.ports_waiting },
              { "first_served_ms",
                served ? json( core::milliseconds_of( *served ) ) : json() },
              { "open_requests", context.open.size() },
              { "waiting_requests", context.queue.size() },
              { "store",
                { { "serves", registry.store_serves() },
                  { "known_until", registry.known_until().count() },
                  { "reads", group.should_read_store() } } },
              { "placing", describe_placement( node ) },
              { "drained_places", describe_drained( context.loads ) },
              { "targets", describe_targets( context ) },
              { "peers", describe_peers( group, context.scheduler.now() ) },
              { "invariants", invariant_counts() } };
    // Names from outside may hold bytes that are no UTF-8.
    return state.dump( 2, ' ', false, json::error_handler_t::replace ) + "\n";
}

auto node_metrics( node_parts const& node ) -> std::string
{
    auto const& context = node.context;
    auto const& group = node.group;
    auto const& registry = node.registry;
    auto const& coordinator = node.coordinator;
    auto out = std::ostringstream{};
    write_start( node, out );
    write_received( node, out );
    write_memory( node, out );
    auto const gauge = [&out]( char const* name, auto value )
    {
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    };
    auto const version =
        context.configuration ? context.configuration->version.count() : 0;
    gauge( "pollenstream_open_requests", context.open.size() );
    gauge( "pollenstream_waiting_requests", context.queue.size() );
    gauge( "pollenstream_configuration_version", version );
    gauge( "pollenstream_store_known_until", registry.known_until().count() );
    gauge( "pollenstream_instances", group.size() );
    auto const now = context.scheduler.now();
    auto usable = 0;
    auto warming_up = 0;
    for ( auto const& [id, t] : context.loads.all() )
    {
        usable += t->may_get_work( now ) ? 1 : 0;
        warming_up += t->limit.is_warming_up( now ) ? 1 : 0;
    }
    gauge( "pollenstream_targets_usable", usable );
    gauge( "pollenstream_targets_warming_up", warming_up );
    gauge( "pollenstream_engines_slow", context.loads.slowed().size() );
    gauge( "pollenstream_places_drained",
           context.loads.drained_data_centres().size() );
    write_quarantines( context.crashes, out );
    gauge( "pollenstream_asks_waiting", coordinator.waiting() );
    auto const count =
        [&out]( char const* name, std::string const& labels, auto const& value )
    {
        out << name << labels << ' ' << value << '\n';
    };
    auto const& routed = node.router.counters();
    count( "pollenstream_asks_total", "{to=\"others\"}",
           routed.sent_to_others.value() );
    count( "pollenstream_asks_total", "{to=\"self\"}",
           routed.sent_to_self.value() );
    count( "pollenstream_asks_not_answered_total", "",
           routed.sent_to_next.value() );
    count( "pollenstream_own_choices_total", "",
           routed.uncoordinated_choices.value() );
    gauge( "pollenstream_retry_budget_instances", context.retries.instances() );
    count( "pollenstream_retries_total", "", context.counters.retries.value() );
    count( "pollenstream_retries_denied_total", "", context.retries.denied() );
    count( "pollenstream_answers_ended_by_close_total", "",
           context.counters.ended_by_close.value() );
    auto const& decisions = coordinator.counters();
    count( "pollenstream_decisions_total", "{decision=\"granted\"}",
           decisions.granted.value() );
    count( "pollenstream_decisions_total", "{decision=\"refused\"}",
           decisions.refused.value() );
    count( "pollenstream_refused_for_limits_total", "",
           decisions.limited.value() );
    count( "pollenstream_asks_repeated_total", "", decisions.repeated.value() );
    count( "pollenstream_peer_datagrams_total", "",
           group.sent().datagrams.value() );
    count( "pollenstream_peer_bytes_total", "", group.sent().bytes.value() );
    for ( auto const& [name, times] : context.counters.unknown_headers.all() )
        count( "pollenstream_unknown_answer_headers_total",
               "{name=\"" + name + "\"}", times );
    write_limits( context.loads, now, out );
    constexpr auto kinds =
        static_cast<int>( platform::store_call::number_of_kinds );
    for ( auto i = 0; i < kinds; ++i )
    {
        auto const kind = static_cast<platform::store_call>( i );
        count( "pollenstream_store_calls_total",
               std::string( "{kind=\"" ) + name_of( kind ) + "\"}",
               node.store.calls( kind ) );
    }
    return out.str();
}

}
