#include <pollenstream/core/invariant.hpp>
#include <pollenstream/routing/target.hpp>
#include <pollenstream/state/call_ledger.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace std::chrono_literals;
namespace core = pollenstream::core;

namespace
{

/// Collects violations instead of aborting, until it is destroyed.
class violation_collector
{
public:
    violation_collector()
        : previous_handler_( core::invariant_monitor::instance().set_handler(
              [this]( core::invariant which, std::string const& )
              {
                  seen.push_back( which );
              } ) )
    {
    }
    ~violation_collector()
    {
        core::invariant_monitor::instance().set_handler( previous_handler_ );
    }
    violation_collector( violation_collector const& ) = delete;
    auto operator=( violation_collector const& )
        -> violation_collector& = delete;

    std::vector<core::invariant> seen;

private:
    core::invariant_monitor::handler previous_handler_;
};

}

TEST_CASE( "only a violated check counts as a violation and calls the handler",
           "[invariants]" )
{
    auto violations = violation_collector();
    auto& monitor = core::invariant_monitor::instance();
    auto const which = core::invariant::answer_is_whole;
    auto const checks = monitor.checks( which );
    auto const count = monitor.violations( which );
    core::check_invariant( which, true, "fine" );
    core::check_invariant( which, false, "broken" );
    CHECK( monitor.checks( which ) == checks + 2 );
    CHECK( monitor.violations( which ) == count + 1 );
    CHECK( violations.seen == std::vector{ which } );
}

TEST_CASE( "a call that is finished twice violates at_most_once",
           "[invariants][tickets]" )
{
    namespace state = pollenstream::state;
    auto violations = violation_collector();
    auto ledger =
        state::call_ledger( core::instance_id( "i" ), core::incarnation( 1 ) );
    auto const ticket =
        state::call_ticket{ core::instance_id( "i" ), core::incarnation( 1 ),
                            core::instant( 9s ), core::idempotency_key( "k" ) };
    ledger.begin( ticket, "s", core::instant( 1s ),
                  []( state::call_outcome const& ) {} );
    auto outcome = state::call_outcome{};
    outcome.status = pollenstream::ports::answer_status::complete;
    ledger.finish( ticket, "s", outcome );
    CHECK( violations.seen.empty() );
    ledger.finish( ticket, "s", outcome );
    CHECK( violations.seen == std::vector{ core::invariant::at_most_once } );
}

TEST_CASE( "a target that has been leaving for four seconds gets no work",
           "[invariants]" )
{
    auto t = pollenstream::routing::target( {} );
    auto const now = core::instant( 100s );
    t.set_phase( pollenstream::routing::target_phase::leaving, now );
    CHECK( t.may_get_work( now + 1s ) );
    CHECK_FALSE( t.may_get_work( now + 4s ) );
}
