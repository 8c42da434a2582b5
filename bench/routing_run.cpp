#include "routing_run.hpp"

#include <pollenstream/ports/answer_sink.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/sessions/context.hpp>
#include <pollenstream/sessions/session.hpp>

#include <algorithm>
#include <cmath>
#include <fake_engines.hpp>
#include <held_time.hpp>
#include <memory>
#include <random>

namespace bench
{

namespace
{

using namespace std::chrono_literals;
namespace ports = pollenstream::ports;
namespace routing = pollenstream::routing;
namespace sessions = pollenstream::sessions;

/// One target is asked for its load each time, as by the daemon.
constexpr auto poll_period = core::duration( 1s ) / 16;
constexpr auto bytes_per_token = std::int64_t{ 4 };
/// After the last arrival, time for the longest work to end.
constexpr auto drain_time = core::duration( 1500s );
constexpr auto upgrade_gap = core::duration( 5s );
constexpr auto upgrade_length = core::duration( 3s );

auto length_class( std::int64_t tokens ) -> std::size_t
{
    constexpr auto bounds = std::array{ 2'048, 20'480, 204'800 };
    auto slot = std::size_t{ 0 };
    while ( slot < bounds.size() && tokens > bounds[slot] )
        ++slot;
    return slot;
}

/// Measures one answer for the result.
class measured_answer : public ports::answer_sink
{
public:
    measured_answer( run_result& into,
                     standins::held_time& time,
                     arrival what,
                     bool is_short,
                     core::instant deadline )
        : into_( into ), time_( time ), what_( what ), is_short_( is_short ),
          sent_( time.now() ), deadline_( deadline )
    {
    }

    auto write( std::string_view, std::int64_t ) -> bool override
    {
        if ( std::exchange( started_, true ) )
            return true;
        auto const took = core::seconds_of( time_.now() - sent_ );
        into_.first_token[length_class( what_.tokens )].push_back( took );
        if ( is_short_ )
            into_.short_first_token.push_back( took );
        return true;
    }

    auto keep_alive() -> bool override
    {
        return true;
    }

    auto finish( ports::answer_end const& end ) -> void override
    {
        if ( end.status == ports::answer_status::complete )
        {
            ++into_.complete;
            into_.prompt_tokens_done += static_cast<double>( what_.tokens );
        }
        else if ( end.status == ports::answer_status::not_run )
            ++into_.refused;
        else
            ++into_.failed;
        auto const is_late = end.reason == "deadline" ||
                             time_.now() > deadline_ + core::duration( 10ms );
        if ( is_late )
            ++into_.missed_deadlines;
    }

private:
    run_result& into_;
    standins::held_time& time_;
    arrival what_;
    bool is_short_;
    core::instant sent_;
    core::instant deadline_;
    bool started_{ false };
};

/// One deciding instance.
struct instance
{
    routing::target_table targets;
    std::unique_ptr<routing::target_policy> policy;
    pollenstream::admission::retry_budget retries;
    pollenstream::metrics::request_metrics metrics;
    std::unique_ptr<sessions::context> shared;
};

class load_run
{
public:
    explicit load_run( run_plan const& plan ) : plan_( plan )
    {
        add_engines();
        for ( auto i = 0; i < plan_.instances; ++i )
            add_instance( i );
    }

    auto run() -> run_result
    {
        auto const begin = time_.now();
        if ( plan_.mix.upgrades )
            schedule_upgrade( 0 );
        for ( auto const& each : draw_arrivals( plan_.mix, plan_.seed ) )
        {
            auto const when = begin + each.at;
            engines_.run_for(
                std::max( core::duration( 0 ), when - time_.now() ) );
            send( each );
        }
        polling_ = false;
        engines_.run_for( drain_time );
        result_.seconds = plan_.mix.seconds;
        result_.memory_left = engines_.memory_held();
        return std::move( result_ );
    }

private:
    auto add_engines() -> void
    {
        auto settings = standins::engine_settings{};
        settings.chunk_tokens = plan_.chunk_tokens;
        settings.report_period = core::duration( 200ms );
        for ( auto i = 0; i < plan_.mix.engines; ++i )
        {
            auto const id = "engine-" + std::to_string( i );
            engines_.add( id, settings );
            identities_.push_back( { core::target_id( id ),
                                     core::service_id( "model" ),
                                     core::data_centre_id( "here" ),
                                     { "127.0.0.1", 1 } } );
        }
    }

    auto add_instance( int number ) -> void
    {
        auto one = std::make_unique<instance>();
        one->policy = routing::make_policy(
            plan_.policy,
            plan_.seed * 100 + static_cast<std::uint64_t>( number ) );
        one->targets.replace( identities_, time_.now() );
        one->shared = std::make_unique<sessions::context>(
            ports::memory_owner{
                core::instance_id( "i" + std::to_string( number ) ),
                core::incarnation( 1 ) },
            time_, time_, engines_, one->targets, *one->policy, one->retries,
            one->metrics );
        // Instances poll at different times.
        auto const first = poll_period * ( number + 1 ) / plan_.instances;
        time_.at( time_.now() + first,
                  [this, at = one.get()]
                  {
                      poll( *at );
                  } );
        instances_.push_back( std::move( one ) );
    }

    auto poll( instance& one ) -> void
    {
        if ( !polling_ )
            return;
        auto const all = one.targets.all();
        auto const oldest = *std::max_element(
            all.begin(), all.end(),
            [now = time_.now()]( auto const& a, auto const& b )
            {
                return a->probe_age( now ) < b->probe_age( now );
            } );
        oldest->note_probe( time_.now() );
        engines_.load( { oldest->identity().id, oldest->identity().address },
                       [this, &one, oldest](
                           core::result<ports::load_report> const& report )
                       {
                           take_report( one, oldest, report );
                       } );
        time_.at( time_.now() + poll_period,
                  [this, &one]
                  {
                      poll( one );
                  } );
    }

    [[nodiscard]] auto open_sessions() const -> std::int64_t
    {
        auto open = std::int64_t{ 0 };
        for ( auto const& each : instances_ )
            open += each->shared->open_sessions.load();
        return open;
    }

    auto take_report( instance& one,
                      std::shared_ptr<routing::target> const& which,
                      core::result<ports::load_report> const& report ) -> void
    {
        using routing::target_phase;
        if ( !report )
            return;
        which->take_report( report.value(), time_.now() );
        one.policy->note_cached( which->identity().id, report.value().cached );
        if ( which->phase() == target_phase::suspect )
            which->set_phase( target_phase::alive, time_.now() );
    }

    auto profile_of( work_kind const& kind ) const -> profiles::profile
    {
        auto p = profiles::profile{};
        p.id = core::profile_id( kind.name );
        p.service = core::service_id( "model" );
        p.request_priority = kind.order;
        p.time_base = kind.time_base;
        p.time_per_1k_tokens = kind.time_per_1k;
        p.retries = 3;
        p.max_output = core::token_count( kind.output_tokens );
        return p;
    }

    auto make_prompt( arrival const& what, work_kind const& kind )
        -> std::shared_ptr<std::string const>
    {
        auto const head = std::min( kind.shared_head, what.tokens );
        auto prompt =
            std::string( static_cast<std::size_t>( head * bytes_per_token ),
                         static_cast<char>( 'a' + what.workspace % 26 ) );
        prompt += kind.name + std::to_string( result_.sent ) + " ";
        prompt.resize(
            static_cast<std::size_t>( what.tokens * bytes_per_token ), '.' );
        return std::make_shared<std::string const>( std::move( prompt ) );
    }

    auto send( arrival const& what ) -> void
    {
        auto const& kind = plan_.mix.kinds[what.kind];
        auto& at = *instances_[what.draw % instances_.size()];
        auto wanted = sessions::request{};
        wanted.workspace =
            core::workspace_id( "w" + std::to_string( what.workspace ) );
        wanted.prompt = make_prompt( what, kind );
        ++result_.sent;
        auto const profile = profile_of( kind );
        auto const deadline =
            time_.now() +
            profiles::time_limit( profile, core::token_count( what.tokens ) );
        auto sink = std::make_shared<measured_answer>(
            result_, time_, what, kind.is_short, deadline );
        std::make_shared<sessions::session>( *at.shared, wanted, profile,
                                             std::move( sink ) )
            ->start();
    }

    /// Engine after engine leaves, ends when it is empty, and comes back.
    auto schedule_upgrade( int number ) -> void
    {
        if ( number >= plan_.mix.engines )
            return;
        auto const id = "engine-" + std::to_string( number );
        time_.at( time_.now() + upgrade_gap,
                  [this, id, number]
                  {
                      set_phase( id, routing::target_phase::leaving );
                      wait_until_empty( id, number );
                  } );
    }

    auto wait_until_empty( std::string const& id, int number ) -> void
    {
        if ( !engines_.model( id ).held().empty() )
        {
            time_.at( time_.now() + core::duration( 200ms ),
                      [this, id, number]
                      {
                          wait_until_empty( id, number );
                      } );
            return;
        }
        engines_.kill( id );
        time_.at( time_.now() + upgrade_length,
                  [this, id, number]
                  {
                      engines_.revive( id );
                      set_phase( id, routing::target_phase::alive );
                      schedule_upgrade( number + 1 );
                  } );
    }

    auto set_phase( std::string const& id, routing::target_phase phase ) -> void
    {
        for ( auto const& each : instances_ )
            each->targets.find( core::target_id( id ) )
                ->set_phase( phase, time_.now() );
    }

    run_plan const& plan_;
    standins::held_time time_;
    standins::fake_engines engines_{ time_ };
    std::vector<routing::target_identity> identities_;
    std::vector<std::unique_ptr<instance>> instances_;
    run_result result_;
    bool polling_{ true };
};

}

auto run_load( run_plan const& plan ) -> run_result
{
    return load_run( plan ).run();
}

auto quantile( std::vector<double> samples, double q ) -> double
{
    if ( samples.empty() )
        return 0;
    auto const last = static_cast<double>( samples.size() - 1 );
    auto const at = static_cast<std::ptrdiff_t>( std::lround( q * last ) );
    std::nth_element( samples.begin(), samples.begin() + at, samples.end() );
    return samples[static_cast<std::size_t>( at )];
}

}
