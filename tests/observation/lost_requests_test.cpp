#include <pollenstream/adapters/spdlog/structured_log.hpp>
#include <pollenstream/observation/lost_requests.hpp>

#include <catch2/catch.hpp>

#include <losses.hpp>

using namespace std::chrono_literals;
using namespace pollenstream::observation;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;

namespace
{

auto ended( std::string const& outcome, int status ) -> exchange::request_ended
{
    auto e = exchange::request_ended{};
    e.id = exchange::attempt_id( "a" );
    e.workspace = core::workspace_id( "ws" );
    e.route = "chat";
    e.outcome = outcome;
    e.status = status;
    e.total = 900ms;
    e.first_event = 200ms;
    e.longest_gap = 50ms;
    e.events = 3;
    e.prompt_tokens = 5'000;
    e.latency_objective = 300ms;
    e.gap_objective = 200ms;
    return e;
}

/// Also checks that the tool counts the logged line in the same way.
auto kind_of( exchange::request_ended const& e ) -> std::optional<loss_kind>
{
    auto const kind = loss_of( e );
    auto account = apps::tool::loss_account{};
    account.take( pollenstream::adapters::spdlog::to_line( e ) );
    account.finish();
    CHECK( account.unreadable() == 0 );
    CHECK( account.lost().requests == ( kind ? 1 : 0 ) );
    return kind;
}

}

// Guards against a counter and a tool that disagree about who is affected.
TEST_CASE( "requests are lost as late, refused or failed", "[metrics][losses]" )
{
    CHECK_FALSE( kind_of( ended( "served", 200 ) ) );
    auto late = ended( "served", 200 );
    late.first_event = 400ms;
    CHECK( kind_of( late ) == loss_kind::late );
    auto interrupted = ended( "served", 200 );
    interrupted.longest_gap = 300ms;
    CHECK( kind_of( interrupted ) == loss_kind::late );
    auto call = ended( "served", 200 );
    call.first_event = 0ms;
    CHECK( kind_of( call ) == loss_kind::late );
    CHECK( kind_of( ended( "no_room", 503 ) ) == loss_kind::refused );
    CHECK( kind_of( ended( "target_lost", 502 ) ) == loss_kind::failed );
    CHECK( kind_of( ended( "target_failed", 503 ) ) == loss_kind::failed );
    CHECK( kind_of( ended( "deadline", 504 ) ) == loss_kind::failed );
}

TEST_CASE( "requests that end as the caller asks are not counted as lost",
           "[metrics][losses]" )
{
    CHECK_FALSE( kind_of( ended( "caller_gone", 0 ) ) );
    CHECK_FALSE( kind_of( ended( "unknown_key", 401 ) ) );
    CHECK_FALSE( kind_of( ended( "no_route", 404 ) ) );
    auto brief = ended( "deadline", 504 );
    brief.total = 100ms;
    CHECK_FALSE( kind_of( brief ) );
}

// Guards against metrics that grow with the number of workspaces.
TEST_CASE( "workspaces beyond the maximum share one count of lost requests",
           "[metrics]" )
{
    auto lost = lost_requests{};
    for ( auto round = 0; round < 2; ++round )
        for ( auto i = std::size_t{ 0 }; i < lost_requests::max_workspaces + 10;
              ++i )
            lost.add( core::workspace_id( "w" + std::to_string( i ) ),
                      loss_kind::late );
    CHECK( lost.all().size() == lost_requests::max_workspaces + 1 );
    CHECK( lost.all().at( "w0" )[0] == 2 );
    CHECK( lost.all().at( lost_requests::others )[0] == 20 );
    auto open_route = lost_requests{};
    open_route.add( core::workspace_id(), loss_kind::refused );
    CHECK( open_route.all().count( lost_requests::none ) == 1 );
}

TEST_CASE( "log lines name the workspace and the expected lateness", "[log]" )
{
    using pollenstream::adapters::spdlog::to_line;
    CHECK( to_line( ended( "served", 200 ) ).find( " workspace=ws " ) !=
           std::string::npos );
    auto refused = exchange::request_refused{};
    CHECK( to_line( refused ).find( " workspace=\"\" " ) != std::string::npos );
    auto late = exchange::lateness_expected{};
    late.id = exchange::attempt_id( "a" );
    late.workspace = core::workspace_id( "ws" );
    late.route = "chat";
    late.waited = 50ms;
    late.predicted = 400ms;
    late.latency_objective = 300ms;
    late.reason = pollenstream::scheduling::lateness_reason::backlog;
    CHECK( to_line( late ) ==
           "event=late_expected id=a content=" +
               exchange::to_string( late.content ) +
               " workspace=ws route=chat reason=backlog waited_ms=50.0 "
               "objective_ms=300.0 predicted_ms=400.0" );
    late.predicted.reset();
    CHECK( to_line( late ).find( "predicted_ms" ) == std::string::npos );
}
