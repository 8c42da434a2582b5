#include "gateway_node.hpp"

#include "broken_answer_log.hpp"
#include "node_metrics.hpp"
#include "node_state.hpp"
#include <pollenstream/adapters/asio/http_text.hpp>
#include <pollenstream/core/hash.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/peers/caller_directory.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <utility>

namespace pollenstream::gateway
{

namespace
{

using namespace std::chrono_literals;

/// Requests per second that are logged regardless of their outcome: about four
/// times the peak rate of one instance in the first deployments.
constexpr auto max_logged_requests_per_second = std::size_t{ 100 };
constexpr auto tick_period = core::duration( 100ms );
/// Shorter until there is a configuration, as callers are waiting for it.
constexpr auto startup_tick_period = core::duration( 15ms );
constexpr auto fetch_timeout = core::duration( 2500ms );
/// Limit on the records that are fetched from another instance, compressed.
constexpr auto max_fetched_bytes = std::size_t{ 16 } * 1024 * 1024;

/// Time after which a target that has ended is no longer in the registry: its
/// entry expires after three missed heartbeats, and the update has to arrive.
auto registry_expiry_time( platform::gateway_settings const& s )
    -> core::duration
{
    constexpr auto heartbeats = 5;
    return s.target_heartbeat * heartbeats;
}

/// Drawn anew for each process, so that callers cannot guess it.
auto draw_handover_key() -> core::handover_key
{
    auto source = std::random_device{};
    return core::handover_key( std::uniform_int_distribution<std::int64_t>(
        1, std::numeric_limits<std::int64_t>::max() )( source ) );
}

auto own_state_of( platform::gateway_settings const& s,
                   core::handover_key handover_key ) -> peers::own_state
{
    // The start time distinguishes restarts. If the wall clock jumps, a restart
    // within the jump is taken for the same process, but only for seconds.
    auto const started = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch() );
    return { s.instance,
             core::incarnation( started.count() ),
             s.callers.ip,
             s.data_centre,
             core::to_string( s.callers ),
             s.thousandths_of_core,
             handover_key };
}

auto random_seed( platform::gateway_settings const& s ) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::hash<std::string>{}( s.instance.str() ) );
}

}

gateway_node::gateway_node( adapters::asio::net::io_context& io,
                            platform::gateway_settings settings,
                            exchange::event_log& log )
    : io_( io ), settings_( std::move( settings ) ), scheduler_( io ),
      bounded_log_( log, scheduler_, max_logged_requests_per_second ),
      log_( bounded_log_ ), route_service_( log_, scheduler_ ),
      first_service_( route_service_, scheduler_, settings_.instance ),
      limits_( resource_limits_of( settings_ ) ),
      connection_accounts_(
          std::make_shared<adapters::asio::connection_accounts>(
              std::make_shared<core::memory_budget>( limits_.received_bytes ),
              limits_.connections ) ),
      answer_memory_(
          std::make_shared<core::memory_budget>( limits_.answer_bytes ) ),
      unsent_answers_(
          std::make_shared<adapters::asio::unsent_answers>( answer_memory_ ) ),
      http_( io, limits_.reply_bytes ),
      store_( http_, settings_.store, platform::needed_records() ),
      target_calls_( http_ ), reservation_client_( http_ ),
      handover_calls_( http_, settings_.peers.port ),
      handover_key_( draw_handover_key() ),
      crashes_( registry_expiry_time( settings_ ) ),
      placement_( load_table_, settings_.data_centre ),
      retries_( { settings_.retry_ratio, settings_.retry_constant,
                  settings_.retry_window },
                scheduler_.now(),
                core::stable_fraction( settings_.instance.str() ) ),
      wait_queue_( scheduler_ ), datagrams_( io, settings_.peers ),
      group_( own_state_of( settings_, handover_key_ ),
              settings_.seed_ips,
              scheduler_,
              datagrams_,
              load_table_,
              crashes_,
              log ),
      handovers_( scheduler_,
                  group_,
                  handover_calls_,
                  settings_.data_centre,
                  random_seed( settings_ ) ),
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
      instance_records_(
          store_,
          scheduler_,
          records_,
          [this]
          {
              return group_.keeps_records()
                         ? std::optional( group_.instance_ips() )
                         : std::nullopt;
          },
          log ),
      record_fetch_(
          scheduler_,
          [this]( auto const& except )
          {
              auto const* const p = group_.better_informed_peer(
                  registry_.known_until(), except );
              return p ? std::optional( p->id ) : std::nullopt;
          },
          [this]( auto const& from, auto ended )
          {
              fetch_records( from, std::move( ended ) );
          } ),
      path_watch_( context_, group_, target_calls_ ),
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
      handover_handler_( context_, handover_key_, state_handler_ ),
      directory_handler_(
          [this]
          {
              return peers::choose_caller_addresses(
                  group_, core::to_string( settings_.callers ), is_ready() );
          },
          std::min( directory_ttl, settings_.longest_directory_ttl ) ),
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
          } ),
      listening_ports_( scheduler_, log )
{
    group_.reports().set_max_bytes( limits_.report_bytes );
    registry_.set_max_record_bytes( limits_.record_bytes );
    scheduler_.set_failure_listener(
        [this]( auto const& e )
        {
            note_failure( "timer", e );
        } );
}

auto gateway_node::make_context() -> exchange::exchange_context
{
    return exchange::exchange_context{
        .scheduler = scheduler_,
        .targets = target_calls_,
        .probe = target_calls_,
        .encoder = encoder_,
        .reservations = reservation_client_,
        .loads = load_table_,
        .crashes = crashes_,
        .chooser = placement_,
        .placements = router_,
        .retries = retries_,
        .path = path_,
        .handovers = &handovers_,
        .answer_memory = answer_memory_,
        .queue = wait_queue_,
        .log = first_service_,
        .announcer = group_,
        .self = settings_.instance,
        .incarnation = group_.incarnation(),
        .configuration = nullptr,
        .stop = std::nullopt,
        .last_serial = 0,
        .open = {},
        .counters = {},
        .random = std::minstd_rand( random_seed( settings_ ) ) };
}

auto gateway_node::parts() const -> node_parts
{
    return { context_,
             group_,
             registry_,
             coordinator_,
             router_,
             store_,
             http_.broken(),
             first_service_,
             ready_state_,
             broken_inputs(),
             *connection_accounts_,
             callers_ ? callers_->connections() : 0,
             handovers_.open(),
             handover_handler_.open(),
             unsent_answers_->unsent_bytes(),
             unsent_answers_->dropped(),
             listening_ports_.waiting(),
             failures_.value(),
             configuration_delay_ };
}

auto gateway_node::start() -> void
{
    started_ = scheduler_.now();
    http_.broken().observe( std::make_shared<broken_answer_log>( log_ ) );
    ready_state_.since = started_;
    connect_events();
    add_ports();
    listening_ports_.on_required_open = [this]
    {
        begin();
    };
    listening_ports_.open_all();
}

auto gateway_node::begin() -> void
{
    if ( stopping_ )
        return;
    has_begun_ = true;
    datagrams_.start(
        [this]( std::string_view bytes, std::string const& from )
        {
            group_.on_datagram( bytes, from );
        } );
    group_.start();
    registry_.start_following();
    instance_records_.start();
    quarantine_.start();
    path_watch_.start();
    handovers_.start();
    ticks_.emplace(
        scheduler_,
        [this]
        {
            return context_.configuration == nullptr ? startup_tick_period
                                                     : tick_period;
        },
        [this]
        {
            tick();
        } );
    ticks_->start();
    record_process( "started", "incarnation" );
}

auto gateway_node::is_ready() const -> bool
{
    return !stopping_ && context_.configuration != nullptr;
}

/// True if the store has been available for so long that the entries of targets
/// that ended before have expired.
auto gateway_node::registry_is_current() const -> bool
{
    auto const served =
        std::max( registry_.served_for(), group_.others_served_for() );
    return !registry_.may_have_lapsed() &&
           served > registry_expiry_time( settings_ );
}

auto gateway_node::update_ready() -> void
{
    group_.set_ready( is_ready() );
    note_readiness();
}

auto gateway_node::note_readiness() -> void
{
    if ( std::exchange( ready_state_.is_ready, is_ready() ) != is_ready() )
        ready_state_.since = scheduler_.now();
}

auto gateway_node::update_store_state() -> void
{
    group_.set_store_state( registry_.known_until(), registry_.store_age(),
                            registry_.served_for() );
}

auto gateway_node::tick() -> void
{
    update_store_state();
    registry_.set_reader( group_.should_read_store() );
    record_fetch_.update( context_.configuration == nullptr );
    auto const now = scheduler_.now();
    load_table_.set_learns_speeds( group_.coordinator_position().has_value(),
                                   now );
    load_table_.expire_slowdowns( now );
    connection_accounts_->report_rest();
}

/// Records how long another instance has known of a later revision, and whom
/// this instance has asked for it since, with the time since then.
auto gateway_node::note_configuration_delay( core::revision version ) -> void
{
    auto const now = scheduler_.now();
    auto const delay = now - group_.behind_since().value_or( now );
    configuration_delay_.note( delay );
    auto asked = std::string{};
    for ( auto const& fetch : record_fetch_.begun() )
        asked += ( asked.empty() ? "asked " : ", " ) + fetch.from.str() + ' ' +
                 std::to_string( core::milliseconds_of( now - fetch.since ) ) +
                 " ms ago";
    log_.record( exchange::state_change{
        "configuration_delay", std::to_string( version.count() ), "over",
        asked.empty() ? "asked nobody" : asked, delay } );
}

auto gateway_node::fetch_records( core::instance_id const& from,
                                  std::function<void()> ended ) -> void
{
    auto const& ip = group_.peers().at( from ).ip;
    auto call = adapters::asio::http_call{};
    call.address = { ip, settings_.peers.port };
    call.pool = "peer " + ip;
    call.text =
        std::make_shared<std::string const>( adapters::asio::write_request(
            "GET", peers::state_request_path( registry_.known_until() ),
            { { "Host", ip } }, "" ) );
    call.max_reply_bytes = max_fetched_bytes;
    http_.fetch( std::move( call ), fetch_timeout,
                 [this, from, ended = std::move( ended )]( auto reply )
                 {
                     ended();
                     if ( reply.has_error() )
                         return;
                     auto const update =
                         peers::decode_update( reply.value().body );
                     if ( update.has_value() )
                         registry_.apply_update( update.value(), from.str() );
                     update_store_state();
                 } );
}

auto gateway_node::apply( platform::gateway_settings const& next )
    -> std::string
{
    auto deferred = std::string{};
    auto const check = [&deferred]( bool same, char const* name )
    {
        if ( !same )
            deferred += ( deferred.empty() ? "" : ", " ) + std::string( name );
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
        std::min( directory_ttl, next.longest_directory_ttl ) );
    settings_.seed_ips = next.seed_ips;
    for ( auto const& ip : next.seed_ips )
        group_.add_seed_ip( ip );
    return deferred;
}

}
