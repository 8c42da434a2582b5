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

/// A store, with an operator's publisher on one instance.
struct one_publisher
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

TEST_CASE( "an accepted change can be read back and taken over",
           "[configuration]" )
{
    auto one = one_publisher{};
    auto const report = one.apply( "first", sample_document( 1 ) );
    REQUIRE( report.outcome == change_outcome::accepted );
    CHECK( report.revision == core::revision( 1 ) );
    auto follower =
        state::configuration_follower( one.store, one.codec, one.holder, 1 );
    follower.follow_once();
    CHECK( one.holder.revision() == core::revision( 1 ) );
    CHECK( has_profile( one.holder, "quick-1" ) );
}

TEST_CASE( "a change sent twice takes effect once", "[configuration]" )
{
    auto one = one_publisher{};
    auto const first = one.apply( "same", sample_document( 1 ) );
    auto const second = one.apply( "same", sample_document( 1 ) );
    CHECK( second.outcome == change_outcome::accepted );
    CHECK( second.revision == first.revision );
}

TEST_CASE( "a lost answer is looked up", "[configuration]" )
{
    auto one = one_publisher{};
    REQUIRE( one.apply( "first", sample_document( 1 ) ).outcome ==
             change_outcome::accepted );

    SECTION( "and told as accepted where the change took effect" )
    {
        one.store.set_faults( { false, true, false } );
        auto const report = one.apply( "second", sample_document( 2 ) );
        CHECK( report.outcome == change_outcome::accepted );
        CHECK( report.revision == core::revision( 2 ) );
    }
    SECTION( "and told as refused where the store took nothing" )
    {
        one.store.set_faults( { true, false, false } );
        auto const report = one.apply( "second", sample_document( 2 ) );
        CHECK( report.outcome == change_outcome::refused );
    }
    SECTION( "and told as unknown where the store is gone after the write" )
    {
        auto cut = disconnecting_store( one.store );
        auto publisher =
            state::configuration_publisher( cut, one.codec, one.holder );
        auto const report =
            publisher.apply( make_change( "second", sample_document( 2 ) ) );
        CHECK( report.outcome == change_outcome::unknown );
        // Asked again with the same id, the truth comes out.
        auto const again = one.apply( "second", sample_document( 2 ) );
        CHECK( again.outcome == change_outcome::accepted );
        CHECK( again.revision == core::revision( 2 ) );
    }
}

TEST_CASE( "of two operators who race one is told of the other",
           "[configuration]" )
{
    auto one = one_publisher{};
    REQUIRE( one.apply( "first", sample_document( 1 ) ).outcome ==
             change_outcome::accepted );
    auto mine = make_change( "mine", sample_document( 2 ) );
    auto theirs = make_change( "theirs", sample_document( 3 ) );
    mine.based_on = core::revision( 1 );
    theirs.based_on = core::revision( 1 );
    CHECK( one.publisher.apply( theirs ).outcome == change_outcome::accepted );
    auto const report = one.publisher.apply( mine );
    CHECK( report.outcome == change_outcome::conflict );
    REQUIRE( report.since.size() == 1 );
    CHECK( report.since.front().id == state::change_id( "theirs" ) );
}

TEST_CASE( "a change with findings changes nothing and tells all of them",
           "[configuration]" )
{
    auto one = one_publisher{};
    auto const report = one.apply(
        "bad",
        "[profile p]\nservice = nowhere\npriority = late\nretries = x\n" );
    CHECK( report.outcome == change_outcome::faulty );
    CHECK( report.found.all().size() == 3 );
    CHECK( one.store.content().empty() );
}

TEST_CASE( "a revision never goes back", "[configuration]" )
{
    auto one = one_publisher{};
    REQUIRE( one.apply( "first", sample_document( 1 ) ).outcome ==
             change_outcome::accepted );
    auto const old_content = one.store.content();
    REQUIRE( one.apply( "second", sample_document( 2 ) ).outcome ==
             change_outcome::accepted );
    auto follower =
        state::configuration_follower( one.store, one.codec, one.holder, 1 );
    follower.follow_once();
    REQUIRE( one.holder.revision() == core::revision( 2 ) );

    SECTION( "when the store comes back older" )
    {
        one.store.restore( old_content );
        follower.follow_once();
        CHECK( one.holder.revision() == core::revision( 2 ) );
        CHECK( follower.refused.value() == 1 );
    }
    SECTION( "when a change is made on the older store" )
    {
        one.store.restore( old_content );
        auto const report = one.apply( "third", sample_document( 3 ) );
        REQUIRE( report.outcome == change_outcome::accepted );
        CHECK( report.revision == core::revision( 3 ) );
        follower.follow_once();
        CHECK( one.holder.revision() == core::revision( 3 ) );
        CHECK( has_profile( one.holder, "quick-3" ) );
    }
    SECTION( "when a bundle is altered on its way" )
    {
        auto bundle = one.holder.bundle();
        bundle.head.revision = core::revision( 9 );
        bundle.texts.begin()->second += " ";
        CHECK_FALSE( one.holder.adopt( bundle ) );
        CHECK( one.holder.revision() == core::revision( 2 ) );
    }
}
