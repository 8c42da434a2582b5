#include "capacity_rows.hpp"

#include "process_usage.hpp"
#include <pollenstream/adapters/http/engine_codec.hpp>
#include <pollenstream/adapters/thrift/peer_codec.hpp>
#include <pollenstream/admission/workspace_limits.hpp>
#include <pollenstream/core/hash.hpp>
#include <pollenstream/membership/rendezvous.hpp>
#include <pollenstream/membership/target_selection.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/routing/target_table.hpp>
#include <pollenstream/state/call_ledger.hpp>

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <gossip_fleet.hpp>
#include <memory>

namespace bench
{

namespace
{

using namespace std::chrono_literals;
namespace admission = pollenstream::admission;
namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
namespace membership = pollenstream::membership;
namespace ports = pollenstream::ports;
namespace profiles = pollenstream::profiles;
namespace routing = pollenstream::routing;
namespace state = pollenstream::state;
namespace thrift_adapter = pollenstream::adapters::thrift;

/// Thrift's bytes of a message, with the frame's four.
template <class Message>
auto wire_bytes( Message const& message ) -> double
{
    using apache::thrift::protocol::TBinaryProtocol;
    using apache::thrift::transport::TMemoryBuffer;
    constexpr auto frame = 4.0;
    auto const buffer = std::make_shared<TMemoryBuffer>();
    auto protocol = TBinaryProtocol( buffer );
    message.write( &protocol );
    return frame + static_cast<double>( buffer->available_read() );
}

auto number( std::int64_t n ) -> std::string
{
    return std::to_string( n );
}

auto make_members( std::int64_t count ) -> std::vector<membership::member>
{
    auto members = std::vector<membership::member>{};
    for ( auto i = std::int64_t{ 0 }; i < count; ++i )
    {
        auto m = membership::member{};
        m.id = core::instance_id( "entry-instance-" + number( i ) );
        m.data_centre = core::data_centre_id( "karratha-hall" );
        m.callers = { "10.100.100.100", 8080 };
        m.peers = { "10.100.100.100", 8081 };
        m.incarnation = core::incarnation( 1'764'700'000'000'000 );
        members.push_back( m );
    }
    return members;
}

/// Membership: one round of one instance in a quiet fleet of that size.
auto measure_membership( std::int64_t size ) -> capacity_row
{
    auto const heap = heap_bytes();
    auto table = membership::member_table( make_members( size + 1 ).back(), 1 );
    auto const members = make_members( size );
    for ( auto const& each : members )
        table.merge( each, core::instant( 1s ) );
    auto row = capacity_row{};
    row.memory_bytes = static_cast<double>( heap_bytes() - heap );
    while ( !table.take_changes( 100 ).empty() )
    {
    }
    auto beat = ports::heartbeat{};
    beat.sender = table.self();
    beat.fingerprint = std::string( 32, 'f' );
    // A round: two exchanges started and two answered on average, each with
    // a message out and one back.
    constexpr auto messages_sent = 4.0;
    row.bytes = messages_sent * wire_bytes( thrift_adapter::to_wire( beat ) );
    row.cpu_microseconds = microseconds_per_run(
        [&]
        {
            auto const peers = table.pick_peers( 2 );
            for ( auto const& each : peers )
                table.merge( each, core::instant( 2s ) );
            table.expire( core::instant( 2s ) );
            return peers.size();
        } );
    return row;
}

/// News: bytes that one change of a member costs each instance, over all the
/// times that it is passed on.
auto measure_news( std::int64_t size ) -> capacity_row
{
    constexpr auto settling = 90;
    constexpr auto rounds = 25;
    auto fleet = standins::gossip_fleet( static_cast<int>( size ) );
    fleet.run_rounds( settling );
    auto const quiet_start = fleet.members_sent;
    fleet.run_rounds( rounds );
    auto const quiet = fleet.members_sent - quiet_start;
    // The rounds up to the next full exchange, so that both spans are alike.
    fleet.run_rounds( 60 - rounds );
    auto const before = fleet.members_sent;
    auto const begin = processor_microseconds();
    fleet.at( 1 ).members.leave( fleet.time.now() );
    fleet.run_rounds( rounds );
    auto const copies = fleet.members_sent - before - quiet;
    auto const one = make_members( 1 ).front();
    auto beat = ports::heartbeat{};
    auto const empty = wire_bytes( thrift_adapter::to_wire( beat ) );
    beat.changes.push_back( one );
    auto const member = wire_bytes( thrift_adapter::to_wire( beat ) ) - empty;
    auto row = capacity_row{};
    row.bytes =
        member * static_cast<double>( copies ) / static_cast<double>( size );
    row.cpu_microseconds = ( processor_microseconds() - begin ) /
                           static_cast<double>( size * rounds );
    return row;
}

auto make_targets( std::int64_t count ) -> std::vector<routing::target_identity>
{
    auto targets = std::vector<routing::target_identity>{};
    for ( auto i = std::int64_t{ 0 }; i < count; ++i )
        targets.push_back( { core::target_id( "runner-" + number( i ) ),
                             core::service_id( "model" ),
                             core::data_centre_id( "karratha-hall" ),
                             { "10.100.100.100", 9000 } } );
    return targets;
}

auto full_report() -> ports::load_report
{
    auto report = ports::load_report{};
    report.backlog = { 1'000, 20'000, 300'000 };
    report.memory_used = 100'000;
    report.memory_total = 400'000;
    report.prefill_rate = 20'000;
    report.decode_rate = 30;
    report.step_seconds = 0.05;
    for ( auto i = 0; i < 4; ++i )
        report.cached.push_back( { 1'024, 0x0123456789abcdefULL } );
    return report;
}

/// Target choice: one decision over that many targets.
auto measure_choice( std::int64_t size ) -> capacity_row
{
    auto const heap = heap_bytes();
    auto table = routing::target_table();
    table.replace( make_targets( size ), core::instant( 1s ) );
    auto row = capacity_row{};
    row.memory_bytes = static_cast<double>( heap_bytes() - heap );
    for ( auto const& each : table.all() )
        each->take_report( full_report(), core::instant( 1s ) );
    auto const policy = routing::make_policy( "predicted", 1 );
    auto shape = routing::request_shape{};
    shape.prompt_tokens = 1'500;
    shape.output_tokens = 64;
    row.cpu_microseconds = microseconds_per_run(
        [&]
        {
            return table.read(
                core::service_id( "model" ),
                [&]( routing::target_list const& all )
                {
                    return policy->choose( all, shape, core::instant( 2s ) )
                        ->cached_tokens;
                } );
        } );
    return row;
}

/// Load reports: one report read, for a table of that many targets.
auto measure_reports( std::int64_t size ) -> capacity_row
{
    auto table = routing::target_table();
    table.replace( make_targets( size ), core::instant( 1s ) );
    auto const all = table.all();
    auto const text = http::to_json( full_report() ).serialize();
    auto row = capacity_row{};
    // Request and response headers of one poll, as the client sends them.
    constexpr auto headers = 320.0;
    row.bytes = headers + static_cast<double>( text.size() );
    auto next = std::size_t{ 0 };
    row.cpu_microseconds = microseconds_per_run(
        [&]
        {
            auto const json = web::json::value::parse( text );
            auto const report = http::read_load_report( json );
            all[next++ % all.size()]->take_report( report.value(),
                                                   core::instant( 2s ) );
            return next;
        } );
    return row;
}

/// The instance list: one reading of it, with that many targets in it.
auto measure_selection( std::int64_t size ) -> capacity_row
{
    auto listed = std::vector<ports::listed_target>{};
    for ( auto const& each : make_targets( size ) )
        listed.push_back(
            { each.id, each.service, each.data_centre, each.address } );
    auto const wanted = membership::selection_request{
        core::instance_id( "i" ), core::data_centre_id( "karratha-hall" ), 24 };
    auto row = capacity_row{};
    constexpr auto bytes_per_listed = 150.0;
    row.bytes = bytes_per_listed * static_cast<double>( size );
    row.cpu_microseconds = microseconds_per_run(
        [&]
        {
            return membership::select_targets( listed, wanted ).size();
        } );
    return row;
}

auto workspaces_text( std::int64_t count ) -> std::string
{
    auto text = std::string{};
    for ( auto i = std::int64_t{ 0 }; i < count; ++i )
        text += "[workspace customer-" + number( i ) +
                "]\nshare = 2\nrequests_per_second = 100\n\n";
    return text;
}

/// Configuration: one change taken over, with that many workspaces.
auto measure_configuration( std::int64_t size ) -> capacity_row
{
    auto codec = http::configuration_text_codec();
    auto const text = workspaces_text( size );
    auto const heap = heap_bytes();
    auto holder = std::make_unique<state::configuration_holder>( codec );
    auto bundle = state::configuration_bundle{};
    bundle.texts["workspaces.ini"] = text;
    bundle.head.documents["workspaces.ini"] = core::content_hash( text );
    bundle.head.revision = core::revision( 1 );
    holder->adopt( bundle ).value();
    auto row = capacity_row{};
    row.memory_bytes = static_cast<double>( heap_bytes() - heap );
    row.bytes = static_cast<double>( text.size() );
    row.cpu_microseconds = microseconds_per_run(
        [&]
        {
            bundle.head.revision += core::revision( 1 );
            return holder->adopt( bundle ).value();
        } );
    return row;
}

/// Limits: one request of one of that many workspaces admitted.
auto measure_limits( std::int64_t size ) -> capacity_row
{
    auto const heap = heap_bytes();
    auto limits = admission::workspace_limits();
    auto const alive = make_members( 410 );
    auto const spaces = [&]
    {
        auto all = std::vector<profiles::workspace>{};
        for ( auto i = std::int64_t{ 0 }; i < size; ++i )
            all.push_back( { core::workspace_id( "customer-" + number( i ) ), 1,
                             100, 1'000'000 } );
        return all;
    }();
    for ( auto const& each : spaces )
        limits.take( each, 0.3, core::token_count( 1 ), core::instant( 1s ) );
    auto row = capacity_row{};
    row.memory_bytes = static_cast<double>( heap_bytes() - heap );
    auto next = std::size_t{ 0 };
    row.cpu_microseconds = microseconds_per_run(
        [&]
        {
            auto const& each = spaces[next++ % spaces.size()];
            auto const part = membership::limit_share(
                each.id, core::instance_id( "entry-instance-7" ), alive, 3 );
            return limits
                .take( each, part, core::token_count( 1 ), core::instant( 2s ) )
                .count();
        } );
    return row;
}

/// Tickets: one call begun and finished beside that many remembered ones.
auto measure_tickets( std::int64_t size ) -> capacity_row
{
    auto const heap = heap_bytes();
    auto ledger =
        state::call_ledger( core::instance_id( "i" ), core::incarnation( 1 ) );
    auto next = std::int64_t{ 0 };
    auto const run_one = [&]
    {
        auto ticket = state::call_ticket{
            core::instance_id( "i" ), core::incarnation( 1 ),
            core::instant( 1h ),
            core::idempotency_key( "certificate-" + number( next++ ) ) };
        ledger.begin( ticket, "workspace\nservice", core::instant( 1s ),
                      []( state::call_outcome const& ) {} );
        auto outcome = state::call_outcome{};
        outcome.status = ports::answer_status::complete;
        outcome.reply.body = std::string( 100, 'b' );
        ledger.finish( ticket, "workspace\nservice", outcome );
        return next;
    };
    while ( next < size )
        run_one();
    auto row = capacity_row{};
    row.memory_bytes = static_cast<double>( heap_bytes() - heap );
    row.cpu_microseconds = microseconds_per_run( run_one, 2'000 );
    return row;
}

}

auto capacity_measures() -> std::vector<capacity_measure>
{
    auto const fleets = std::vector<std::int64_t>{ 50, 100, 200, 410 };
    auto const target_counts = std::vector<std::int64_t>{ 24, 100, 300, 1'200 };
    auto const workspaces =
        std::vector<std::int64_t>{ 1'000, 5'000, 11'500, 23'000 };
    return {
        { "membership", "round", fleets, measure_membership },
        { "news", "change", { 25, 50, 100, 200 }, measure_news },
        { "choice", "decision", target_counts, measure_choice },
        { "reports", "report", target_counts, measure_reports },
        { "selection", "reading", target_counts, measure_selection },
        { "configuration", "change", workspaces, measure_configuration },
        { "limits", "request", workspaces, measure_limits },
        { "tickets", "call", { 500, 1'000, 2'000, 4'000 }, measure_tickets },
    };
}

}
