#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace tests;

// Guards against an exception in a handler of one request that reaches other
// requests, or leaves the request open with work at its target.

namespace
{

/// Throws when the answer of a stream begins.
class throwing_channel : public recorded_channel
{
public:
    auto start_stream( int, exchange::header_list ) -> void override
    {
        throw std::length_error( "thrown by a test" );
    }
};

/// Throws instead of encoding a request.
class throwing_encoder : public exchange::request_encoder
{
public:
    [[nodiscard]] auto encode_head( exchange::caller_request const&,
                                    exchange::target_directions const& ) const
        -> std::string override
    {
        throw std::bad_alloc();
    }
};

}

TEST_CASE( "an exception while an answer is relayed ends its request alone",
           "[exchange][exception]" )
{
    auto f = exchange_fixture{};
    auto const other = f.start( f.request( "/chat/x" ) );
    auto const broken = std::make_shared<throwing_channel>();
    auto const request = std::make_shared<exchange::exchange>(
        f.context, f.request( "/chat/y" ), broken );
    request->start();
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->head( 200 );
    f.targets.all[1]->event( 1 );
    CHECK( f.targets.all[1]->cancelled );
    CHECK( broken->aborted );
    CHECK( f.context.counters.internal_errors.value() == 1 );
    CHECK( f.log.count_changes( "request", "broken" ) == 1 );
    CHECK( f.context.open.size() == 1 );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->event( 1 );
    f.targets.all[0]->complete();
    CHECK( f.answer->ended );
    CHECK( f.context.open.empty() );
    CHECK( f.announcer.open == 0 );
}

TEST_CASE( "an exception while a request is sent ends it with a failure",
           "[exchange][exception]" )
{
    auto f = exchange_fixture{};
    auto const encoder = throwing_encoder{};
    auto context =
        exchange::exchange_context{ .scheduler = f.scheduler,
                                    .targets = f.targets,
                                    .probe = f.probe,
                                    .encoder = encoder,
                                    .reservations = f.reservations,
                                    .loads = f.loads,
                                    .crashes = f.crashes,
                                    .chooser = f.chooser,
                                    .placements = f.router,
                                    .retries = f.retries,
                                    .path = f.path,
                                    .answer_memory = f.answer_memory,
                                    .queue = f.queue,
                                    .log = f.log,
                                    .announcer = f.announcer,
                                    .self = f.context.self,
                                    .incarnation = f.context.incarnation,
                                    .configuration = f.context.configuration,
                                    .stop = std::nullopt,
                                    .last_serial = 0,
                                    .open = {},
                                    .counters = {},
                                    .random = std::minstd_rand( 1 ) };
    auto const request = std::make_shared<exchange::exchange>(
        context, f.request( "/safe/x" ), f.answer );
    request->start();
    CHECK( f.answer->whole.status == 502 );
    CHECK( context.open.empty() );
    CHECK( f.targets.all.empty() );
}
