#include "support/exchange_fleet.hpp"

#include "../../platform/registry_records.hpp"
#include <pollenstream/core/hash.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace tests
{

namespace
{

using namespace std::chrono_literals;

constexpr auto datagram_time = core::duration( 1ms );
constexpr auto connect_timeout = core::duration( 400ms );
constexpr auto events_per_stream = 15;
constexpr auto max_caller_attempts = 2;
constexpr auto pause_before_retry = core::duration( 60ms );
/// Requests whose body begins with this crash each target that runs them.
constexpr auto fatal = "fatal";

auto event_text( int id ) -> std::string
{
    return "id: " + std::to_string( id ) + "\ndata: x\n\n";
}

auto is_stream( std::string const& path ) -> bool
{
    return path.starts_with( "/chat/" ) || path.starts_with( "/audit/" ) ||
           path.starts_with( "/once/" );
}

auto codec() -> pollenstream::registry::registry_codec const&
{
    static auto const records = pollenstream::platform::registry_records();
    return records;
}

auto ip_of( int number ) -> std::string
{
    return "10.0.0." + std::to_string( number );
}

/// Encodes the path, the last event, the parts of the prompt and the body, as
/// `fleet_targets` reads them.
class body_encoder : public exchange::request_encoder
{
public:
    [[nodiscard]] auto
    encode_head( exchange::caller_request const& request,
                 exchange::target_directions const& directions ) const
        -> std::string override
    {
        auto const last = directions.last_event.value_or( 0 );
        auto text = request.target + " " + std::to_string( last ) + " ";
        if ( request.prompt )
            for ( auto const part : request.prompt->shared_parts )
                text += std::to_string( part.count() ) + ",";
        return text + " " + request.body;
    }
};

auto parts_in( std::string const& text )
    -> std::vector<exchange::prompt_part_id>
{
    auto parts = std::vector<exchange::prompt_part_id>{};
    auto in = std::istringstream( text );
    for ( auto number = std::string{}; std::getline( in, number, ',' ); )
        parts.emplace_back( std::stoll( number ) );
    return parts;
}

}

/// One request at one target; its timer keeps it alive.
class fleet_targets::run : public exchange::open_attempt,
                           public std::enable_shared_from_this<run>
{
public:
    run( fleet_targets& owner,
         std::string instance,
         core::target_id target,
         std::string const& text,
         std::shared_ptr<exchange::attempt_listener> listener )
        : owner_( owner ), instance_( std::move( instance ) ),
          target_( std::move( target ) ), listener_( std::move( listener ) )
    {
        auto const first = text.find( ' ' );
        auto const second = text.find( ' ', first + 1 );
        auto const third = text.find( ' ', second + 1 );
        streams_ = is_stream( text.substr( 0, first ) );
        next_ = std::stoi( text.substr( first + 1, second - first - 1 ) ) + 1;
        parts_ = parts_in( text.substr( second + 1, third - second - 1 ) );
        body_ = text.substr( third + 1 );
        for ( auto const part : parts_ )
            if ( owner_.fatal_parts.contains( part ) )
                fatal_part_ = part;
    }
    [[nodiscard]] auto parts() const
        -> std::vector<exchange::prompt_part_id> const&
    {
        return parts_;
    }

    [[nodiscard]] auto body() const -> std::string const&
    {
        return body_;
    }
    auto begin() -> void
    {
        later( owner_.time.prefill,
               [this]
               {
                   body_.starts_with( fatal ) ? run_to_crash() : answer();
               } );
    }
    auto reject( core::duration pause ) -> void
    {
        if ( !listener_ )
            return;
        auto h = exchange::answer_head{};
        h.status = 503;
        h.proves_not_run = true;
        h.requested_pause = pause;
        listener_->on_head( std::move( h ) );
        complete();
    }
    /// The target's process has ended, which closes the connection.
    auto crash() -> void
    {
        if ( !listener_ || !has_head_ ||
             owner_.end_of_answers == answer_end::by_length )
            return lose();
        timer_.reset();
        if ( owner_.end_of_answers == answer_end::by_close_inside )
            listener_->on_body( "id: " + std::to_string( next_ ) );
        complete();
    }
    auto lose( bool sent = true ) -> void
    {
        timer_.reset();
        auto const listener = std::exchange( listener_, nullptr );
        if ( !listener )
            return;
        auto end = exchange::attempt_end{};
        end.error = { sent ? core::error_code::connection_lost
                           : core::error_code::unreachable,
                      "lost" };
        end.sent = sent;
        listener->on_end( end );
    }
    auto cancel() -> void override
    {
        timer_.reset();
        listener_.reset();
    }
    [[nodiscard]] auto sent() const -> bool override
    {
        return is_sent;
    }
    [[nodiscard]] auto instance() const -> std::string const&
    {
        return instance_;
    }
    /// Nothing of this run arrives any more.
    auto mute() -> void
    {
        timer_.reset();
    }

    bool is_sent{ true };

private:
    auto later( core::duration delay, std::function<void()> step ) -> void
    {
        auto const silent_until = owner_.targets_.at( target_ ).silent_until;
        timer_ = owner_.scheduler_.call_after(
            std::max( delay, silent_until - owner_.scheduler_.now() ),
            [self = shared_from_this(), step = std::move( step )]
            {
                auto const done = std::move( self->timer_ );
                step();
            } );
    }
    auto run_to_crash() -> void
    {
        later( owner_.time.until_crash,
               [this]
               {
                   owner_.crash( target_ );
               } );
    }
    auto head( int status = 200 ) -> void
    {
        auto h = exchange::answer_head{};
        h.status = status;
        h.has_seal = true;
        h.announces_leaving = owner_.targets_.at( target_ ).leaving;
        h.limit = owner_.targets_.at( target_ ).limit;
        has_head_ = true;
        listener_->on_head( std::move( h ) );
    }
    auto answer() -> void
    {
        if ( owner_.next_run_fails() )
        {
            head( 500 );
            return complete();
        }
        head();
        if ( fatal_part_ && owner_.events_before_crash == 0 )
            return crash_soon();
        if ( streams_ )
            return send_event();
        listener_->on_body( "done" );
        complete();
    }
    auto crash_soon() -> void
    {
        later( owner_.time.until_crash,
               [this]
               {
                   owner_.part_crashes[*fatal_part_].push_back(
                       owner_.scheduler_.now() );
                   owner_.crash( target_ );
               } );
    }
    auto send_event() -> void
    {
        listener_->on_body( event_text( next_ ) );
        if ( !listener_ )
            return;
        if ( fatal_part_ && ++events_sent_ >= owner_.events_before_crash )
            return crash_soon();
        if ( next_++ >= events_per_stream )
            return complete();
        later( owner_.time.event_gap,
               [this]
               {
                   send_event();
               } );
    }
    auto complete() -> void
    {
        auto const listener = std::exchange( listener_, nullptr );
        if ( !listener )
            return;
        auto end = exchange::attempt_end{};
        end.complete = true;
        end.is_delimited_by_close =
            has_head_ && owner_.end_of_answers != answer_end::by_length;
        end.sent = true;
        listener->on_end( end );
    }

    fleet_targets& owner_;
    std::string instance_;
    core::target_id target_;
    std::shared_ptr<exchange::attempt_listener> listener_;
    std::unique_ptr<ports::scheduled_call> timer_;
    std::string body_;
    std::vector<exchange::prompt_part_id> parts_;
    std::optional<exchange::prompt_part_id> fatal_part_;
    bool streams_{ false };
    bool has_head_{ false };
    int next_{ 1 };
    int events_sent_{ 0 };
};

fleet_targets::fleet_targets( held_scheduler& scheduler,
                              std::string service,
                              listed_callback on_listed,
                              unlisted_callback on_unlisted )
    : scheduler_( scheduler ), service_( std::move( service ) ),
      on_listed_( std::move( on_listed ) ),
      on_unlisted_( std::move( on_unlisted ) )
{
}

fleet_targets::~fleet_targets() = default;

auto fleet_targets::after( core::duration delay, std::function<void()> what )
    -> void
{
    calls_.push_back( scheduler_.call_after( delay, std::move( what ) ) );
}

auto fleet_targets::next_run_fails() -> bool
{
    return answered_++ % 10 < failures_in_ten;
}

auto fleet_targets::add() -> void
{
    auto const number = ++last_;
    auto properties =
        make_target( service_ + "-" + std::to_string( number ), service_ );
    properties.address.ip = service_;
    properties.address.port = static_cast<std::uint16_t>( 1'000 + number );
    listed_.push_back( properties );
    on_listed_( properties );
    targets_[properties.id].properties = std::move( properties );
}

auto fleet_targets::properties() const
    -> std::vector<exchange::target_properties>
{
    return listed_;
}

auto fleet_targets::send( std::string const& instance,
                          exchange::outgoing_request request,
                          std::shared_ptr<exchange::attempt_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto const started = std::make_shared<run>(
        *this, instance, request.target, *request.head, std::move( listener ) );
    auto const found = targets_.find( request.target );
    if ( found == targets_.end() )
    {
        // The target is gone. The error is reported after this call returns, as
        // a network would.
        after( 1ms,
               [started]
               {
                   started->lose( false );
               } );
        return started;
    }
    auto const link = link_of( instance );
    if ( link != target_link::sound &&
         !has_connection( instance, request.target ) )
    {
        fail_to_connect( started, link );
        return started;
    }
    found->second.open.push_back( started );
    ++found->second.connections[instance];
    if ( link == target_link::hangs )
        return started;
    runs.push_back( { started->body(), request.target, instance,
                      scheduler_.now(), request.id, started->parts() } );
    auto const pause = found->second.pauses.extract( instance );
    if ( !pause.empty() )
    {
        after( 1ms,
               [started, time = pause.mapped()]
               {
                   started->reject( time );
               } );
        return started;
    }
    started->begin();
    return started;
}

auto fleet_targets::link_of( std::string const& instance ) const -> target_link
{
    auto const found = links_.find( instance );
    return found == links_.end() ? target_link::sound : found->second;
}

auto fleet_targets::has_connection( std::string const& instance,
                                    core::target_id const& id ) -> bool
{
    if ( link_of( instance ) == target_link::resets )
        return false;
    auto& target = targets_.at( id );
    auto const is_closed = []( auto const& weak )
    {
        return weak.expired();
    };
    std::erase_if( target.open, is_closed );
    auto const in_use =
        std::count_if( target.open.begin(), target.open.end(),
                       [&]( auto const& weak )
                       {
                           return weak.lock()->instance() == instance;
                       } );
    constexpr auto kept_connections = 2;
    return in_use < std::min( kept_connections, target.connections[instance] );
}

auto fleet_targets::fail_to_connect( std::shared_ptr<run> const& attempt,
                                     target_link link ) -> void
{
    attempt->is_sent = false;
    after( link == target_link::hangs ? connect_timeout : 1ms,
           [attempt]
           {
               attempt->lose( false );
           } );
}

auto fleet_targets::set_link( std::string const& instance, target_link link )
    -> void
{
    links_[instance] = link;
}

auto fleet_targets::apply_link( std::string const& instance ) -> void
{
    auto const link = link_of( instance );
    if ( link != target_link::resets && link != target_link::hangs )
        return;
    for ( auto& [id, target] : targets_ )
        for ( auto const& weak : std::vector( target.open ) )
        {
            auto const open_run = weak.lock();
            if ( !open_run || open_run->instance() != instance )
                continue;
            if ( link == target_link::hangs )
                open_run->mute();
            else
                open_run->lose();
        }
}

auto fleet_targets::fall_silent( core::target_id const& id,
                                 core::duration time ) -> void
{
    targets_.at( id ).silent_until = scheduler_.now() + time;
}

auto fleet_targets::probe_from( std::string const& instance,
                                core::address const& address,
                                done callback ) -> void
{
    auto const link = link_of( instance );
    if ( link == target_link::sound )
        return probe( address, std::move( callback ) );
    auto const hangs = link == target_link::hangs;
    after( hangs ? connect_timeout : 1ms,
           [hangs, callback = std::move( callback )]
           {
               callback( hangs ? std::nullopt : std::optional( false ) );
           } );
}

auto fleet_targets::probe( core::address const& address, done callback ) -> void
{
    ++probes;
    auto const listens =
        std::any_of( targets_.begin(), targets_.end(),
                     [&address]( auto const& entry )
                     {
                         return entry.second.properties.address == address;
                     } );
    auto const reply = answers_probes ? std::optional( listens ) : std::nullopt;
    after( 1ms,
           [reply, callback = std::move( callback )]
           {
               callback( reply );
           } );
}

auto fleet_targets::announce_leaving( core::target_id const& id ) -> void
{
    targets_.at( id ).leaving = true;
}

auto fleet_targets::announce_limit( core::target_id const& id,
                                    std::optional<double> per_second ) -> void
{
    targets_.at( id ).limit = per_second;
}

auto fleet_targets::reject_next( core::target_id const& id,
                                 std::string const& instance,
                                 core::duration pause ) -> void
{
    targets_.at( id ).pauses[instance] = pause;
}

auto fleet_targets::cut( core::target_id const& id ) -> void
{
    auto const open = std::exchange( targets_.at( id ).open, {} );
    for ( auto const& weak : open )
        if ( auto const open_run = weak.lock() )
            open_run->lose();
}

auto fleet_targets::crash( core::target_id const& id ) -> void
{
    auto const found = targets_.find( id );
    if ( found == targets_.end() )
        return;
    auto const open = std::move( found->second.open );
    targets_.erase( found );
    ++crashes;
    for ( auto const& weak : open )
        if ( auto const open_run = weak.lock() )
            open_run->crash();
    after( time.until_entry_expiry,
           [this, id]
           {
               std::erase_if( listed_,
                              [&id]( auto const& f )
                              {
                                  return f.id == id;
                              } );
               on_unlisted_( id );
           } );
    after( time.until_replacement,
           [this]
           {
               add();
           } );
}

auto fleet_store::list( std::string const&,
                        ports::read_age,
                        batch_done callback ) -> void
{
    callback( core::error{ core::error_code::failed, "not simulated" } );
}

auto fleet_store::watch( std::string const&,
                         ports::store_revision,
                         core::duration,
                         batch_done callback ) -> void
{
    callback( core::error{ core::error_code::failed, "not simulated" } );
}

auto fleet_store::write( ports::record_changes const& changes,
                         ports::lease_id,
                         done callback ) -> void
{
    if ( is_unavailable )
        return callback( core::error{ core::error_code::timed_out, "away" } );
    ++writes;
    for ( auto const& put : changes.puts )
    {
        records[put.key] = put.value;
        fleet_.deliver_record( put.key, put.value );
    }
    callback( core::success() );
}

auto fleet_store::grant_lease( core::duration, lease_done callback ) -> void
{
    if ( is_unavailable )
        return callback( core::error{ core::error_code::timed_out, "away" } );
    callback( ports::lease_id( 1 ) );
}

auto fleet_store::renew_lease( ports::lease_id, done callback ) -> void
{
    callback( core::success() );
}

auto fleet_store::end_lease( ports::lease_id, done callback ) -> void
{
    callback( core::success() );
}

class fleet_instance::sender : public peers::datagram_sender
{
public:
    sender( exchange_fleet& fleet, std::string from )
        : fleet_( fleet ), from_( std::move( from ) )
    {
    }
    auto send( std::string const& ip, std::string const& bytes )
        -> void override
    {
        fleet_.deliver( from_, ip, bytes );
    }

private:
    exchange_fleet& fleet_;
    std::string from_;
};

class fleet_instance::targets : public exchange::target_client,
                                public exchange::target_probe
{
public:
    targets( exchange_fleet& fleet, std::string instance )
        : fleet_( fleet ), instance_( std::move( instance ) )
    {
    }
    auto send( exchange::outgoing_request request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> override
    {
        auto& service = fleet_.targets_of( request.address );
        return service.send( instance_, std::move( request ),
                             std::move( listener ) );
    }

    auto probe( core::address const& address, done callback ) -> void override
    {
        fleet_.targets_of( address ).probe_from( instance_, address,
                                                 std::move( callback ) );
    }

private:
    exchange_fleet& fleet_;
    std::string instance_;
};

class fleet_instance::handover_sender : public handover::handover_transport
{
public:
    handover_sender( exchange_fleet& fleet, std::string from )
        : fleet_( fleet ), from_( std::move( from ) )
    {
    }
    auto send( handover::peer_access const& to,
               exchange::outgoing_handover request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> override
    {
        return fleet_.handovers.send( from_, to, std::move( request ),
                                      std::move( listener ) );
    }

private:
    exchange_fleet& fleet_;
    std::string from_;
};

fleet_instance::fleet_instance( exchange_fleet& fleet,
                                int number,
                                int incarnation,
                                core::instant started )
    : name( "n" + std::to_string( number ) ), ip( ip_of( number ) ),
      fleet_( fleet ), incarnation_( incarnation ),
      encoder_( std::make_unique<body_encoder>() ),
      chooser_( loads, core::data_centre_id( "a" ) ),
      retries_( fleet.retry_allowance, started, core::stable_fraction( name ) ),
      wait_queue_( fleet.scheduler ),
      sender_( std::make_unique<sender>( fleet, ip ) ),
      targets_( std::make_unique<targets>( fleet, name ) ),
      handover_sender_( std::make_unique<handover_sender>( fleet, ip ) ),
      group( { core::instance_id( name ), core::incarnation( incarnation ), ip,
               core::data_centre_id( "a" ), ip + ":80", 250, key() },
             { "10.0.0.1", "10.0.0.2", "10.0.0.3" },
             fleet.scheduler,
             *sender_,
             loads,
             crashes,
             log ),
      handovers( fleet.scheduler,
                 group,
                 *handover_sender_,
                 core::data_centre_id( "a" ),
                 static_cast<std::uint32_t>( number + 1 ) ),
      coordinator_( core::instance_id( name ),
                    fleet.scheduler,
                    loads,
                    crashes,
                    chooser_,
                    wait_queue_,
                    log ),
      router_( core::instance_id( name ),
               fleet.scheduler,
               group,
               coordinator_,
               loads,
               [this]
               {
                   return ++context.last_serial;
               } ),
      context{ .scheduler = fleet.scheduler,
               .targets = *targets_,
               .probe = *targets_,
               .encoder = *encoder_,
               .reservations = reservations_,
               .loads = loads,
               .crashes = crashes,
               .chooser = chooser_,
               .placements = router_,
               .retries = retries_,
               .path = path_,
               .handovers = &handovers,
               .answer_memory = std::make_shared<core::memory_budget>(
                   std::size_t{ 16 } << 20U ),
               .queue = wait_queue_,
               .log = log,
               .announcer = group,
               .self = core::instance_id( name ),
               .incarnation = core::incarnation( incarnation ),
               .configuration = fleet.configuration,
               .stop = std::nullopt,
               .last_serial = 0,
               .open = {},
               .counters = {},
               .random = std::minstd_rand(
                   static_cast<std::uint32_t>( number + 1 ) ) },
      path_watch_( context, group, *targets_ ), quarantine_( context,
                                                             group,
                                                             *targets_,
                                                             []
                                                             {
                                                                 return true;
                                                             } ),
      records( fleet.store,
               fleet.scheduler,
               crashes,
               codec(),
               [this]
               {
                   return group.coordinator_position();
               } )
{
    coordinator_.set_configuration( fleet.configuration );
    group.set_placement_handler( router_ );
    group.on_load_changed = [this]
    {
        wait_queue_.schedule_round();
    };
    group.on_size_changed = [this]
    {
        retries_.set_instances( group.size() );
    };
    quarantine_.on_changed = [this]( auto const& suspects )
    {
        records.on_changed( suspects );
    };
    group.start();
    quarantine_.start();
    path_watch_.start();
    handovers.start();
    group.set_ready( true );
}

fleet_instance::~fleet_instance() = default;

auto fleet_instance::start( exchange::caller_request what,
                            std::shared_ptr<exchange::answer_channel> answer )
    -> std::weak_ptr<exchange::exchange>
{
    auto const started = std::make_shared<exchange::exchange>(
        context, std::move( what ), std::move( answer ) );
    started->start();
    return started;
}

auto fleet_instance::key() const -> core::handover_key
{
    return core::handover_key( 1'000 + incarnation_ );
}

/// One attempt of a caller, which is retried after a failure where allowed.
class exchange_fleet::caller : public recorded_channel
{
public:
    caller( exchange_fleet& fleet, std::shared_ptr<fleet_call> call )
        : fleet_( fleet ), call_( std::move( call ) ),
          began_( fleet.scheduler.now() )
    {
    }
    auto send_whole( exchange::whole_answer answer ) -> void override
    {
        end( answer.status, answer.status == 503 );
    }
    auto end_stream() -> void override
    {
        call_->cut_short = !stream.ends_with( event_text( events_per_stream ) );
        end( 200, false );
    }
    auto abort() -> void override
    {
        end( 0, false );
    }

private:
    auto end( int status, bool was_not_run ) -> void
    {
        call_->status = status;
        call_->served = status == 200;
        call_->longest_attempt =
            std::max( call_->longest_attempt, fleet_.scheduler.now() - began_ );
        auto const may_retry = was_not_run ||
                               call_->path.starts_with( "/chat/" ) ||
                               call_->path.starts_with( "/safe/" );
        if ( call_->served || !may_retry ||
             call_->attempts >= max_caller_attempts )
            return;
        auto const next =
            ( call_->attempts + fleet_.last_attempt_ ) % fleet_.size();
        fleet_.calls_.push_back(
            fleet_.scheduler.call_after( pause_before_retry,
                                         [&fleet = fleet_, call = call_, next]
                                         {
                                             fleet.begin_attempt( next, call );
                                         } ) );
    }

    exchange_fleet& fleet_;
    std::shared_ptr<fleet_call> call_;
    core::instant began_;
};

exchange_fleet::exchange_fleet( int instances,
                                int engine_count,
                                int plain_count,
                                double retry_constant )
    : retry_allowance{ 0.2, retry_constant, 10s },
      handovers( scheduler,
                 [this]( auto const& to, auto request, auto answer )
                 {
                     return take_over( to, std::move( request ),
                                       std::move( answer ) );
                 } ),
      engines(
          scheduler,
          "model",
          [this]( auto const& properties )
          {
              list( properties );
          },
          [this]( auto const& id )
          {
              unlist( id );
          } ),
      plain(
          scheduler,
          "plain",
          [this]( auto const& properties )
          {
              list( properties );
          },
          [this]( auto const& id )
          {
              unlist( id );
          } ),
      configuration( sample_configuration( 1 ) )
{
    for ( auto i = 0; i < engine_count; ++i )
        engines.add();
    for ( auto i = 0; i < plain_count; ++i )
        plain.add();
    instances_.resize( static_cast<std::size_t>( instances ) );
    for ( auto i = 0; i < instances; ++i )
        restart( i );
    scheduler.run( 2s );
}

exchange_fleet::~exchange_fleet()
{
    for ( auto i = 0; i < size(); ++i )
        kill( i );
}

auto exchange_fleet::list( exchange::target_properties const& properties )
    -> void
{
    for ( auto const& one : instances_ )
        if ( one )
            one->loads.put( properties );
}

auto exchange_fleet::unlist( core::target_id const& id ) -> void
{
    for ( auto const& one : instances_ )
        if ( one )
            one->loads.mark_gone( id );
}

auto exchange_fleet::restart( int number ) -> void
{
    auto& instance = instances_.at( static_cast<std::size_t>( number ) );
    // A first process has no predecessor whose retries may still count.
    auto const is_first = last_incarnation_ < size();
    instance = std::make_unique<fleet_instance>(
        *this, number + 1, ++last_incarnation_,
        is_first ? core::instant{} : scheduler.now() );
    disconnected_.erase( instance->ip );
    for ( auto const* service : { &engines, &plain } )
        for ( auto const& properties : service->properties() )
            instance->loads.put( properties );
    tell_warm_up( *instance );
    if ( store.is_unavailable )
        return;
    for ( auto const& [key, value] : store.records )
        instance->records.apply_record( value );
    // The store has a record of each instance.
    for ( auto i = 1; i <= size(); ++i )
        instance->group.add_ip( ip_of( i ) );
}

auto exchange_fleet::warm_up_all( double per_second, core::duration left )
    -> void
{
    warm_up_rate_ = per_second;
    warm_up_until_ = scheduler.now() + left;
    for ( auto const& one : instances_ )
        if ( one )
            tell_warm_up( *one );
}

auto exchange_fleet::tell_warm_up( fleet_instance& instance ) -> void
{
    auto const now = scheduler.now();
    if ( now >= warm_up_until_ )
        return;
    instance.loads.set_warm_up_rates(
        { { core::service_id( "model" ), warm_up_rate_ },
          { core::service_id( "plain" ), warm_up_rate_ } },
        now );
    for ( auto const* service : { &engines, &plain } )
        for ( auto const& properties : service->properties() )
            instance.loads.note_warm_up( { properties.id, properties.lifetime },
                                         warm_up_until_ - now, now );
}

auto exchange_fleet::deliver_record( std::string const& key,
                                     std::string const& value ) -> void
{
    calls_.push_back( scheduler.call_after(
        datagram_time,
        [this, key, value]
        {
            for ( auto const& one : instances_ )
                if ( one && !disconnected_.contains( one->ip ) )
                    one->records.apply_record( value );
        } ) );
}

auto exchange_fleet::write_quarantine(
    exchange::quarantined_group const& group ) -> void
{
    auto changes = ports::record_changes{};
    changes.puts.push_back( { codec().quarantine_key( group.suspects ),
                              codec().write_quarantine( group ) } );
    store.write( changes, ports::lease_id( 1 ), []( auto const& ) {} );
}

auto exchange_fleet::kill( int number ) -> void
{
    auto& instance = instances_.at( static_cast<std::size_t>( number ) );
    if ( !instance )
        return;
    disconnected_.insert( instance->ip );
    auto const open = std::vector( instance->context.open.begin(),
                                   instance->context.open.end() );
    for ( auto* const request : open )
        request->on_caller_gone();
    handovers.close_all( instance->ip );
    instance.reset();
}

auto exchange_fleet::take_over(
    handover::peer_access const& to,
    exchange::caller_request request,
    std::shared_ptr<exchange::answer_channel> answer ) -> std::function<void()>
{
    for ( auto const& one : instances_ )
    {
        if ( !one || one->ip != to.ip || one->key() != to.key )
            continue;
        auto const open =
            one->start( std::move( request ), std::move( answer ) );
        return [open]
        {
            if ( auto const started = open.lock() )
                started->on_caller_gone();
        };
    }
    return nullptr;
}

auto exchange_fleet::cut( int number, bool is_disconnected ) -> void
{
    auto const& ip = at( number ).ip;
    if ( is_disconnected )
        disconnected_.insert( ip );
    else
        disconnected_.erase( ip );
}

auto exchange_fleet::set_target_link( int number, target_link link ) -> void
{
    auto const name = "n" + std::to_string( number + 1 );
    engines.set_link( name, link );
    plain.set_link( name, link );
    engines.apply_link( name );
    plain.apply_link( name );
}

auto exchange_fleet::deliver( std::string const& from,
                              std::string const& to,
                              std::string bytes ) -> void
{
    if ( disconnected_.contains( from ) || disconnected_.contains( to ) )
        return;
    if ( drop_every > 0 && ++datagrams_ % drop_every == 0 )
        return;
    calls_.push_back( scheduler.call_after(
        datagram_time,
        [this, from, to, bytes = std::move( bytes )]
        {
            for ( auto const& one : instances_ )
                if ( one && one->ip == to && !disconnected_.contains( to ) )
                    return one->group.on_datagram( bytes, from );
        } ) );
}

auto exchange_fleet::targets_of( core::address const& address )
    -> fleet_targets&
{
    return address.ip == "model" ? engines : plain;
}

auto exchange_fleet::call( int number,
                           std::string path,
                           std::string body,
                           std::vector<exchange::prompt_part_id> parts )
    -> std::shared_ptr<fleet_call>
{
    auto const started = std::make_shared<fleet_call>();
    started->path = std::move( path );
    started->body = std::move( body );
    started->parts = std::move( parts );
    started->began = scheduler.now();
    begin_attempt( number, started );
    return started;
}

auto exchange_fleet::begin_attempt( int number,
                                    std::shared_ptr<fleet_call> const& call )
    -> void
{
    auto& instance = instances_.at( static_cast<std::size_t>( number ) );
    ++call->attempts;
    attempts[call->path].push_back( scheduler.now() );
    if ( !instance )
    {
        call->status = 0;
        return;
    }
    auto r = exchange::caller_request{};
    r.id = exchange::attempt_id( std::to_string( ++last_attempt_ ) );
    r.method = "POST";
    r.target = call->path;
    r.host = "host";
    r.key = "key";
    r.body = call->body;
    r.time_limit = 10s;
    r.received = scheduler.now();
    if ( is_stream( call->path ) )
        r.prompt = exchange::prompt_properties{ 5'000, 1'600, 0, call->parts };
    instance->start( std::move( r ), std::make_shared<caller>( *this, call ) );
}

}
