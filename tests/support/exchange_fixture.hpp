#ifndef TESTS_SUPPORT_EXCHANGE_FIXTURE_HPP
#define TESTS_SUPPORT_EXCHANGE_FIXTURE_HPP

#include "held_scheduler.hpp"
#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/placement_coordinator.hpp>
#include <pollenstream/peers/placement_router.hpp>

#include <string>
#include <vector>

namespace tests
{

namespace exchange = pollenstream::exchange;
namespace peers = pollenstream::peers;

/// Records what one caller receives.
class recorded_channel : public exchange::answer_channel
{
public:
    auto send_whole( exchange::whole_answer answer ) -> void override
    {
        whole = std::move( answer );
        ended = true;
    }
    auto start_stream( int status, exchange::header_list headers )
        -> void override
    {
        stream_status = status;
        stream_headers = std::move( headers );
    }
    auto send_chunk( std::string bytes ) -> void override
    {
        stream += bytes;
    }
    auto end_stream() -> void override
    {
        ended = true;
    }
    auto abort() -> void override
    {
        aborted = true;
    }
    [[nodiscard]] auto unsent_bytes() const -> std::size_t override
    {
        return unsent;
    }

    /// Value of a header of the whole answer; empty if it is missing.
    [[nodiscard]] auto header( std::string const& name ) const -> std::string
    {
        for ( auto const& h : whole.headers )
            if ( h.name == name )
                return h.value;
        return {};
    }

    exchange::whole_answer whole{ 0, {}, {} };
    int stream_status{ 0 };
    exchange::header_list stream_headers;
    std::string stream;
    bool ended{ false };
    bool aborted{ false };
    std::size_t unsent{ 0 };
};

/// One request that was sent to a target; the test plays the target.
struct sent_request
{
    exchange::outgoing_request request;
    std::shared_ptr<exchange::attempt_listener> listener;
    bool cancelled{ false };
    bool paused{ false };
    bool bytes_sent{ true };

    /// Starts the answer; `has_digest`: it carries the target's digest.
    auto head( int status, bool has_digest = true ) -> void
    {
        auto h = exchange::answer_head{};
        h.status = status;
        h.has_seal = has_digest;
        listener->on_head( std::move( h ) );
    }
    /// Answers that the request was not run; status 421 also says that another
    /// instance has the address.
    auto reject( int status = 503, std::string at_fault = {} ) -> void
    {
        auto h = exchange::answer_head{};
        h.failed_target = std::move( at_fault );
        h.status = status;
        h.proves_not_run = true;
        h.wrong_target = status == 421;
        listener->on_head( std::move( h ) );
        complete();
    }
    auto event( int id ) -> void
    {
        listener->on_body( "id: " + std::to_string( id ) + "\ndata: x\n\n" );
    }
    auto complete() -> void
    {
        auto end = exchange::attempt_end{};
        end.complete = true;
        end.sent = true;
        listener->on_end( end );
    }
    /// The target closes the connection after an answer without a length.
    auto close() -> void
    {
        auto end = exchange::attempt_end{};
        end.complete = true;
        end.is_delimited_by_close = true;
        end.sent = true;
        listener->on_end( end );
    }
    auto answer( int status, std::string body ) -> void
    {
        head( status );
        listener->on_body( std::move( body ) );
        complete();
    }
    /// Loses the connection; `sent`: bytes may have reached the target. If not,
    /// no connection was established.
    auto lose( bool sent = true ) -> void
    {
        auto end = exchange::attempt_end{};
        end.error = { sent ? core::error_code::connection_lost
                           : core::error_code::unreachable,
                      "lost" };
        end.sent = sent;
        listener->on_end( end );
    }
};

/// Records the requests that are sent; the test answers them.
class recorded_targets : public exchange::target_client
{
public:
    auto send( exchange::outgoing_request request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> override
    {
        auto const sent = std::make_shared<sent_request>();
        sent->request = std::move( request );
        sent->listener = std::move( listener );
        all.push_back( sent );
        return std::make_shared<handle>( sent );
    }

    std::vector<std::shared_ptr<sent_request>> all;

private:
    class handle : public exchange::open_attempt
    {
    public:
        explicit handle( std::shared_ptr<sent_request> sent )
            : sent_( std::move( sent ) )
        {
        }
        auto cancel() -> void override
        {
            sent_->cancelled = true;
        }
        auto pause() -> void override
        {
            sent_->paused = true;
        }
        auto resume() -> void override
        {
            sent_->paused = false;
        }
        [[nodiscard]] auto sent() const -> bool override
        {
            return sent_->bytes_sent;
        }

    private:
        std::shared_ptr<sent_request> sent_;
    };
};

/// Encodes a request as text that tests can search.
class plain_encoder : public exchange::request_encoder
{
public:
    [[nodiscard]] auto
    encode_head( exchange::caller_request const& request,
                 exchange::target_directions const& directions ) const
        -> std::string override
    {
        auto text = request.method + " " + request.target + " to " +
                    directions.target.str() + " for " +
                    directions.workspace.str();
        if ( directions.last_event )
            text += " after " + std::to_string( *directions.last_event );
        for ( auto const& helper : directions.helpers )
            text += " with " + core::to_string( helper.address ) + "/" +
                    helper.memory.str();
        return text;
    }
};

/// Records calls that reserve and release memory; the test answers them.
class recorded_reservations : public exchange::reservation_client
{
public:
    struct reservation_call
    {
        exchange::target_memory place;
        core::reservation_id id;
        core::duration hold{ 0 };
        done callback;
    };

    auto reserve( exchange::target_memory const& place,
                  core::reservation_id const& id,
                  core::duration hold,
                  done callback ) -> void override
    {
        reserved.push_back( { place, id, hold, std::move( callback ) } );
        if ( answers_at_once )
            reserved.back().callback( core::success() );
    }
    auto release( exchange::target_memory const& place,
                  core::reservation_id const& id,
                  done callback ) -> void override
    {
        released.push_back( { place, id, {}, std::move( callback ) } );
        if ( answers_at_once )
            released.back().callback( core::success() );
    }

    bool answers_at_once{ false }; ///< every call succeeds at once
    std::vector<reservation_call> reserved;
    std::vector<reservation_call> released;
};

/// Records what an instance announces to the others.
class recorded_announcements : public exchange::work_announcer
{
public:
    auto work_began( exchange::open_work const& ) -> void override
    {
        ++open;
    }
    auto prefill_ended( std::uint64_t ) -> void override {}
    auto work_ended( std::uint64_t, exchange::work_outcome outcome )
        -> void override
    {
        --open;
        served += outcome == exchange::work_outcome::served ? 1 : 0;
    }
    auto target_failed( exchange::target_ref const& ref,
                        exchange::target_failure ) -> void override
    {
        failed.push_back( ref.id );
    }
    auto target_ejected( exchange::target_ref const& ref, core::duration )
        -> void override
    {
        ejected.push_back( ref.id );
    }

    auto target_leaves( exchange::target_ref const& ref ) -> void override
    {
        leaving.push_back( ref.id );
    }
    auto target_limited( exchange::target_ref const& ref,
                         exchange::limit_change ) -> void override
    {
        limited.push_back( ref.id );
    }
    auto run_crashed( exchange::crashed_run const& what ) -> void override
    {
        crashed.push_back( what );
    }
    auto suspects_served( exchange::suspect_list const& suspects,
                          bool is_urgent ) -> void override
    {
        auto& list = is_urgent ? cleared : sound_parts;
        list.insert( list.end(), suspects.begin(), suspects.end() );
    }

    int open{ 0 };
    int served{ 0 };
    std::vector<exchange::crashed_run> crashed;
    std::vector<core::target_id> limited;
    exchange::suspect_list cleared;     ///< former suspects
    exchange::suspect_list sound_parts; ///< of prompts, without suspects
    std::vector<core::target_id> failed;
    std::vector<core::target_id> leaving;
    std::vector<core::target_id> ejected;
};

/// Records the addresses that are probed, and answers with `listens`.
class recorded_probe : public exchange::target_probe
{
public:
    auto probe( core::address const& address, done callback ) -> void override
    {
        probed.push_back( address );
        callback_ = std::move( callback );
        if ( answers_at_once )
            answer();
    }
    /// Answers the last probe.
    auto answer() -> void
    {
        std::exchange( callback_, nullptr )( listens );
    }

    std::optional<bool> listens{ true };
    bool answers_at_once{ true };
    std::vector<core::address> probed;

private:
    done callback_;
};

/// Placement transport of the only instance, which is its own coordinator.
class no_other_instances : public peers::placement_transport
{
public:
    [[nodiscard]] auto coordinators() const
        -> std::vector<core::instance_id> override
    {
        return { core::instance_id( "self" ) };
    }
    auto send_request( core::instance_id const&,
                       exchange::placement_request const& ) -> void override
    {
    }
    auto send_answer( core::instance_id const&, peers::placement_answer const& )
        -> void override
    {
    }
    auto send_release( core::instance_id const&, std::uint64_t )
        -> void override
    {
    }
};

/// Records log events.
class recorded_events : public exchange::event_log
{
public:
    auto record( exchange::event const& what ) -> void override
    {
        all.push_back( what );
    }

    /// How the last request ended.
    [[nodiscard]] auto last_outcome() const -> std::string
    {
        for ( auto at = all.rbegin(); at != all.rend(); ++at )
            if ( auto const* ended =
                     std::get_if<exchange::request_ended>( &*at ) )
                return ended->outcome;
        return {};
    }

    /// Number of changes of a `what` to the state `now`.
    [[nodiscard]] auto count_changes( std::string const& what,
                                      std::string const& now ) const
        -> std::ptrdiff_t
    {
        return std::count_if( all.begin(), all.end(),
                              [&]( auto const& e )
                              {
                                  auto const* change =
                                      std::get_if<exchange::state_change>( &e );
                                  return change != nullptr &&
                                         change->what == what &&
                                         change->now == now;
                              } );
    }

    std::vector<exchange::event> all;
};

/// Records the answers to one placement request.
class recorded_placement : public exchange::placement_listener
{
public:
    auto on_granted( exchange::placement_grant grant ) -> void override
    {
        grants.push_back( std::move( grant ) );
    }
    auto on_refused( exchange::placement_refusal refusal ) -> void override
    {
        refusals.push_back( std::move( refusal ) );
    }
    auto on_queued( std::size_t ) -> void override
    {
        ++queued;
    }

    std::vector<exchange::placement_grant> grants;
    std::vector<exchange::placement_refusal> refusals;
    int queued{ 0 };
};

/// Records placement requests; the test answers them.
class held_placements : public exchange::placement_client
{
public:
    struct pending_request
    {
        exchange::placement_request request;
        std::shared_ptr<exchange::placement_listener> listener;
    };

    auto request( exchange::placement_request what,
                  std::shared_ptr<exchange::placement_listener> listener )
        -> std::unique_ptr<exchange::open_placement> override
    {
        all.push_back( { std::move( what ), std::move( listener ) } );
        return std::make_unique<exchange::open_placement>();
    }
    [[nodiscard]] auto is_active_coordinator() const -> bool override
    {
        return false;
    }
    auto release( std::uint64_t serial ) -> void override
    {
        released.push_back( serial );
    }

    std::vector<pending_request> all;
    std::vector<std::uint64_t> released;
};

/// One instance with three engines (`m1` to `m3`) and two plain targets (`p1`
/// and `p2`), without a network.
struct exchange_fixture
{
    exchange_fixture();
    /// Placement requests go to `placement_client` instead of the instance's
    /// own coordinator.
    explicit exchange_fixture( exchange::placement_client& placement_client );

    /// A caller's request for `path`; it has a prompt on routes of the model.
    auto request( std::string const& path ) -> exchange::caller_request;
    auto start( exchange::caller_request what )
        -> std::shared_ptr<exchange::exchange>;

    held_scheduler scheduler;
    recorded_targets targets;
    recorded_probe probe;
    plain_encoder encoder;
    recorded_reservations reservations;
    exchange::load_table loads;
    exchange::crash_history crashes{ std::chrono::seconds( 6 ) };
    exchange::placement chooser{ loads, core::data_centre_id( "a" ) };
    exchange::shared_retry_budget retries{
        { 0.2, 100, std::chrono::seconds( 10 ) }, core::instant{}, 0 };
    exchange::target_path path;
    std::shared_ptr<core::memory_budget> answer_memory{
        std::make_shared<core::memory_budget>( std::size_t{ 16 } << 20U ) };
    exchange::wait_queue queue{ scheduler };
    recorded_events log;
    recorded_announcements announcer;
    exchange::placement_coordinator coordinator{ core::instance_id( "self" ),
                                                 scheduler,
                                                 loads,
                                                 crashes,
                                                 chooser,
                                                 queue,
                                                 log };
    no_other_instances alone;
    peers::placement_router router{ core::instance_id( "self" ),
                                    scheduler,
                                    alone,
                                    coordinator,
                                    loads,
                                    [this]
                                    {
                                        return ++context.last_serial;
                                    } };
    exchange::exchange_context context;
    std::shared_ptr<recorded_channel> answer{
        std::make_shared<recorded_channel>() };
    int last_attempt{ 0 };

private:
    /// Updates `path` at regular intervals, without word of other instances.
    auto update_path() -> void;

    std::unique_ptr<ports::scheduled_call> path_call_;
};

/// Speed of the engines in production: 16 requests at once, memory for 450,000
/// tokens, prefill of 256 tokens per millisecond.
auto production_engine_speed() -> exchange::engine_speed;

/// Routes `/chat/` (resumable stream, gap objective 200 ms), `/audit/`
/// (resumable stream, gap objective 800 ms), `/once/` (stream that is not
/// resumable), `/safe/`, `/unsafe/` and `/open/` (safe, needs no key).
auto sample_configuration( int version ) -> exchange::configuration_ptr;

/// A target of `service` in data centre `a`, with 16 slots if it is an engine
/// and 6 if not.
auto make_target( std::string const& id, std::string const& service )
    -> exchange::target_properties;

}

#endif
