#include "schedule_run.hpp"

#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/ports/answer_sink.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/sessions/session.hpp>

#include <algorithm>
#include <fake_engines.hpp>
#include <held_time.hpp>
#include <memory>

namespace soak
{

namespace
{

using namespace std::chrono_literals;
namespace ports = pollenstream::ports;
namespace profiles = pollenstream::profiles;
namespace routing = pollenstream::routing;
namespace sessions = pollenstream::sessions;

constexpr auto engine_memory = std::int64_t{ 100'000 };
constexpr auto output_tokens = std::int64_t{ 24 };
constexpr auto probe_period = core::duration( 250ms );
constexpr auto restart_time = core::duration( 1s );
constexpr auto fault_time = core::duration( 3s );
/// Longer than any request and any reservation lives.
constexpr auto settle_time = core::duration( 10min );
/// Within this after the last answer all memory is free. A hung engine takes
/// its cancels when it wakes.
constexpr auto prompt_release = core::duration( 5s );
constexpr auto bytes_per_token = std::int64_t{ 4 };

/// A caller that checks what it is sent.
class checking_caller : public ports::answer_sink
{
public:
    checking_caller( std::string prompt, core::instant deadline )
        : prompt_( std::move( prompt ) ), deadline_( deadline )
    {
    }

    auto write( std::string_view text, std::int64_t ) -> bool override
    {
        text_ += text;
        return !gone;
    }
    auto keep_alive() -> bool override
    {
        return !gone;
    }
    auto finish( ports::answer_end const& end ) -> void override
    {
        ++finishes;
        status = end.status;
    }

    [[nodiscard]] auto is_right() const -> bool
    {
        auto wanted = std::string{};
        auto const hash = standins::prompt_hash( prompt_ );
        for ( auto p = std::int64_t{ 0 }; p < output_tokens; ++p )
            wanted += standins::token_text( hash, p );
        return status == ports::answer_status::complete
                   ? text_ == wanted
                   : wanted.substr( 0, text_.size() ) == text_;
    }
    [[nodiscard]] auto text() const -> std::string const&
    {
        return text_;
    }
    [[nodiscard]] auto deadline() const -> core::instant
    {
        return deadline_;
    }

    bool gone{ false };
    bool orphaned{ false }; ///< its instance ended
    int finishes{ 0 };
    ports::answer_status status{ ports::answer_status::unknown };

private:
    std::string prompt_;
    core::instant deadline_;
    std::string text_;
};

/// Passes calls on until its instance ends: then nothing is sent any more, and
/// nothing that comes is heard.
class instance_engines : public ports::engine_client
{
public:
    explicit instance_engines( ports::engine_client& behind )
        : behind_( behind )
    {
    }

    auto open( ports::engine_endpoint const& engine,
               ports::engine_request const& request,
               std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<ports::engine_stream> override
    {
        return behind_.open( engine, request, std::move( listener ) );
    }
    auto resume( ports::engine_endpoint const& engine,
                 ports::engine_request const& request,
                 std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<ports::engine_stream> override
    {
        return behind_.resume( engine, request, std::move( listener ) );
    }
    auto reserve( ports::engine_endpoint const& engine,
                  ports::reservation_request const& reservation,
                  done callback ) -> void override
    {
        if ( !lost )
            behind_.reserve( engine, reservation, std::move( callback ) );
    }
    auto release( ports::engine_endpoint const& engine,
                  core::reservation_id const& reservation,
                  done callback ) -> void override
    {
        if ( !lost )
            behind_.release( engine, reservation, std::move( callback ) );
    }
    auto fill_span( ports::engine_endpoint const& engine,
                    core::reservation_id const& reservation,
                    core::token_count tokens,
                    core::duration limit,
                    done callback ) -> void override
    {
        if ( !lost )
            behind_.fill_span( engine, reservation, tokens, limit,
                               std::move( callback ) );
    }
    auto load( ports::engine_endpoint const& engine, load_done callback )
        -> void override
    {
        behind_.load( engine, std::move( callback ) );
    }
    auto held( ports::engine_endpoint const& engine, held_done callback )
        -> void override
    {
        behind_.held( engine, std::move( callback ) );
    }
    auto drop( ports::engine_endpoint const& engine,
               core::request_id const& request,
               done callback ) -> void override
    {
        behind_.drop( engine, request, std::move( callback ) );
    }

    bool lost{ false };

private:
    ports::engine_client& behind_;
};

/// One instance of the run.
struct instance
{
    explicit instance( ports::engine_client& engines ) : calls( engines ) {}

    instance_engines calls;
    routing::target_table targets;
    std::unique_ptr<routing::target_policy> policy;
    pollenstream::admission::retry_budget retries;
    pollenstream::metrics::request_metrics metrics;
    std::unique_ptr<sessions::context> shared;
};

class schedule_run
{
public:
    explicit schedule_run( fault_schedule const& schedule )
        : schedule_( schedule )
    {
        engines_.set_crossed( schedule_.seed % 3 == 0 );
        for ( auto i = 0; i < schedule_.engines; ++i )
            add_engine( "engine-" + std::to_string( i ) );
        for ( auto i = 0; i < schedule_.instances; ++i )
            add_instance( i );
    }

    auto run() -> run_report
    {
        auto const former = core::invariant_monitor::instance().set_handler(
            [this]( core::invariant which, std::string const& detail )
            {
                on_violation( which, detail );
            } );
        auto const begin = time_.now();
        for ( auto const& step : schedule_.steps )
        {
            engines_.run_for( std::max( core::duration( 0 ),
                                        begin + step.at - time_.now() ) );
            ++report_.steps[static_cast<std::size_t>( step.kind )];
            take( step );
        }
        wait_for_callers();
        check_memory();
        engines_.run_for( settle_time );
        is_over_ = true;
        check_callers();
        if ( engines_.memory_held() != 0 )
            note( "memory is held for nobody: " +
                  std::to_string( engines_.memory_held() ) );
        core::invariant_monitor::instance().set_handler( former );
        return std::move( report_ );
    }

private:
    /// Runs on until every caller has its last word.
    auto wait_for_callers() -> void
    {
        auto const is_open = []( auto const& each )
        {
            return each->finishes == 0 && !each->orphaned;
        };
        auto const limit = time_.now() + settle_time;
        while ( time_.now() < limit &&
                std::any_of( callers_.begin(), callers_.end(), is_open ) )
            engines_.run_for( core::duration( 100ms ) );
    }

    /// What ended requests held is given back at once, not at a time limit.
    auto check_memory() -> void
    {
        engines_.run_for( prompt_release );
        if ( engines_.memory_held() != 0 && !has_lost_one() )
            note( "memory is held after the last request has ended: " +
                  std::to_string( engines_.memory_held() ) );
    }

    auto on_violation( core::invariant which, std::string const& detail )
        -> void
    {
        // The objects of an instance that ended are still there and cannot
        // give back what a dead process cannot either.
        auto const is_of_the_lost =
            which == core::invariant::memory_is_returned && has_lost_one();
        if ( !is_of_the_lost )
            note( std::string( core::name_of( which ) ) + ": " + detail );
    }

    [[nodiscard]] auto has_lost_one() const -> bool
    {
        return std::any_of( instances_.begin(), instances_.end(),
                            []( auto const& each )
                            {
                                return each->calls.lost;
                            } );
    }

    auto note( std::string what ) -> void
    {
        report_.violations.push_back( std::move( what ) );
    }

    auto add_engine( std::string const& id ) -> void
    {
        auto settings = standins::engine_settings{};
        settings.memory_tokens = engine_memory;
        settings.cache_tokens = engine_memory;
        engines_.add( id, settings );
        identities_.push_back( { core::target_id( id ),
                                 core::service_id( "model" ),
                                 core::data_centre_id( "here" ),
                                 { "127.0.0.1", 1 } } );
    }

    auto add_instance( int number ) -> void
    {
        auto one = std::make_unique<instance>( engines_ );
        one->policy = routing::make_policy(
            "predicted",
            schedule_.seed * 10 + static_cast<std::uint64_t>( number ) );
        one->targets.replace( identities_, time_.now() );
        one->shared = std::make_unique<sessions::context>(
            ports::memory_owner{
                core::instance_id( "i" + std::to_string( number ) ),
                core::incarnation( 1 ) },
            time_, time_, one->calls, one->targets, *one->policy, one->retries,
            one->metrics );
        instances_.push_back( std::move( one ) );
        probe( *instances_.back() );
    }

    /// Asks every target for its load, as `target_watch` does one by one.
    auto probe( instance& one ) -> void
    {
        if ( is_over_ )
            return;
        for ( auto const& each : one.targets.all() )
            engines_.load(
                { each->identity().id, each->identity().address },
                [this, each]( core::result<ports::load_report> const& report )
                {
                    take_report( *each, report );
                } );
        time_.at( time_.now() + probe_period,
                  [this, &one]
                  {
                      probe( one );
                  } );
    }

    auto take_report( routing::target& which,
                      core::result<ports::load_report> const& report ) -> void
    {
        if ( !report )
            return;
        which.take_report( report.value(), time_.now() );
        if ( which.phase() == routing::target_phase::suspect )
            which.set_phase( routing::target_phase::alive, time_.now() );
    }

    auto take( schedule_step const& step ) -> void
    {
        auto const engine =
            "engine-" + std::to_string( step.which % static_cast<std::uint64_t>(
                                                         schedule_.engines ) );
        switch ( step.kind )
        {
        case step_kind::send:
            send( step );
            return;
        case step_kind::go_away:
            if ( !callers_.empty() )
                callers_[step.which % callers_.size()]->gone = true;
            return;
        case step_kind::kill:
            engines_.kill( engine );
            later( restart_time,
                   [this, engine]
                   {
                       engines_.revive( engine );
                   } );
            return;
        case step_kind::cut:
            engines_.cut_connections( engine );
            return;
        case step_kind::silence:
            engines_.silence_connections( engine );
            return;
        case step_kind::hang:
            engines_.set_hung( engine, true );
            later( fault_time,
                   [this, engine]
                   {
                       engines_.set_hung( engine, false );
                   } );
            return;
        case step_kind::leave:
            set_phase( engine, routing::target_phase::leaving );
            later( fault_time,
                   [this, engine]
                   {
                       set_phase( engine, routing::target_phase::alive );
                   } );
            return;
        case step_kind::lose_instance:
            lose_instance( step.which );
            return;
        }
    }

    auto later( core::duration after, std::function<void()> what ) -> void
    {
        time_.at( time_.now() + after, std::move( what ) );
    }

    auto set_phase( std::string const& engine, routing::target_phase phase )
        -> void
    {
        for ( auto const& each : instances_ )
            each->targets.find( core::target_id( engine ) )
                ->set_phase( phase, time_.now() );
    }

    /// The instance's calls stop; its memory at engines has to come free by
    /// their time limits.
    auto lose_instance( std::uint64_t which ) -> void
    {
        auto const number = which % instances_.size();
        if ( number == 0 )
            return;
        instances_[number]->calls.lost = true;
        for ( auto i = std::size_t{ 0 }; i < callers_.size(); ++i )
        {
            if ( owners_[i] == number )
                callers_[i]->orphaned = true;
        }
    }

    auto send( schedule_step const& step ) -> void
    {
        auto const number = step.which % instances_.size();
        auto& one = *instances_[number];
        if ( one.calls.lost )
            return;
        auto prompt = "request " + std::to_string( callers_.size() ) + " ";
        prompt.resize(
            static_cast<std::size_t>( step.tokens * bytes_per_token ), 'x' );
        auto profile = profiles::profile{};
        profile.service = core::service_id( "model" );
        profile.request_priority = step.tokens > 4'000
                                       ? profiles::priority::bulk
                                       : profiles::priority::urgent;
        profile.time_base = 30s;
        profile.time_per_1k_tokens = 500ms;
        profile.retries = 3;
        profile.max_output = core::token_count( output_tokens );
        auto const deadline =
            time_.now() +
            profiles::time_limit( profile, core::token_count( step.tokens ) );
        auto caller = std::make_shared<checking_caller>( prompt, deadline );
        callers_.push_back( caller );
        owners_.push_back( number );
        auto wanted = sessions::request{};
        wanted.workspace = core::workspace_id( "w" );
        wanted.prompt = std::make_shared<std::string const>( prompt );
        std::make_shared<sessions::session>( *one.shared, wanted, profile,
                                             std::move( caller ) )
            ->start();
    }

    auto check_callers() -> void
    {
        auto number = 0;
        for ( auto const& each : callers_ )
        {
            auto const name = "caller " + std::to_string( number++ );
            if ( each->finishes != 1 && !each->orphaned )
                note( name + " was told " + std::to_string( each->finishes ) +
                      " ends" );
            if ( !each->is_right() )
                note( name + " read what is not its answer" );
            count( each->status );
            report_.hash = core::stable_hash(
                each->text() + std::to_string( each->finishes ), report_.hash );
        }
    }

    auto count( ports::answer_status status ) -> void
    {
        if ( status == ports::answer_status::complete )
            ++report_.complete;
        else if ( status == ports::answer_status::not_run )
            ++report_.not_run;
        else
            ++report_.failed;
    }

    fault_schedule const& schedule_;
    standins::held_time time_;
    standins::fake_engines engines_{ time_ };
    std::vector<routing::target_identity> identities_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::shared_ptr<checking_caller>> callers_;
    std::vector<std::uint64_t> owners_; ///< instance of each caller
    run_report report_;
    bool is_over_{ false };
};

}

auto run_schedule( fault_schedule const& schedule ) -> run_report
{
    return schedule_run( schedule ).run();
}

auto shorten( fault_schedule schedule ) -> fault_schedule
{
    auto is_shorter = true;
    while ( is_shorter )
    {
        is_shorter = false;
        for ( auto i = schedule.steps.size(); i-- > 0; )
        {
            auto without = schedule;
            without.steps.erase( without.steps.begin() +
                                 static_cast<std::ptrdiff_t>( i ) );
            if ( run_schedule( without ).violations.empty() )
                continue;
            schedule = without;
            is_shorter = true;
        }
    }
    return schedule;
}

}
