#include <pollenstream/core/invariant.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// Duration of one watch. If the store discards its history, open watches get
/// no more changes, and only a new watch reports the loss. A short watch keeps
/// the delay of changes below two seconds, as leaving targets require.
constexpr auto watch_timeout = core::duration( 700ms );
/// Time after which an instance without records sends another list call beside
/// one that has no answer. A call that was made while the store was unreachable
/// stays without one after the store's return.
constexpr auto next_list_delay = core::duration( 250ms );
/// Bounds the connections that hang at the same time: calls time out after this
/// many delays.
constexpr auto max_open_lists = 6;
/// Bounds of the pause before the next call after a failure; it doubles.
constexpr auto min_pause = core::duration( 100ms );
constexpr auto max_pause = core::duration( 800ms );

}

registry_watch::registry_watch( ports::record_store& store,
                                ports::scheduler& scheduler,
                                registry_codec const& codec,
                                exchange::load_table& loads,
                                exchange::event_log& log,
                                registry_events events )
    : store_( store ), scheduler_( scheduler ), codec_( codec ),
      load_table_( loads ), log_( log ), events_( std::move( events ) )
{
}

auto registry_watch::start() -> void
{
    list();
}

auto registry_watch::start_following() -> void
{
    reads_store_ = false;
}

auto registry_watch::set_reader( bool reader ) -> void
{
    if ( std::exchange( reads_store_, reader ) == reader || !reader )
        return;
    if ( call_in_progress_ || retry_call_ )
        return;
    if ( known_until_ == ports::store_revision{} )
        list();
    else
        watch();
}

auto registry_watch::store_age() const -> core::duration
{
    return scheduler_.now() - answered_at_;
}

auto registry_watch::served_for() const -> core::duration
{
    if ( !reads_store_ || !store_serves_ )
        return core::duration( 0 );
    return scheduler_.now() - served_since_;
}

/// Starts the next watch, unless this instance no longer reads the store.
auto registry_watch::continue_watching() -> void
{
    if ( reads_store_ )
        watch();
}

auto registry_watch::list() -> void
{
    call_in_progress_ = true;
    ++list_round_;
    open_lists_ = 0;
    send_list();
}

auto registry_watch::send_list() -> void
{
    ++open_lists_;
    arm_next_list();
    // The first records may be old: what has changed since follows at once,
    // from the watch or from another instance. Of many instances that start
    // together each may read them.
    auto const age = known_until_ == ports::store_revision{}
                         ? ports::read_age::any
                         : ports::read_age::latest;
    store_.list( "", age,
                 [this, round = list_round_]( auto batch )
                 {
                     if ( round == list_round_ )
                         run( &registry_watch::on_list, std::move( batch ) );
                 } );
}

/// Sends another list call later, if this instance still needs the records.
auto registry_watch::arm_next_list() -> void
{
    if ( next_list_call_ || known_until_ != ports::store_revision{} )
        return;
    next_list_call_ = scheduler_.call_after(
        next_list_delay,
        [this]
        {
            auto const finished_call = std::move( next_list_call_ );
            if ( reads_store_ && open_lists_ < max_open_lists )
                send_list();
        } );
}

auto registry_watch::watch() -> void
{
    call_in_progress_ = true;
    store_.watch( "", known_until_, watch_timeout,
                  [this]( auto batch )
                  {
                      run( &registry_watch::on_watch, std::move( batch ) );
                  } );
}

/// Handles a reply of the store. If that throws, the records are read again
/// later, as after a failed call: no other call would follow.
auto registry_watch::run( reply_handler handle,
                          core::result<ports::record_batch> batch ) -> void
{
    try
    {
        ( this->*handle )( std::move( batch ) );
    }
    catch ( std::exception const& e )
    {
        on_failure( { core::error_code::failed, e.what() } );
    }
}

auto registry_watch::on_list( core::result<ports::record_batch> batch ) -> void
{
    --open_lists_;
    if ( batch.has_error() && open_lists_ > 0 )
        return arm_next_list();
    call_in_progress_ = false;
    next_list_call_.reset();
    ++list_round_;
    if ( batch.has_error() )
        return on_failure( batch.error() );
    on_success();
    auto const previous_revision = known_until_;
    apply_list( batch.value(), "store" );
    if ( events_.on_update && known_until_ > previous_revision )
        events_.on_update( changes_after( previous_revision ) );
    continue_watching();
}

auto registry_watch::on_watch( core::result<ports::record_batch> batch ) -> void
{
    call_in_progress_ = false;
    if ( batch.has_error() )
    {
        // The store may have discarded its history, the lost connection may
        // have hidden changes, or all changes together are too large for one
        // reply, so list all records. None of these is an outage yet; the list
        // call shows whether there is one.
        auto const code = batch.error().code;
        if ( code == core::error_code::expired ||
             code == core::error_code::connection_lost ||
             code == core::error_code::malformed )
            return list();
        return on_failure( batch.error() );
    }
    on_success();
    auto const previous_revision = known_until_;
    for ( auto const& r : batch.value().records )
        apply_record( r, "store" );
    known_until_ = std::max( known_until_, batch.value().at );
    if ( events_.on_update && known_until_ > previous_revision )
        events_.on_update( changes_after( previous_revision ) );
    continue_watching();
}

auto registry_watch::on_failure( core::error const& error ) -> void
{
    if ( std::exchange( store_problem_, error.detail ) != error.detail )
        log_.record(
            exchange::state_change{ "store", "", "away", error.detail, {} } );
    if ( store_serves_ || outage_since_ == core::instant{} )
        outage_since_ = scheduler_.now() - store_age();
    store_serves_ = false;
    outage_until_ = scheduler_.now();
    schedule_retry();
}

auto registry_watch::on_success() -> void
{
    retry_pause_ = core::duration( 0 );
    store_problem_.clear();
    answered_at_ = scheduler_.now();
    reported_lapse_until_ = core::instant{};
    if ( store_serves_ )
        return;
    store_serves_ = true;
    served_since_ = answered_at_;
    if ( std::exchange( has_served_, true ) )
        outage_until_ = scheduler_.now();
    log_.record(
        exchange::state_change{ "store", "", "serves", "it answered", {} } );
}

auto registry_watch::schedule_retry() -> void
{
    retry_pause_ = std::clamp( retry_pause_ * 2, min_pause, max_pause );
    retry_call_ = scheduler_.call_after( retry_pause_,
                                         [this]
                                         {
                                             auto const finished_call =
                                                 std::move( retry_call_ );
                                             if ( reads_store_ )
                                                 list();
                                         } );
}

auto registry_watch::apply_list( ports::record_batch const& batch,
                                 std::string const& source ) -> void
{
    auto listed = std::set<std::string>{};
    for ( auto const& r : batch.records )
    {
        listed.insert( r.key );
        apply_record( r, source );
    }
    auto gone = std::vector<std::string>{};
    for ( auto const& [key, known] : records_ )
        if ( !listed.contains( key ) && known.revision <= batch.at )
            gone.push_back( key );
    for ( auto const& key : gone )
        apply_removal( key, batch.at, source );
    known_until_ = std::max( known_until_, batch.at );
}

}
