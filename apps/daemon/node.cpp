#include "node.hpp"

#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/routing/policy_registry.hpp>

#include <glog/logging.h>

#include <chrono>
#include <future>
#include <set>
#include <thread>
#include <utility>

namespace apps::daemon
{

namespace
{

using namespace std::chrono_literals;

constexpr auto beat_period = core::duration( 1s );
constexpr auto list_period = core::duration( 2s );
constexpr auto tidy_period = core::duration( 10s );
constexpr auto port_retry_period = core::duration( 200ms );
/// Unusable entries of one list that are logged; a counter has all of them.
constexpr auto max_logged_entries = std::size_t{ 10 };
/// Forwarded calls and changes of configuration that may wait at once.
constexpr auto blocking_threads = std::size_t{ 4 };
constexpr auto drain_check_period = 20ms;
/// Longest wait for a forwarded call beyond its own time.
constexpr auto forward_slack = core::duration( 1s );

/// Rises from start to start, as long as the system's clock does not go back
/// by more than the time that a restart takes.
auto new_incarnation() -> core::incarnation
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return core::incarnation(
        std::chrono::duration_cast<std::chrono::microseconds>( now ).count() );
}

/// One body is served in any case, however small the memory.
auto listening_limits_for(
    pollenstream::settings::daemon_settings const& settings )
    -> adapters::http::listening_limits
{
    auto limits = adapters::http::listening_limits_of( settings.memory );
    limits.received_bytes =
        std::max( limits.received_bytes, 2 * settings.largest_body );
    return limits;
}

auto seed_of( core::instance_id const& id, core::incarnation incarnation )
    -> std::uint64_t
{
    return core::stable_hash(
        id.str(), static_cast<std::uint64_t>( incarnation.count() ) );
}

/// Logs broken answers of engines, plain services, the store and the list.
class broken_answer_log : public adapters::asio::broken_answer_observer
{
public:
    auto on_broken_answer( adapters::asio::broken_answer_report const& report )
        -> void override
    {
        LOG( WARNING ) << "an answer of " << core::to_string( report.from )
                       << " is broken, " << describe( report );
    }
};

}

node::node( pollenstream::settings::daemon_settings settings,
            std::function<void()> on_drain )
    : settings_( std::move( settings ) ), incarnation_( new_incarnation() ),
      timer_( clock_ ), blocking_( blocking_threads ),
      store_( settings_.store ), list_( settings_.list ),
      policy_( routing::make_policy( "predicted",
                                     seed_of( settings_.id, incarnation_ ) ) ),
      shared_( { settings_.id, incarnation_ },
               clock_,
               timer_,
               engines_,
               targets_,
               *policy_,
               retries_,
               metrics_ ),
      holder_( codec_ ), publisher_( store_, codec_, holder_ ),
      follower_(
          store_, codec_, holder_, seed_of( settings_.id, incarnation_ ) ),
      ledger_( settings_.id, incarnation_ ),
      members_( self_member(), seed_of( settings_.id, incarnation_ ) ),
      heartbeats_( members_, holder_, codec_, peers_, clock_ ),
      watch_( std::make_shared<membership::target_watch>( settings_.id,
                                                          settings_.data_centre,
                                                          holder_,
                                                          targets_,
                                                          *policy_,
                                                          engines_,
                                                          clock_ ) ),
      gateway_( shared_,
                holder_,
                members_,
                ledger_,
                services_,
                peers_,
                settings_.entry_keep ),
      ports_loop_( std::make_shared<adapters::http::listening_loop>(
          listening_limits_for( settings_ ) ) ),
      callers_( settings_.callers,
                { settings_.largest_body },
                gateway_,
                blocking_,
                ports_loop_ ),
      operators_( settings_.operators,
                  settings_.token,
                  sources(),
                  publisher_,
                  codec_,
                  { std::move( on_drain ),
                    [this]( core::revision r )
                    {
                        return reach( r );
                    },
                    [this]( std::function<void()> work )
                    {
                        blocking_.post( std::move( work ) );
                    } },
                  ports_loop_ )
{
    adapters::http::observe_broken_answers(
        std::make_shared<broken_answer_log>() );
}

node::~node()
{
    tasks_.clear();
}

auto node::self_member() const -> membership::member
{
    auto self = membership::member{};
    self.id = settings_.id;
    self.data_centre = settings_.data_centre;
    self.callers = settings_.callers;
    self.peers = settings_.peers;
    self.incarnation = incarnation_;
    return self;
}

auto node::sources() -> adapters::http::dump_sources
{
    return { shared_,  gateway_,    holder_, ledger_,
             members_, heartbeats_, *watch_, *ports_loop_ };
}

auto node::start( pause_or_stop const& pause ) -> bool
{
    auto const open_peers = [this]
    {
        peer_server_ = std::make_unique<adapters::thrift::peer_thrift_server>(
            settings_.peers, *this, ports_loop_ );
    };
    auto const open_callers = [this]
    {
        callers_.open();
    };
    if ( !open_when_free( settings_.peers, open_peers, pause ) )
        return false;
    read_list();
    open_operators();
    start_tasks();
    if ( !open_when_free( settings_.callers, open_callers, pause ) )
        return false;
    LOG( INFO ) << "instance " << settings_.id.str() << " in "
                << settings_.data_centre.str() << " serves callers at "
                << core::to_string( settings_.callers );
    return true;
}

/// Waits until the address can be opened. Returns false if the process has been
/// asked to stop meanwhile.
auto node::open_when_free( core::address const& at,
                           std::function<void()> const& open,
                           pause_or_stop const& pause ) -> bool
{
    auto problem = std::string{};
    while ( !try_to_open( at, open, problem ) )
        if ( !pause() )
            return false;
    return true;
}

/// `problem`: of the last try; a new one is logged.
auto node::try_to_open( core::address const& at,
                        std::function<void()> const& open,
                        std::string& problem ) -> bool
{
    try
    {
        open();
    }
    catch ( std::exception const& e )
    {
        if ( std::exchange( problem, e.what() ) != e.what() )
            LOG( WARNING ) << "waits for " << core::to_string( at ) << ": "
                           << e.what();
        return false;
    }
    if ( !problem.empty() )
        LOG( INFO ) << "listens at " << core::to_string( at );
    return true;
}

/// Callers are served without the operators' port.
auto node::open_operators() -> core::duration
{
    if ( !operators_are_open_ )
        operators_are_open_ = try_to_open(
            settings_.operators,
            [this]
            {
                operators_.open();
            },
            operators_problem_ );
    return operators_are_open_ ? tidy_period : port_retry_period;
}

auto node::start_tasks() -> void
{
    auto const run = [this]( periodic_task::body body )
    {
        tasks_.push_back(
            std::make_unique<periodic_task>( std::move( body ) ) );
    };
    run(
        [this]
        {
            return beat();
        } );
    run(
        [this]
        {
            return read_list();
        } );
    run(
        [this]
        {
            return open_operators();
        } );
    run(
        [this]
        {
            return follow();
        } );
    run(
        [this]
        {
            watch_->poll();
            return core::duration( 1s ) / settings_.load_polls_per_second;
        } );
    run(
        [this]
        {
            gateway_.remove_expired();
            return tidy_period;
        } );
}

auto node::beat() -> core::duration
{
    members_.set_open_requests( shared_.open_sessions.load() );
    heartbeats_.run_round();
    note_left_out();
    return beat_period;
}

/// Logs the first time only; the dump has the number.
auto node::note_left_out() -> void
{
    if ( members_.left_out() == 0 || std::exchange( logged_left_out_, true ) )
        return;
    LOG( WARNING ) << "heartbeats name more instances than can be known, or "
                      "names that are too long: these are left out";
}

auto node::read_list() -> core::duration
{
    auto fetched = list_.fetch();
    if ( !fetched )
        watch_->failed_listings.add();
    note_list_problem( fetched ? "" : fetched.error().detail );
    if ( fetched && fetched.value() )
    {
        note_unusable_entries( listing_.unusable, fetched.value()->unusable );
        listing_ = std::move( *fetched.value() );
    }
    // Taken over each time: what this instance watches follows the
    // configuration too.
    members_.add_listed( listing_.instances, clock_.now() );
    watch_->apply_listing( listing_ );
    return list_period;
}

/// Logs a few of the reasons that the list before did not have.
auto node::note_unusable_entries( std::vector<std::string> const& before,
                                  std::vector<std::string> const& now ) -> void
{
    watch_->unusable_entries.add( now.size() );
    auto is_known = std::set( before.begin(), before.end() );
    auto logged = std::size_t{ 0 };
    for ( auto const& why : now )
    {
        if ( logged == max_logged_entries )
            return;
        if ( !is_known.insert( why ).second )
            continue;
        LOG( WARNING ) << "an entry of the list is left out: " << why;
        ++logged;
    }
}

auto node::note_list_problem( std::string const& problem ) -> void
{
    if ( problem == std::exchange( list_problem_, problem ) )
        return;
    if ( problem.empty() )
        LOG( INFO ) << "the list can be read again";
    else
        LOG( WARNING ) << "the list cannot be read, its last content stays in "
                          "force: "
                       << problem;
}

auto node::follow() -> core::duration
{
    auto const before = holder_.revision();
    auto const pause = follower_.follow_once();
    if ( holder_.revision() != before )
        LOG( INFO ) << "configuration revision " << holder_.revision().count()
                    << " is in force";
    return pause;
}

auto node::reach( core::revision wanted ) -> adapters::http::revision_reach
{
    auto all = members_.all();
    auto mine = ports::heartbeat{};
    mine.sender = members_.self();
    mine.revision = holder_.revision();
    auto out = adapters::http::revision_reach{};
    auto answers = std::vector<std::future<bool>>{};
    for ( auto const& each : all )
    {
        if ( each.phase == membership::member_phase::gone )
            continue;
        ++out.asked;
        answers.push_back(
            std::async( std::launch::async,
                        [this, mine, wanted, peers = each.peers]
                        {
                            auto const theirs = peers_.exchange( peers, mine );
                            return theirs && theirs.value().revision >= wanted;
                        } ) );
    }
    for ( auto& each : answers )
        out.in_force += each.get() ? 1 : 0;
    return out;
}

auto node::stop() -> std::int64_t
{
    LOG( INFO ) << "planned stop: leaving, " << shared_.open_sessions.load()
                << " requests open";
    members_.leave( clock_.now() );
    heartbeats_.announce();
    std::this_thread::sleep_for( settings_.entry_keep );
    gateway_.close();
    auto const cut = wait_for_requests();
    callers_.close();
    core::check_invariant( core::invariant::stop_cuts_nothing, cut == 0,
                           std::to_string( cut ) + " requests were open" );
    operators_.close();
    for ( auto const& each : tasks_ )
        each->ask_to_stop();
    peer_server_.reset();
    LOG( INFO ) << "stopped, " << cut << " requests cut";
    return cut;
}

auto node::wait_for_requests() -> std::int64_t
{
    auto const limit = clock_.now() + settings_.drain_limit;
    while ( shared_.open_sessions.load() > 0 && clock_.now() < limit )
        std::this_thread::sleep_for( drain_check_period );
    return shared_.open_sessions.load();
}

auto node::on_exchange( ports::heartbeat const& theirs ) -> ports::heartbeat
{
    return heartbeats_.answer( theirs );
}

auto node::on_fetch_configuration(
    core::revision newer_than, std::vector<std::string> const& known_hashes )
    -> ports::peer_configuration
{
    return heartbeats_.answer_fetch( newer_than, known_hashes );
}

auto node::on_call( ports::forwarded_call const& what ) -> state::call_outcome
{
    auto wanted = sessions::plain_call{};
    wanted.service = what.service;
    wanted.profile = what.profile;
    wanted.workspace = what.workspace;
    wanted.ticket = what.ticket;
    wanted.call = what.call;
    auto answer = std::make_shared<std::promise<state::call_outcome>>();
    auto outcome = answer->get_future();
    gateway_.call_locally( wanted,
                           [answer]( state::call_outcome const& o )
                           {
                               answer->set_value( o );
                           } );
    auto const limit = what.call.time_left + forward_slack;
    if ( outcome.wait_for( limit ) == std::future_status::ready )
        return outcome.get();
    auto late = state::call_outcome{};
    late.reason = "deadline";
    late.detail = "the call was still running at its deadline";
    return late;
}

}
