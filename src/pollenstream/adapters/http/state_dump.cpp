#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/adapters/http/state_dump.hpp>
#include <pollenstream/core/invariant.hpp>

#include <string>

namespace pollenstream::adapters::http
{

namespace
{

using web::json::value;

auto count( core::counter const& c ) -> value
{
    return value::number( c.value() );
}

auto summary_json( metrics::distribution const& d ) -> value
{
    auto const s = d.summary();
    auto json = value::object();
    json["count"] = value::number( s.count );
    json["mean"] = value::number( s.mean );
    json["p50"] = value::number( s.p50 );
    json["p95"] = value::number( s.p95 );
    json["p99"] = value::number( s.p99 );
    json["max"] = value::number( s.max );
    return json;
}

auto connections_json( connection_usage const& usage ) -> value
{
    auto json = value::object();
    json["open"] = value::number( std::uint64_t{ usage.connections } );
    json["most"] = value::number( std::uint64_t{ usage.max_connections } );
    json["received_bytes"] =
        value::number( std::uint64_t{ usage.received_bytes } );
    json["unsent_bytes"] = value::number( std::uint64_t{ usage.unsent_bytes } );
    json["gave_way"] = value::number( usage.gave_way );
    json["refused"] = value::number( usage.refused );
    json["dropped"] = value::number( usage.dropped );
    return json;
}

auto member_json( membership::member const& m ) -> value
{
    auto json = value::object();
    json["id"] = value::string( m.id.str() );
    json["place"] = value::string( m.data_centre.str() );
    json["callers"] = value::string( core::to_string( m.callers ) );
    json["peers"] = value::string( core::to_string( m.peers ) );
    json["incarnation"] = value::number( m.incarnation.count() );
    json["version"] = value::number( m.version );
    json["phase"] = value::string( std::string( name_of( m.phase ) ) );
    json["open_requests"] = value::number( m.open_requests );
    return json;
}

auto target_json( routing::target const& t, core::instant now ) -> value
{
    auto json = value::object();
    auto const& identity = t.identity();
    json["id"] = value::string( identity.id.str() );
    json["service"] = value::string( identity.service.str() );
    json["place"] = value::string( identity.data_centre.str() );
    json["address"] = value::string( core::to_string( identity.address ) );
    json["phase"] = value::string( std::string( name_of( t.phase() ) ) );
    json["open_requests"] = value::number( t.open_requests() );
    json["backlog_tokens"] =
        value::number( t.backlog_before( profiles::priority::bulk, now ) );
    json["free_memory_tokens"] = value::number( t.free_memory() );
    json["total_memory_tokens"] = value::number( t.total_memory() );
    json["prefill_rate"] = value::number( t.prefill_rate() );
    json["report_age_ms"] =
        value::number( core::milliseconds_of( t.report_age( now ) ) );
    return json;
}

/// By defect; those that have not occurred are left out.
auto broken_answers_json() -> value
{
    constexpr auto defects =
        static_cast<int>( asio::answer_defect::number_of_defects );
    auto json = value::object();
    for ( auto i = 0; i < defects; ++i )
    {
        auto const why = static_cast<asio::answer_defect>( i );
        if ( auto const times = count_of_broken_answers( why ); times > 0 )
            json[name_of( why )] = value::number( times );
    }
    return json;
}

}

auto dump_members( dump_sources const& from ) -> value
{
    auto const all = from.members.all();
    auto json = value::array( all.size() );
    for ( auto i = std::size_t{ 0 }; i < all.size(); ++i )
        json[i] = member_json( all[i] );
    return json;
}

auto dump_targets( dump_sources const& from ) -> value
{
    auto const now = from.context.clock.now();
    auto const all = from.context.targets.all();
    auto json = value::array( all.size() );
    for ( auto i = std::size_t{ 0 }; i < all.size(); ++i )
        json[i] = target_json( *all[i], now );
    return json;
}

auto dump_metrics( dump_sources const& from ) -> value
{
    auto const& m = from.context.metrics;
    auto json = value::object();
    auto first_token = value::object();
    for ( auto i = std::size_t{ 0 }; i < metrics::length_class_count; ++i )
    {
        auto const which = static_cast<metrics::length_class>( i );
        first_token[std::string( metrics::name_of( which ) )] =
            summary_json( m.first_token( which ) );
    }
    json["first_token_seconds"] = first_token;
    json["queue_seconds"] = summary_json( m.queue_time );
    json["token_gap_seconds"] = summary_json( m.token_gap );
    json["measured_over_predicted"] = summary_json( m.prediction );
    json["short_slowdown"] = summary_json( m.short_slowdown );
    json["started"] = count( m.started );
    json["completed"] = count( m.completed );
    json["failed"] = count( m.failed );
    json["retries"] = count( m.retries );
    json["moves"] = count( m.moves );
    json["parks"] = count( m.memory_waits );
    json["resumes"] = count( m.resumes );
    json["cancels"] = count( m.cancels );
    json["callers_gone"] = count( m.callers_gone );
    json["broken_answers"] = broken_answers_json();
    json["stray_events"] = count( m.stray_events );
    json["reservations_made"] = count( m.reservations_made );
    json["reservations_released"] = count( m.reservations_released );
    auto refusals = value::object();
    for ( auto const& [reason, number] : m.refusals.values() )
        refusals[reason] = value::number( number );
    json["refusals"] = refusals;
    return json;
}

auto dump_invariants() -> value
{
    auto const& monitor = core::invariant_monitor::instance();
    auto const kinds =
        static_cast<int>( core::invariant::number_of_invariants );
    auto json = value::object();
    for ( auto i = 0; i < kinds; ++i )
    {
        auto const which = static_cast<core::invariant>( i );
        auto one = value::object();
        one["checks"] = value::number( monitor.checks( which ) );
        one["violations"] = value::number( monitor.violations( which ) );
        json[std::string( core::name_of( which ) )] = one;
    }
    return json;
}

auto dump_all( dump_sources const& from ) -> value
{
    auto json = value::object();
    json["instance"] = member_json( from.members.self() );
    json["open_sessions"] = value::number( from.context.open_sessions.load() );
    json["tickets_held"] =
        value::number( static_cast<std::uint64_t>( from.ledger.size() ) );
    json["workspaces_held"] = value::number(
        static_cast<std::uint64_t>( from.gateway.limits().size() ) );
    json["configuration_revision"] =
        value::number( from.holder.revision().count() );
    json["configuration_fingerprint"] =
        value::string( from.holder.fingerprint() );
    json["instances"] = dump_members( from );
    json["instances_left_out"] = value::number( from.members.left_out() );
    json["targets"] = dump_targets( from );
    json["metrics"] = dump_metrics( from );
    json["invariants"] = dump_invariants();
    auto control = value::object();
    control["exchanges"] = count( from.heartbeats.exchanges );
    control["silences"] = count( from.heartbeats.silences );
    control["configurations_from_peers"] =
        count( from.heartbeats.configurations_from_peers );
    control["target_polls"] = count( from.targets.polls );
    control["target_phase_changes"] = count( from.targets.phase_changes );
    control["failed_listings"] = count( from.targets.failed_listings );
    control["unusable_entries"] = count( from.targets.unusable_entries );
    json["control"] = control;
    json["connections"] = connections_json( from.ports.usage() );
    return json;
}

}
