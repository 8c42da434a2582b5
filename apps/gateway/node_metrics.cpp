#include "node_metrics.hpp"

#include "process_memory.hpp"

#include <sstream>
#include <string_view>

namespace pollenstream::gateway
{

namespace
{

/// Writes a gauge with its type.
template <class Value>
auto write_gauge( std::ostream& out, std::string_view name, Value const& value )
    -> void
{
    out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
}

/// Writes one counter of a family; `labels` may be empty.
template <class Value>
auto write_count( std::ostream& out,
                  std::string_view name,
                  std::string_view labels,
                  Value const& value ) -> void
{
    out << name << labels << ' ' << value << '\n';
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

/// Writes exceptions of handlers, the memory for bodies and answers, and
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
        << "pollenstream_request_bytes_kept "
        << node.connections.received_bytes() << '\n'
        << "# TYPE pollenstream_configuration_delay_seconds gauge\n"
        << "pollenstream_configuration_delay_seconds "
        << core::seconds_of( delay.last() ) << '\n'
        << "# TYPE pollenstream_configuration_delay_max_seconds gauge\n"
        << "pollenstream_configuration_delay_max_seconds "
        << core::seconds_of( delay.longest() ) << '\n';
}

/// Writes the connections of all ports and the memory of the process.
auto write_memory( node_parts const& node, std::ostream& out ) -> void
{
    out << "# TYPE pollenstream_caller_connections gauge\n"
        << "pollenstream_caller_connections " << node.caller_connections << '\n'
        << "# TYPE pollenstream_connections gauge\n"
        << "pollenstream_connections " << node.connections.connections() << '\n'
        << "# TYPE pollenstream_connections_max gauge\n"
        << "pollenstream_connections_max " << node.connections.max_connections()
        << '\n'
        << "pollenstream_connections_gave_way_total "
        << node.connections.gave_way() << '\n'
        << "pollenstream_connections_refused_total "
        << node.connections.refused() << '\n'
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

auto write_requests( node_parts const& node, std::ostream& out ) -> void
{
    auto const& context = node.context;
    auto const version =
        context.configuration ? context.configuration->version.count() : 0;
    write_gauge( out, "pollenstream_open_requests", context.open.size() );
    write_gauge( out, "pollenstream_waiting_requests", context.queue.size() );
    write_gauge( out, "pollenstream_configuration_version", version );
    write_gauge( out, "pollenstream_store_known_until",
                 node.registry.known_until().count() );
    write_gauge( out, "pollenstream_instances", node.group.size() );
}

auto write_targets( exchange::load_table const& loads,
                    core::instant now,
                    std::ostream& out ) -> void
{
    auto usable = 0;
    auto warming_up = 0;
    for ( auto const& [id, t] : loads.all() )
    {
        usable += t->may_get_work( now ) ? 1 : 0;
        warming_up += t->limit.is_warming_up( now ) ? 1 : 0;
    }
    write_gauge( out, "pollenstream_targets_usable", usable );
    write_gauge( out, "pollenstream_targets_warming_up", warming_up );
    write_gauge( out, "pollenstream_engines_slow", loads.slowed().size() );
    write_gauge( out, "pollenstream_places_drained",
                 loads.drained_data_centres().size() );
}

/// Writes the placement requests that this instance sends and answers.
auto write_placing( node_parts const& node, std::ostream& out ) -> void
{
    auto const& routed = node.router.counters();
    auto const& decisions = node.coordinator.counters();
    write_gauge( out, "pollenstream_asks_waiting", node.coordinator.waiting() );
    write_count( out, "pollenstream_asks_total", "{to=\"others\"}",
                 routed.sent_to_others.value() );
    write_count( out, "pollenstream_asks_total", "{to=\"self\"}",
                 routed.sent_to_self.value() );
    write_count( out, "pollenstream_asks_not_answered_total", "",
                 routed.sent_to_next.value() );
    write_count( out, "pollenstream_own_choices_total", "",
                 routed.uncoordinated_choices.value() );
    write_count( out, "pollenstream_decisions_total", "{decision=\"granted\"}",
                 decisions.granted.value() );
    write_count( out, "pollenstream_decisions_total", "{decision=\"refused\"}",
                 decisions.refused.value() );
    write_count( out, "pollenstream_refused_for_limits_total", "",
                 decisions.limited.value() );
    write_count( out, "pollenstream_asks_repeated_total", "",
                 decisions.repeated.value() );
}

auto write_retries( exchange::exchange_context const& context,
                    std::ostream& out ) -> void
{
    write_gauge( out, "pollenstream_retry_budget_instances",
                 context.retries.instances() );
    write_count( out, "pollenstream_retries_total", "",
                 context.counters.retries.value() );
    write_count( out, "pollenstream_retries_denied_total", "",
                 context.retries.denied() );
    write_count( out, "pollenstream_answers_ended_by_close_total", "",
                 context.counters.ended_by_close.value() );
    for ( auto const& [name, times] : context.counters.unknown_headers.all() )
        write_count( out, "pollenstream_unknown_answer_headers_total",
                     "{name=\"" + name + "\"}", times );
}

/// Writes the requests that were handed over, and what is known of the path.
auto write_handovers( node_parts const& node, std::ostream& out ) -> void
{
    auto const& counters = node.context.counters;
    constexpr auto name = "pollenstream_handovers_total";
    write_count( out, name, "{what=\"sent\"}", counters.handed_over.value() );
    write_count( out, name, "{what=\"refused\"}",
                 counters.handover_refused.value() );
    write_count( out, name, "{what=\"lost\"}", counters.handover_lost.value() );
    write_count( out, name, "{what=\"taken\"}", counters.taken_over.value() );
    write_gauge( out, "pollenstream_handovers_open", node.handovers_open );
    write_gauge( out, "pollenstream_taken_over_open", node.taken_over_open );
    write_count( out, "pollenstream_path_probes_total", "",
                 counters.path_probes.value() );
    write_gauge( out, "pollenstream_cut_from_targets",
                 node.context.path.is_cut() ? 1 : 0 );
}

/// Writes the answers that did not count, by what made them broken.
auto write_broken_answers( adapters::asio::broken_answers const& broken,
                           std::ostream& out ) -> void
{
    using adapters::asio::answer_defect;
    constexpr auto defects =
        static_cast<int>( answer_defect::number_of_defects );
    for ( auto i = 0; i < defects; ++i )
    {
        auto const why = static_cast<answer_defect>( i );
        if ( auto const times = broken.count( why ); times > 0 )
            write_count( out, "pollenstream_broken_answers_total",
                         std::string( "{why=\"" ) + name_of( why ) + "\"}",
                         times );
    }
}

/// Writes the datagrams to other instances and the calls to the store.
auto write_calls( node_parts const& node, std::ostream& out ) -> void
{
    write_count( out, "pollenstream_peer_datagrams_total", "",
                 node.group.sent().datagrams.value() );
    write_count( out, "pollenstream_peer_bytes_total", "",
                 node.group.sent().bytes.value() );
    write_count( out, "pollenstream_peers_refused_total", "",
                 node.group.refused_peers() );
    write_count( out, "pollenstream_peers_replaced_total", "",
                 node.group.replaced_peers() );
    write_gauge( out, "pollenstream_peer_report_bytes",
                 node.group.reports().used_bytes() );
    write_count( out, "pollenstream_records_left_out_total", "",
                 node.registry.records_left_out() );
    write_count( out, "pollenstream_peer_reports_refused_total", "",
                 node.group.reports().refused() );
    write_count( out, "pollenstream_peer_reports_forgotten_total", "",
                 node.group.reports().gave_way() );
    constexpr auto kinds =
        static_cast<int>( platform::store_call::number_of_kinds );
    for ( auto i = 0; i < kinds; ++i )
    {
        auto const kind = static_cast<platform::store_call>( i );
        write_count( out, "pollenstream_store_calls_total",
                     std::string( "{kind=\"" ) + name_of( kind ) + "\"}",
                     node.store.calls( kind ) );
    }
}

}

auto node_metrics( node_parts const& node ) -> std::string
{
    auto const now = node.context.scheduler.now();
    auto out = std::ostringstream{};
    write_start( node, out );
    write_received( node, out );
    write_memory( node, out );
    write_requests( node, out );
    write_targets( node.context.loads, now, out );
    write_quarantines( node.context.crashes, out );
    write_placing( node, out );
    write_handovers( node, out );
    write_retries( node.context, out );
    write_broken_answers( node.broken_answers, out );
    write_limits( node.context.loads, now, out );
    write_calls( node, out );
    return out.str();
}

}
