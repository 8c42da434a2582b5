#include "support/exchange_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

// What callers saw: calls were cut short, and ended with 504, at a target that
// had said two seconds before, in its answer to a call of the same instance,
// that it leaves. The platform's store was away at that time.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto answer_that_leaves( sent_request& request, int status = 200 ) -> void
{
    auto head = exchange::answer_head{};
    head.status = status;
    head.has_seal = true;
    head.says_leaving = true;
    head.proves_not_run = status == 503;
    request.listener->on_head( std::move( head ) );
    request.complete();
}

auto was_logged( recorded_events const& log, std::string const& target ) -> bool
{
    return std::any_of( log.all.begin(), log.all.end(),
                        [&]( auto const& what )
                        {
                            auto const* const belief =
                                std::get_if<exchange::belief_changed>( &what );
                            return belief != nullptr &&
                                   belief->name == target &&
                                   belief->now == "leaving";
                        } );
}

}

TEST_CASE( "the log tells that an answer says its target leaves",
           "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    auto const target = f.targets.all[0]->request.target;
    answer_that_leaves( *f.targets.all[0] );
    CHECK( f.answer->whole.status == 200 );
    CHECK( was_logged( f.log, target.str() ) );
}
