#include "support/test_configuration.hpp"
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/state/configuration_follower.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <catch2/catch.hpp>

#include <store_model.hpp>

using namespace tests;
using state::change_outcome;

namespace
{

/// A configuration publisher on one instance, with a simulated store.
struct publisher_fixture
{
    standins::store_model store;
    pollenstream::adapters::http::configuration_text_codec codec;
    state::configuration_holder holder{ codec };
    state::configuration_publisher publisher{ store, codec, holder };

    auto apply( std::string const& id, std::string const& text )
        -> state::change_report
    {
        return publisher.apply( make_change( id, text ) );
    }
};

}

TEST_CASE( "an accepted change can be read from the store and adopted",
           "[configuration]" )
{
    auto fixture = publisher_fixture{};
    auto const report = fixture.apply( "first", sample_document( 1 ) );
    REQUIRE( report.outcome == change_outcome::accepted );
    CHECK( report.revision == core::revision( 1 ) );
    auto follower = state::configuration_follower( fixture.store, fixture.codec,
                                                   fixture.holder, 1 );
    follower.follow_once();
    CHECK( fixture.holder.revision() == core::revision( 1 ) );
    CHECK( has_profile( fixture.holder, "quick-1" ) );
}

TEST_CASE( "a change sent twice takes effect once", "[configuration]" )
{
    auto fixture = publisher_fixture{};
    auto const first = fixture.apply( "same", sample_document( 1 ) );
    auto const second = fixture.apply( "same", sample_document( 1 ) );
    CHECK( second.outcome == change_outcome::accepted );
    CHECK( second.revision == first.revision );
}

TEST_CASE( "a change whose response is lost is looked up in the store",
           "[configuration]" )
{
    auto fixture = publisher_fixture{};
    REQUIRE( fixture.apply( "first", sample_document( 1 ) ).outcome ==
             change_outcome::accepted );

    SECTION( "it is accepted if the store made the change" )
    {
        fixture.store.set_faults( { false, true, false } );
        auto const report = fixture.apply( "second", sample_document( 2 ) );
        CHECK( report.outcome == change_outcome::accepted );
        CHECK( report.revision == core::revision( 2 ) );
    }
    SECTION( "it is refused if the store wrote nothing" )
    {
        fixture.store.set_faults( { true, false, false } );
        auto const report = fixture.apply( "second", sample_document( 2 ) );
        CHECK( report.outcome == change_outcome::refused );
    }
    SECTION( "it is unknown if the store is unreachable after the write" )
    {
        auto cut = disconnecting_store( fixture.store );
        auto publisher = state::configuration_publisher( cut, fixture.codec,
                                                         fixture.holder );
        auto const report =
            publisher.apply( make_change( "second", sample_document( 2 ) ) );
        CHECK( report.outcome == change_outcome::unknown );
        // A retry with the same id reports the change as made.
        auto const again = fixture.apply( "second", sample_document( 2 ) );
        CHECK( again.outcome == change_outcome::accepted );
        CHECK( again.revision == core::revision( 2 ) );
    }
}

TEST_CASE( "concurrent changes on the same base: the later one conflicts",
           "[configuration]" )
{
    auto fixture = publisher_fixture{};
    REQUIRE( fixture.apply( "first", sample_document( 1 ) ).outcome ==
             change_outcome::accepted );
    auto mine = make_change( "mine", sample_document( 2 ) );
    auto theirs = make_change( "theirs", sample_document( 3 ) );
    mine.based_on = core::revision( 1 );
    theirs.based_on = core::revision( 1 );
    CHECK( fixture.publisher.apply( theirs ).outcome ==
           change_outcome::accepted );
    auto const report = fixture.publisher.apply( mine );
    CHECK( report.outcome == change_outcome::conflict );
    REQUIRE( report.since.size() == 1 );
    CHECK( report.since.front().id == state::change_id( "theirs" ) );
}

TEST_CASE( "an invalid change writes nothing and reports all findings",
           "[configuration]" )
{
    auto fixture = publisher_fixture{};
    auto const report = fixture.apply(
        "bad",
        "[profile p]\nservice = nowhere\npriority = late\nretries = x\n" );
    CHECK( report.outcome == change_outcome::faulty );
    CHECK( report.findings.all().size() == 3 );
    CHECK( fixture.store.content().empty() );
}

TEST_CASE( "the revision in force never decreases", "[configuration]" )
{
    auto fixture = publisher_fixture{};
    REQUIRE( fixture.apply( "first", sample_document( 1 ) ).outcome ==
             change_outcome::accepted );
    auto const old_content = fixture.store.content();
    REQUIRE( fixture.apply( "second", sample_document( 2 ) ).outcome ==
             change_outcome::accepted );
    auto follower = state::configuration_follower( fixture.store, fixture.codec,
                                                   fixture.holder, 1 );
    follower.follow_once();
    REQUIRE( fixture.holder.revision() == core::revision( 2 ) );

    SECTION( "when the store is restored to an older state" )
    {
        fixture.store.restore( old_content );
        follower.follow_once();
        CHECK( fixture.holder.revision() == core::revision( 2 ) );
        CHECK( follower.refused.value() == 1 );
    }
    SECTION( "when a change is made on the restored store" )
    {
        fixture.store.restore( old_content );
        auto const report = fixture.apply( "third", sample_document( 3 ) );
        REQUIRE( report.outcome == change_outcome::accepted );
        CHECK( report.revision == core::revision( 3 ) );
        follower.follow_once();
        CHECK( fixture.holder.revision() == core::revision( 3 ) );
        CHECK( has_profile( fixture.holder, "quick-3" ) );
    }
    SECTION( "when a document does not match its hash" )
    {
        auto bundle = fixture.holder.bundle();
        bundle.head.revision = core::revision( 9 );
        bundle.texts.begin()->second += " ";
        CHECK_FALSE( fixture.holder.adopt( bundle ) );
        CHECK( fixture.holder.revision() == core::revision( 2 ) );
    }
}
