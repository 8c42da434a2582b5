#include <catch2/catch.hpp>

#include <losses.hpp>
#include <random>
#include <string>
#include <vector>

using apps::tool::loss_account;
using apps::tool::loss_cause;

namespace
{

auto placed( std::string const& id, int waited, int predicted ) -> std::string
{
    return "time=t event=placed id=" + id +
           " prompt=100000 waited_ms=" + std::to_string( waited ) +
           ".0 predicted_ms=" + std::to_string( predicted ) + ".0 asked_ms=3.0";
}

auto served( std::string const& id, int first_event, int longest_gap )
    -> std::string
{
    return "time=t event=ended id=" + id +
           " outcome=served status=200 total_ms=9000.0 first_ms=" +
           std::to_string( first_event ) +
           ".0 gap_ms=" + std::to_string( longest_gap ) +
           ".0 prompt=100000 objective_ms=3000.0 gap_objective_ms=800.0";
}

auto read_account( std::vector<std::string> const& lines ) -> loss_account
{
    auto account = loss_account{};
    for ( auto const& line : lines )
        account.take( line );
    account.finish();
    return account;
}

/// The cause of the only lost request in the lines.
auto single_cause( std::vector<std::string> const& lines ) -> loss_cause
{
    auto const account = read_account( lines );
    REQUIRE( account.lost().requests == 1 );
    for ( auto i = 0; i < static_cast<int>( loss_cause::number_of_causes );
          ++i )
        if ( account.of( static_cast<loss_cause>( i ) ).requests == 1 )
            return static_cast<loss_cause>( i );
    return loss_cause::number_of_causes;
}

}

TEST_CASE( "a request that is served in time is no loss", "[losses]" )
{
    auto const account =
        read_account( { placed( "a", 3, 500 ), served( "a", 600, 100 ) } );
    CHECK( account.requests() == 1 );
    CHECK( account.lost().requests == 0 );
    CHECK( account.explained_share() == 1 );
}

TEST_CASE( "a late request is attributed to the cause of its delay",
           "[losses]" )
{
    CHECK( single_cause( { placed( "a", 3, 500 ), served( "a", 3'200, 1 ) } ) ==
           loss_cause::slower_than_told );
    CHECK( single_cause(
               { placed( "a", 2'800, 500 ), served( "a", 3'300, 1 ) } ) ==
           loss_cause::late_by_waiting );
    CHECK(
        single_cause( { placed( "a", 3, 3'100 ), served( "a", 3'300, 1 ) } ) ==
        loss_cause::late_as_predicted );
    CHECK( single_cause( { placed( "a", 3, 500 ), served( "a", 600, 900 ) } ) ==
           loss_cause::long_pause );
    CHECK( single_cause( { placed( "a", 3, 500 ),
                           "event=attempt_failed id=a error=silent",
                           placed( "a", 2'900, 500 ),
                           served( "a", 3'400, 1 ) } ) ==
           loss_cause::target_silent );
    CHECK( single_cause( { placed( "a", 2'800, 500 ) + " limit_ms=2700",
                           served( "a", 3'300, 1 ) } ) ==
           loss_cause::target_limit );
    CHECK( single_cause( { "event=ended id=a outcome=drained status=503 "
                           "total_ms=1.0 first_ms=0.0 gap_ms=0.0" } ) ==
           loss_cause::place_drained );
    CHECK( single_cause( { "event=ended id=a outcome=limited status=503 "
                           "total_ms=1.0 first_ms=0.0 gap_ms=0.0" } ) ==
           loss_cause::target_limit );
    // Returning to the silent target is not counted as a second failure.
    CHECK(
        single_cause(
            { placed( "a", 3, 500 ), "event=attempt_failed id=a error=silent",
              "event=attempt_failed id=a error=\"it speaks again\" "
              "decision=go_back",
              served( "a", 3'400, 1 ) } ) == loss_cause::target_silent );
}

TEST_CASE( "a refused or failed request is attributed to its cause",
           "[losses]" )
{
    auto const ended = std::string( "event=ended id=a outcome=x status=503 "
                                    "total_ms=1.0 first_ms=0.0 gap_ms=0.0" );
    CHECK( single_cause( { "event=refused id=a reason=no_room_in_time",
                           ended } ) == loss_cause::no_room );
    CHECK( single_cause( { "event=refused id=a reason=no_configuration",
                           ended } ) == loss_cause::no_configuration );
    CHECK( single_cause( { "event=attempt_failed id=a error=\"status 500\"",
                           ended } ) == loss_cause::target_failed );
    CHECK( single_cause( { "event=attempt_failed id=a "
                           "error=\"reservation: memory is not free\"",
                           ended } ) == loss_cause::memory_not_there );
    // The request ran until a target could not be reached any more.
    CHECK( single_cause( { "event=attempt_failed id=a "
                           "error=\"reservation expired at e1\"",
                           ended } ) == loss_cause::target_lost );
    CHECK( single_cause( { ended } ) == loss_cause::unknown );
    // No end is logged, as when the instance has crashed.
    CHECK( single_cause( { placed( "a", 3, 500 ) } ) ==
           loss_cause::not_finished );
}

TEST_CASE(
    "requests that end as the caller or the configuration asks are no loss",
    "[losses]" )
{
    CHECK( read_account( { "event=ended id=a outcome=no_route status=404 "
                           "total_ms=1.0 first_ms=0.0 gap_ms=0.0",
                           "event=ended id=b outcome=caller_gone status=0 "
                           "total_ms=1.0 first_ms=0.0 gap_ms=0.0" } )
               .requests() == 0 );
}

TEST_CASE(
    "a call that ends at a deadline shorter than its objective is no loss",
    "[losses]" )
{
    auto const call = []( int total )
    {
        return "time=t event=ended id=a outcome=deadline status=504 total_ms=" +
               std::to_string( total ) +
               ".0 first_ms=0.0 gap_ms=0.0 prompt=0 objective_ms=1000.0";
    };
    // The first call only finds out which time limit is in force.
    CHECK( read_account( { call( 400 ) } ).lost().requests == 0 );
    CHECK( read_account( { call( 1'100 ) } ).lost().requests == 1 );
}

TEST_CASE( "the delay of first events is measured against the prediction",
           "[losses]" )
{
    auto lines = std::vector<std::string>{};
    for ( auto i = 0; i < 405; ++i )
    {
        auto const id = std::to_string( i );
        lines.push_back( placed( id, 100, 500 ) );
        lines.push_back( served( id, 600 + i % 81, 100 ) );
    }
    auto const account = read_account( lines );
    for ( auto const& row : account.by_size() )
        if ( row.name == "75k to 150k" )
            CHECK( row.later_than_told->summary().p50 ==
                   Approx( 40 ).margin( 5 ) );
        else
            CHECK( row.later_than_told->summary().count == 0 );
}

namespace
{

/// Lines of a day on which one workspace's requests are late, two of them in
/// data centre `b`, and an instance in `c` is lost.
auto lines_of_mixed_day() -> std::vector<std::string>
{
    auto const ended_at = []( std::string const& place, std::string const& id,
                              std::string const& workspace, int first_event )
    {
        return "place=" + place + " route=chat workspace=" + workspace + " " +
               served( id, first_event, 1 );
    };
    return { placed( "1", 3, 500 ),
             ended_at( "b", "1", "large", 3'200 ),
             placed( "2", 3, 500 ),
             ended_at( "b", "2", "large", 3'200 ),
             ended_at( "a", "3", "large", 3'200 ),
             ended_at( "a", "4", "small", 600 ),
             "place=c route=audit " + placed( "5", 3, 500 ) };
}

auto group_of( loss_account const& account, std::string const& name )
    -> apps::tool::loss_group
{
    for ( auto const& group : account.groups().by_lost_weight() )
        if ( group.name == name )
            return group;
    return {};
}

auto grouped_by( apps::tool::loss_key key,
                 std::vector<std::string> const& lines ) -> loss_account
{
    auto account = loss_account( key );
    for ( auto const& line : lines )
        account.take( line );
    account.finish();
    return account;
}

}

// Guards against sums of groups that differ from the sums of the whole, and
// against losses that no group shows.
TEST_CASE( "losses are grouped by workspace, data centre or kind", "[losses]" )
{
    using apps::tool::loss_key;
    auto const lines = lines_of_mixed_day();
    auto const by_workspace = grouped_by( loss_key::workspace, lines );
    CHECK( group_of( by_workspace, "large" ).all.requests == 3 );
    CHECK( group_of( by_workspace, "large" ).lost.requests == 3 );
    CHECK( group_of( by_workspace, "small" ).all.requests == 1 );
    CHECK( group_of( by_workspace, "small" ).lost.requests == 0 );
    // Only the `placed` line of the lost instance's request is there.
    CHECK( group_of( by_workspace, "unknown" ).lost.requests == 1 );
    auto const by_place = grouped_by( loss_key::data_centre, lines );
    CHECK( by_place.groups().by_lost_weight().front().name == "b" );
    CHECK( group_of( by_place, "b" ).lost.requests == 2 );
    CHECK( group_of( by_place, "a" ).lost.requests == 1 );
    auto const& lost_instance = group_of( by_place, "c" ).by_cause;
    CHECK(
        lost_instance.at( static_cast<std::size_t>( loss_cause::not_finished ) )
            .requests == 1 );
    auto const by_kind = grouped_by( loss_key::kind, lines );
    CHECK( group_of( by_kind, "chat" ).lost.requests == 3 );
    CHECK( group_of( by_kind, "audit" ).lost.requests == 1 );
    for ( auto const* account : { &by_workspace, &by_place, &by_kind } )
    {
        auto weight = 0.0;
        for ( auto const& group : account->groups().by_lost_weight() )
            weight += group.lost.weight;
        CHECK( weight == Approx( account->lost().weight ) );
    }
}

TEST_CASE( "a lost request that only waited belongs to its workspace",
           "[losses]" )
{
    auto const account = grouped_by(
        apps::tool::loss_key::workspace,
        { "event=late_expected id=a workspace=w route=r reason=waited" } );
    CHECK( group_of( account, "w" ).lost.requests == 1 );
}

// Guards against memory that grows with the values in the logs.
TEST_CASE( "groups of losses beyond the maximum share one", "[losses]" )
{
    auto groups = apps::tool::loss_groups{};
    constexpr auto max = apps::tool::loss_groups::max_groups;
    for ( auto i = std::size_t{ 0 }; i < max + 5; ++i )
        groups.add( std::to_string( i ), 2, loss_cause::no_room );
    groups.add( "", 1, std::nullopt );
    auto const all = groups.by_lost_weight();
    CHECK( all.size() == max + 1 );
    CHECK( all.front().name == apps::tool::loss_groups::others );
    CHECK( all.front().lost.requests == 5 );
    CHECK( all.front().all.requests == 6 );
}

TEST_CASE( "the key of grouped losses is one that operators know", "[losses]" )
{
    using apps::tool::loss_key;
    CHECK( apps::tool::loss_key_of( "workspace" ) == loss_key::workspace );
    CHECK( apps::tool::loss_key_of( "data-centre" ) == loss_key::data_centre );
    CHECK( apps::tool::loss_key_of( "kind" ) == loss_key::kind );
    CHECK_FALSE( apps::tool::loss_key_of( "target" ) );
    CHECK( apps::tool::run_losses( {}, "target", false ) == 1 );
}

TEST_CASE( "malformed log lines are counted and otherwise ignored",
           "[losses][input]" )
{
    auto random = std::minstd_rand( 7 );
    auto const good = served( "a", 3'200, 1 );
    auto account = loss_account{};
    for ( auto i = 0; i < 5'000; ++i )
    {
        auto bytes = good;
        auto const at = random() % bytes.size();
        if ( i % 2 == 0 )
            bytes.resize( at );
        else
            bytes[at] = static_cast<char>( random() );
        account.take( bytes );
    }
    account.take( "" );
    account.take( "time=t event=ended id=b outcome=served status=200" );
    account.finish();
    CHECK( account.unreadable() > 0 );
    CHECK( account.requests() <= 5'000 );
    CHECK( account.lost().requests <= account.requests() );
}

TEST_CASE( "a request that is handed over is counted once", "[losses]" )
{
    auto const taken = std::string( " handed_over_by=n1" );
    auto const account = read_account(
        { "time=t event=handed_over id=a to=n2 because=cut_from_targets",
          placed( "a", 3, 500 ) + taken, served( "a", 600, 100 ) + taken,
          served( "a", 603, 100 ), placed( "a", 3, 500 ) + taken } );
    CHECK( account.requests() == 1 );
    CHECK( account.lost().requests == 0 );
    CHECK( single_cause(
               { "time=t event=handed_over id=b to=n2 because=not_reached",
                 served( "b", 4'000, 100 ) } ) ==
           loss_cause::cut_from_targets );
}
