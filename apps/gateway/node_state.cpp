#include "node_state.hpp"

#include <pollenstream/core/invariant.hpp>

#include <nlohmann/json.hpp>

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

auto sent_per_second( exchange::target_entry const& t, core::instant now )
    -> double
{
    return static_cast<double>( t.limit.sent_in_window( now ) ) /
           core::seconds_of( exchange::sent_times::window );
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
              { "cut_from_targets", context.path.is_cut() },
              { "handovers_open", node.handovers_open },
              { "taken_over_open", node.taken_over_open },
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

}
