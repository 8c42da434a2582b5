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
