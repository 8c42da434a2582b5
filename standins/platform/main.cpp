#include "runner.hpp"
#include <pollenstream/adapters/asio/asio_scheduler.hpp>

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace
{

namespace asio = pollenstream::adapters::asio;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;
using nlohmann::json;
using namespace standins::platform;

constexpr auto usage =
    R"(pollenstream-platform-standin - the users' platform in small, for tests.

Usage:
  pollenstream-platform-standin [--engines=N] [--plain=N] [--seed=N]
  pollenstream-platform-standin --help

Prints one line of JSON that says where the store, the runners and the control
listen. Control: POST /register, /config, /store, /forget, /runner, /end;
GET /record, /working.

Options:
  --engines=N  Runners of service `model` [default: 4].
  --plain=N    Runners of service `plain` [default: 2].
  --seed=N     Of its faults [default: 1].
)";

constexpr auto status_ok = 200;
constexpr auto status_not_found = 404;

/// One runner with its listener.
struct listening_runner
{
    std::unique_ptr<runner> what;
    std::unique_ptr<asio::caller_listener> listener;
};

/// The whole platform in one process.
class small_platform : public asio::request_handler
{
public:
    small_platform( asio::net::io_context& io, std::uint64_t seed )
        : io_( io ), scheduler_( io ), seed_( seed ), store_( scheduler_, seed )
    {
        store_listener_ =
            std::make_unique<asio::caller_listener>( io, any(), store_ );
        control_ = std::make_unique<asio::caller_listener>( io, any(), *this );
    }

    auto add( std::string const& service, int count ) -> void
    {
        for ( auto i = 0; i < count; ++i )
        {
            auto s = runner::settings{};
            s.id = "i-" + service + std::to_string( ++last_ );
            s.service = service;
            auto added = listening_runner{};
            added.what = std::make_unique<runner>(
                s, store_, scheduler_, records_, crashes_,
                seed_ + static_cast<std::uint64_t>( last_ ) );
            added.listener = std::make_unique<asio::caller_listener>(
                io_, any(), *added.what );
            added.what->on_listening =
                [this, id = s.id,
                 address = added.listener->address()]( bool is_up )
            {
                // Not within a call of the listener itself.
                asio::net::post( io_,
                                 [this, id, address, is_up]
                                 {
                                     listen( id, address, is_up );
                                 } );
            };
            runners_[s.id] = std::move( added );
        }
    }

    [[nodiscard]] auto addresses() const -> json
    {
        auto runners = json::object();
        for ( auto const& [id, r] : runners_ )
            runners[id] = core::to_string( r.listener->address() );
        return { { "store", core::to_string( store_listener_->address() ) },
                 { "control", core::to_string( control_->address() ) },
                 { "runners", std::move( runners ) } };
    }

    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        return {};
    }
    auto handle( asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override
    {
        auto reply = json::object();
        auto const body = json::parse( request.body, nullptr, false );
        auto const known = control( request, body, reply );
        answer->send_whole( { known ? status_ok : status_not_found,
                              { { "Content-Type", "application/json" } },
                              reply.dump() } );
        return nullptr;
    }

private:
    static auto any() -> core::address
    {
        return { "127.0.0.1", 0 };
    }

    auto listen( std::string const& id,
                 core::address const& address,
                 bool is_up ) -> void
    {
        auto& r = runners_.at( id );
        if ( !is_up )
            return r.listener->stop_accepting();
        // Connections of the former one may still be open.
        former_.push_back( std::move( r.listener ) );
        r.listener =
            std::make_unique<asio::caller_listener>( io_, address, *r.what );
    }

    auto control( asio::raw_request const& request,
                  json const& body,
                  json& reply ) -> bool
    {
        if ( request.target == "/register" )
            runners_.at( body.at( "id" ) )
                .what->register_at( body.at( "address" ) );
        else if ( request.target == "/config" )
            configure( request.body, body );
        else if ( request.target == "/store" )
            store_.set_faults( store_faults_of( body ) );
        else if ( request.target == "/forget" )
            store_.forget();
        else if ( request.target == "/runner" )
            change_runner( body );
        else if ( request.target == "/end" )
            end_runners( body.at( "ids" ) );
        else if ( request.target == "/record" )
            reply = record();
        else if ( request.target == "/working" )
            reply = open_requests();
        else
            return false;
        return true;
    }
    auto configure( std::string const& text, json const& body ) -> void
    {
        store_.put( "op/config", text );
        for ( auto& [id, r] : runners_ )
            r.what->set_version( body.at( "version" ) );
    }
    static auto store_faults_of( json const& body ) -> store_faults
    {
        auto f = store_faults{};
        f.silent = body.value( "silent", false );
        f.busy = body.value( "busy", false );
        f.slow = std::chrono::milliseconds( body.value( "slow_ms", 0 ) );
        f.lost = body.value( "lost", 0.0 );
        f.lost_late = std::chrono::milliseconds( body.value( "late_ms", 0 ) );
        return f;
    }
    static auto leaving_of( std::string const& text ) -> runner::leaving_told
    {
        if ( text == "answers" )
            return runner::leaving_told::in_answers_only;
        return text == "says" ? runner::leaving_told::in_store
                              : runner::leaving_told::entry_removed;
    }
    auto change_runner( json const& body ) -> void
    {
        auto& r = *runners_.at( body.at( "id" ) ).what;
        if ( body.contains( "hold_ms" ) )
            return r.hold( std::chrono::milliseconds( body.at( "hold_ms" ) ) );
        if ( body.contains( "end" ) )
            return r.end_now();
        auto f = runner_faults{};
        f.mute = body.value( "mute", false );
        f.fail = body.value( "fail", 0.0 );
        f.shed = body.value( "shed", 0.0 );
        f.cut = body.value( "cut", 0.0 );
        f.pause_s = body.value( "pause_s", 0.0 );
        f.slow = body.value( "slow", 1 );
        f.read = std::chrono::milliseconds( body.value( "read_ms", 0 ) );
        f.limit = body.value( "limit", -1.0 );
        r.set_faults( f );
        if ( body.contains( "leave" ) )
            r.leave( leaving_of( body.at( "leave" ) ) );
    }
    /// Ends all of them at one moment.
    auto end_runners( json const& ids ) -> void
    {
        for ( auto const& id : ids )
            runners_.at( id ).what->end_now();
    }
    /// Number of open requests by runner.
    [[nodiscard]] auto open_requests() const -> json
    {
        auto open = json::object();
        for ( auto const& [id, r] : runners_ )
            open[id] = r.what->open_requests();
        return open;
    }
    [[nodiscard]] auto record() const -> json
    {
        auto runs = json::array();
        for ( auto const& r : records_ )
            runs.push_back( { { "attempt", r.attempt },
                              { "target", r.target },
                              { "path", r.path },
                              { "body", r.body },
                              { "fatal_part", r.fatal_part },
                              { "pause_s", r.pause_s },
                              { "workspace", r.workspace },
                              { "ran", r.ran },
                              { "leaked_key", r.leaked_key },
                              { "at_ms", r.at_ms },
                              { "end", to_string( r.end ) },
                              { "ended_ms", r.ended_ms },
                              { "status", r.status },
                              { "last_event_ms", r.last_event_ms },
                              { "limit", r.limit },
                              { "head_ms", r.head_ms },
                              { "leaving_ms", r.leaving_ms },
                              { "version", r.version } } );
        auto crashes = json::array();
        for ( auto const& c : crashes_ )
            crashes.push_back( { { "body", c.body },
                                 { "fatal_part", c.fatal_part },
                                 { "attempt", c.attempt },
                                 { "target", c.target },
                                 { "at_ms", c.at_ms } } );
        auto reserved = std::int64_t{ 0 };
        auto open = std::int64_t{ 0 };
        for ( auto const& [id, r] : runners_ )
        {
            reserved += r.what->reserved_tokens();
            open += r.what->open_requests();
        }
        return { { "runs", std::move( runs ) },
                 { "crashes", std::move( crashes ) },
                 { "reserved", reserved },
                 { "open", open } };
    }

    asio::net::io_context& io_;
    asio::asio_scheduler scheduler_;
    std::uint64_t seed_;
    store store_;
    run_records records_;
    crash_records crashes_;
    std::map<std::string, listening_runner> runners_;
    std::vector<std::unique_ptr<asio::caller_listener>> former_;
    std::unique_ptr<asio::caller_listener> store_listener_;
    std::unique_ptr<asio::caller_listener> control_;
    int last_{ 0 };
};

}

auto main( int argc, char** argv ) -> int
{
    std::signal( SIGPIPE, SIG_IGN );
    auto args = docopt::docopt( usage, { argv + 1, argv + argc }, true );
    auto io = asio::net::io_context( 1 );
    auto platform = small_platform(
        io, static_cast<std::uint64_t>( args["--seed"].asLong() ) );
    platform.add( "model", static_cast<int>( args["--engines"].asLong() ) );
    platform.add( "plain", static_cast<int>( args["--plain"].asLong() ) );
    std::cout << platform.addresses().dump() << std::endl;
    auto signals = asio::net::signal_set( io, SIGTERM, SIGINT );
    signals.async_wait(
        [&io]( auto, int )
        {
            io.stop();
        } );
    io.run();
    return 0;
}
