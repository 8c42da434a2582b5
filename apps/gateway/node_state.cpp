#include "node_state.hpp"

#include <pollenstream/core/invariant.hpp>

#include <nlohmann/json.hpp>

#include <sstream>

namespace pollenstream::gateway
{

namespace
{

using nlohmann::json;

auto describe_targets( exchange::exchange_context const& context ) -> json
{
    auto const now = context.scheduler.now();
    auto targets = json::array();
    for ( auto const& [id, t] : context.board.all() )
        targets.push_back( { { "id", id.str() },
                             { "service", t->facts.service.str() },
                             { "leaving", t->facts.leaving },
                             { "gone", t->gone },
                             { "may_get_work", t->may_get_work( now ) },
                             { "requests", t->load.requests },
                             { "writers", t->load.writers },
                             { "memory_tokens", t->load.memory_tokens },
                             { "backlog_ms", t->backlog_ms( now ) },
                             { "failure_share", t->health.failure_share } } );
    return targets;
}

auto describe_peers( peers::peer_group const& group, core::instant now ) -> json
{
    auto list = json::array();
    for ( auto const& [id, p] : group.peers() )
        list.push_back(
            { { "id", id.str() },
              { "ip", p.ip },
              { "alive", p.alive },
              { "ready", p.ready },
              { "leaving", p.leaving },
              { "known_until", p.known_until.count() },
              { "heard_ms_ago", core::milliseconds_of( now - p.heard ) } } );
    return list;
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

auto describe_node( exchange::exchange_context const& context,
                    peers::peer_group const& group,
                    registry::registry_watch const& registry ) -> std::string
{
    auto const version =
        context.configuration ? context.configuration->version.count() : 0;
    auto const state =
        json{ { "instance", context.self.str() },
              { "configuration", version },
              { "stopping", context.stop_at.has_value() },
              { "open_requests", context.open.size() },
              { "waiting_requests", context.room.size() },
              { "store",
                { { "serves", registry.store_serves() },
                  { "known_until", registry.known_until().count() },
                  { "reads", group.should_read_store() } } },
              { "targets", describe_targets( context ) },
              { "peers", describe_peers( group, context.scheduler.now() ) },
              { "invariants", invariant_counts() } };
    return state.dump( 2 ) + "\n";
}

auto node_metrics( exchange::exchange_context const& context,
                   peers::peer_group const& group,
                   registry::registry_watch const& registry ) -> std::string
{
    auto out = std::ostringstream{};
    auto const gauge = [&out]( char const* name, auto value )
    {
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    };
    auto const version =
        context.configuration ? context.configuration->version.count() : 0;
    gauge( "pollenstream_open_requests", context.open.size() );
    gauge( "pollenstream_waiting_requests", context.room.size() );
    gauge( "pollenstream_configuration_version", version );
    gauge( "pollenstream_store_known_until", registry.known_until().count() );
    gauge( "pollenstream_instances", group.size() );
    auto usable = 0;
    for ( auto const& [id, t] : context.board.all() )
        usable += t->may_get_work( context.scheduler.now() ) ? 1 : 0;
    gauge( "pollenstream_targets_usable", usable );
    return out.str();
}

}
