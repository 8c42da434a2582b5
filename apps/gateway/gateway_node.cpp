#include "gateway_node.hpp"

#include "node_state.hpp"
#include <pollenstream/adapters/asio/http_text.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/peers/caller_directory.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::gateway
{

namespace
{

using namespace std::chrono_literals;

/// How long callers should keep the directory's answer: short, so that they
/// soon leave an instance that has died, and long enough to cost little.
constexpr auto directory_time = core::duration( 1s );
/// Some callers keep an answer three times as long.
constexpr auto directory_patience = 3;
/// The signal to stop may be seen, and a request read, this late.
constexpr auto stop_lateness = core::duration( 250ms );
/// Part of the grace period that is left unused: the process has to be gone
/// before it is killed.
constexpr auto stop_margin = core::duration( 650ms );
/// Requests a second that are logged whole whatever becomes of them; about
/// four times an instance's part of the first deployments' peak.
constexpr auto logged_requests = std::size_t{ 100 };
/// For the last answers and orders of a process that ends.
constexpr auto last_words_time = core::duration( 150ms );
constexpr auto tick_period = core::duration( 100ms );
/// The same until there is a configuration: callers wait for it meanwhile.
constexpr auto first_tick_period = core::duration( 15ms );
/// How long this instance may know less of the store than another one before
/// it asks that one: most changes come in datagrams within some ms.
constexpr auto behind_time = core::duration( 80ms );
/// Changes larger than this, packed, go over a connection when others ask for
/// them: one datagram to each of many instances would fill a slow link.
constexpr auto largest_told_update = std::size_t{ 2'000 };
constexpr auto fetch_time = core::duration( 2500ms );

/// After this time a target that has ended is out of the registry: its entry
/// lapses after three missed heartbeats, and the news has to come here.
auto lapse_time( platform::gateway_settings const& s ) -> core::duration
{
    constexpr auto heartbeats = 5;
    return s.target_heartbeat * heartbeats;
}

auto own_state_of( platform::gateway_settings const& s ) -> peers::own_state
{
    // The wall clock tells restarts apart; it may jump, but a restart within
    // the jump is seen as the same process and only for seconds.
    auto const started = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch() );
    return { s.instance,
             core::incarnation( started.count() ),
             s.callers.ip,
             s.data_centre,
             core::to_string( s.callers ),
             s.thousandths_of_core };
}

auto seed_of( platform::gateway_settings const& s ) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::hash<std::string>{}( s.instance.str() ) );
}

}

gateway_node::gateway_node( adapters::asio::net::io_context& io,
                            platform::gateway_settings settings,
                            exchange::event_log& log )
    : io_( io ), settings_( std::move( settings ) ), scheduler_( io ),
      bounded_log_( log, scheduler_, logged_requests ), log_( bounded_log_ ),
      http_( io ), store_( http_, settings_.store ), target_calls_( http_ ),
      reservation_calls_( http_ ), crashes_( lapse_time( settings_ ) ),
      placement_( load_table_, settings_.data_centre ),
      retries_( { settings_.retry_ratio, settings_.retry_constant,
                  settings_.retry_window } ),
      wait_queue_( scheduler_ ), datagrams_( io, settings_.peers ),
      group_( own_state_of( settings_ ),
              settings_.seed_ips,
              scheduler_,
              datagrams_,
              load_table_,
              crashes_,
              log ),
      coordinator_( settings_.instance,
                    scheduler_,
                    load_table_,
                    crashes_,
                    placement_,
                    wait_queue_,
                    log_ ),
      router_( settings_.instance,
               scheduler_,
               group_,
               coordinator_,
               load_table_,
               [this]
               {
                   return ++context_.last_serial;
               } ),
      context_( make_context() ), registry_( store_,
                                             scheduler_,
                                             records_,
                                             load_table_,
                                             log,
                                             make_registry_events() ),
      registration_( store_,
                     scheduler_,
                     records_.instance_key( settings_.instance ),
                     settings_.callers.ip,
                     log ),
      quarantine_( context_,
                   group_,
                   target_calls_,
                   [this]
                   {
                       return registry_is_current();
                   } ),
      quarantine_records_( store_,
                           scheduler_,
                           crashes_,
                           records_,
                           [this]
                           {
                               return group_.coordinator_position();
                           } ),
      caller_handler_( context_ ), state_handler_( registry_ ),
      directory_handler_(
          [this]
          {
              return peers::choose_caller_addresses(
                  group_, core::to_string( settings_.callers ), is_ready() );
          },
          std::min( directory_time, settings_.longest_directory_ttl ) ),
      readiness_handler_(
          [this]
          {
              return is_ready();
          } ),
      metrics_handler_(
          [this]
          {
              return log_.text() + node_metrics( parts() );
          },
          [this]
          {
              return describe_node( parts() );
          } )
{
}

auto gateway_node::make_context() -> exchange::exchange_context
{
    return exchange::exchange_context{
        .scheduler = scheduler_,
        .targets = target_calls_,
        .encoder = encoder_,
        .reservations = reservation_calls_,
        .loads = load_table_,
        .crashes = crashes_,
        .chooser = placement_,
        .placements = router_,
        .retries = retries_,
        .queue = wait_queue_,
        .log = log_,
        .announcer = group_,
        .self = settings_.instance,
        .configuration = nullptr,
        .stop = std::nullopt,
        .last_serial = 0,
        .open = {},
        .counters = {},
        .random = std::minstd_rand( seed_of( settings_ ) ) };
}

auto gateway_node::parts() const -> node_parts
{
    return { context_, group_, registry_, coordinator_, router_, store_ };
}

auto gateway_node::make_registry_events() -> registry::registry_events
{
    auto events = registry::registry_events{};
    events.on_configuration = [this]( auto configuration )
    {
        coordinator_.set_configuration( configuration );
        context_.configuration = std::move( configuration );
        update_ready();
        wait_queue_.schedule_round();
    };
    events.on_target_left = []( auto const& ) {};
    events.on_quarantine = [this]( auto const& key, auto const& value )
    {
        quarantine_records_.apply_record( key, value );
    };
    events.others_served_for = [this]
    {
        return group_.others_served_for();
    };
    events.on_update = [this]( auto const& update )
    {
        tell_store_state();
        // An instance that has just listed all records leaves the rest to those
        // who read the store, and has nothing to tell that these do not know.
        auto const reads_store = group_.should_read_store();
        registry_.set_reader( reads_store );
        if ( !reads_store )
            return;
        auto bytes = peers::encode_update( update );
        if ( bytes.size() <= largest_told_update )
            group_.broadcast_update( std::move( bytes ) );
    };
    events.on_targets_changed = [this]
    {
        wait_queue_.schedule_round();
    };
    events.on_instance = [this]( auto const&, auto const& ip )
    {
        group_.add_ip( ip );
    };
    return events;
}

auto gateway_node::start() -> void
{
    using adapters::asio::caller_listener;
    callers_ = std::make_unique<caller_listener>( io_, settings_.callers,
                                                  caller_handler_ );
    directory_ = std::make_unique<caller_listener>( io_, settings_.directory,
                                                    directory_handler_ );
    readiness_ = std::make_unique<caller_listener>( io_, settings_.readiness,
                                                    readiness_handler_ );
    peer_listener_ = std::make_unique<caller_listener>( io_, settings_.peers,
                                                        state_handler_ );
    datagrams_.start(
        [this]( std::string_view bytes )
        {
            group_.on_datagram( bytes );
        } );
    group_.set_placement_handler( router_ );
    group_.on_load_changed = [this]
    {
        wait_queue_.schedule_round();
    };
    group_.on_update = [this]( auto const& from, auto const& bytes )
    {
        auto const update = peers::decode_update( bytes );
        if ( update.has_value() )
            registry_.apply_update( update.value(), from );
    };
    group_.on_size_changed = [this]
    {
        retries_.set_instances( group_.size() );
    };
    group_.start();
    registry_.start_following();
    registration_.start();
    quarantine_.on_changed = [this]( auto content )
    {
        quarantine_records_.on_changed( content );
    };
    quarantine_.start();
    tick();
    record_process( "started", "incarnation" );
}

auto gateway_node::serve_metrics( std::uint16_t port ) -> void
{
    metrics_ = std::make_unique<adapters::asio::caller_listener>(
        io_, core::address{ settings_.callers.ip, port }, metrics_handler_ );
}

auto gateway_node::is_ready() const -> bool
{
    return !stopping_ && context_.configuration != nullptr;
}

/// True where the store has been served for so long that the entries of targets
/// that ended before have lapsed.
auto gateway_node::registry_is_current() const -> bool
{
    auto const served =
        std::max( registry_.served_for(), group_.others_served_for() );
    return !registry_.may_have_lapsed() && served > lapse_time( settings_ );
}

auto gateway_node::update_ready() -> void
{
    group_.set_ready( is_ready() );
}

auto gateway_node::tell_store_state() -> void
{
    group_.set_store_state( registry_.known_until(), registry_.store_age(),
                            registry_.served_for() );
}

auto gateway_node::tick() -> void
{
    tell_store_state();
    registry_.set_reader( group_.should_read_store() );
    fetch_from_peer();
    auto const period =
        context_.configuration == nullptr ? first_tick_period : tick_period;
    tick_call_ = scheduler_.call_after( period,
                                        [this]
                                        {
                                            auto const done =
                                                std::move( tick_call_ );
                                            tick();
                                        } );
}

/// Takes the records of a better informed instance where the store does not
/// serve this one.
auto gateway_node::fetch_from_peer() -> void
{
    auto const now = scheduler_.now();
    auto const* const better =
        group_.better_informed_peer( registry_.known_until() );
    if ( better == nullptr )
    {
        behind_since_ = now;
        return;
    }
    // One that has no records at all has nothing to wait for.
    auto const is_behind =
        context_.configuration == nullptr || now - behind_since_ > behind_time;
    if ( fetching_ || !is_behind )
        return;
    fetching_ = true;
    auto call = adapters::asio::http_call{};
    call.address = { better->ip, settings_.peers.port };
    call.pool = "peer " + better->ip;
    call.text =
        std::make_shared<std::string const>( adapters::asio::write_request(
            "GET", peers::state_request_path( registry_.known_until() ),
            { { "Host", better->ip } }, "" ) );
    http_.fetch( std::move( call ), fetch_time,
                 [this, from = better->id]( auto reply )
                 {
                     fetching_ = false;
                     if ( reply.has_error() )
                         return;
                     auto const update =
                         peers::decode_update( reply.value().body );
                     if ( update.has_value() )
                         registry_.apply_update( update.value(), from.str() );
                 } );
}

auto gateway_node::apply( platform::gateway_settings const& next )
    -> std::string
{
    auto waits = std::string{};
    auto const check = [&waits]( bool same, char const* name )
    {
        if ( !same )
            waits += ( waits.empty() ? "" : ", " ) + std::string( name );
    };
    check( next.instance == settings_.instance, "instance" );
    check( next.data_centre == settings_.data_centre, "place" );
    check( next.callers == settings_.callers, "address for callers" );
    check( next.readiness == settings_.readiness, "address for readiness" );
    check( next.directory == settings_.directory, "address of the directory" );
    check( next.peers == settings_.peers, "address for instances" );
    check( next.store == settings_.store, "address of the store" );

    settings_.retry_ratio = next.retry_ratio;
    settings_.retry_constant = next.retry_constant;
    settings_.retry_window = next.retry_window;
    retries_.set_allowance(
        { next.retry_ratio, next.retry_constant, next.retry_window } );
    settings_.grace_period = next.grace_period;
    settings_.longest_directory_ttl = next.longest_directory_ttl;
    directory_handler_.set_time_to_live(
        std::min( directory_time, next.longest_directory_ttl ) );
    settings_.seed_ips = next.seed_ips;
    for ( auto const& ip : next.seed_ips )
        group_.add_ip( ip );
    return waits;
}

auto gateway_node::stop() -> void
{
    if ( std::exchange( stopping_, true ) )
        return;
    record_process( "stopping", "signal" );
    auto const now = scheduler_.now();
    auto const callers_know_at = now + directory_time * directory_patience;
    context_.stop =
        exchange::planned_stop{ callers_know_at - stop_lateness,
                                now + settings_.grace_period - stop_margin };
    group_.announce_leaving();
    registration_.stop();
    callers_->begin_drain();
    stopped_taking_at_ = callers_know_at + 500ms;
    check_stopped();
}

/// Ends the process once callers have had time to hear of the stop and no
/// request is open, or when its time is over.
auto gateway_node::check_stopped() -> void
{
    auto const now = scheduler_.now();
    if ( now >= stopped_taking_at_ )
        callers_->close_idle();
    auto const is_idle = context_.open.empty() && callers_->connections() == 0;
    if ( now >= stopped_taking_at_ && is_idle )
        return end_process( "idle" );
    if ( now >= context_.stop->ends_at )
        return abandon_open();
    stop_call_ = scheduler_.call_after( tick_period,
                                        [this]
                                        {
                                            auto const done =
                                                std::move( stop_call_ );
                                            check_stopped();
                                        } );
}

/// Ends what is still open, so that callers hear of it and targets get their
/// memory back, and leaves the orders a moment to go out.
auto gateway_node::abandon_open() -> void
{
    auto const open = std::vector( context_.open.begin(), context_.open.end() );
    for ( auto* const which : open )
        which->abandon( "process_ends" );
    stop_call_ = scheduler_.call_after( last_words_time,
                                        [this]
                                        {
                                            end_process( "out of time" );
                                        } );
}

auto gateway_node::end_process( std::string because ) -> void
{
    record_process( "stopped", std::move( because ) );
    io_.stop();
}

auto gateway_node::record_process( std::string now, std::string because )
    -> void
{
    log_.record( exchange::state_change{ "process",
                                         settings_.instance.str(),
                                         std::move( now ),
                                         std::move( because ),
                                         {} } );
}

}
