#include "gateway_node.hpp"
#include "shortage_change.hpp"
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <optional>
#include <string>
#include <utility>

// What `gateway_node` does on events of its components, and what it logs.

namespace pollenstream::gateway
{

auto gateway_node::make_registry_events() -> registry::registry_events
{
    auto events = registry::registry_events{};
    events.on_configuration = [this]( auto configuration )
    {
        note_configuration_delay( configuration->version );
        coordinator_.set_configuration( configuration );
        load_table_.set_warm_up_rates( configuration->warm_up_rates(),
                                       scheduler_.now() );
        load_table_.set_engine_models( configuration->engine_models(),
                                       scheduler_.now() );
        context_.configuration = std::move( configuration );
        first_service_.note( observation::start_stage::configuration );
        update_ready();
        wait_queue_.schedule_round();
    };
    events.on_target_left = []( auto const& ) {};
    events.on_quarantine = [this]( auto const&, auto const& value )
    {
        quarantine_records_.apply_record( value );
    };
    events.others_served_for = [this]
    {
        return group_.others_served_for();
    };
    events.on_update = [this]( auto const& update )
    {
        update_store_state();
        // An instance that is not to read the store stops after it has listed
        // all records. Those that read the store already know its update.
        auto const reads_store = group_.should_read_store();
        registry_.set_reader( reads_store );
        if ( !reads_store )
            return;
        group_.share_update( peers::encode_update( update ) );
    };
    events.on_targets_changed = [this]
    {
        if ( !load_table_.all().empty() )
            first_service_.note( observation::start_stage::targets );
        wait_queue_.schedule_round();
    };
    events.on_instance = [this]( auto const& key, auto const& ip )
    {
        add_instance( key, ip );
    };
    events.on_instance_removed = [this]( auto const& key )
    {
        instance_records_.note_removed( key );
    };
    return events;
}

/// Another writer's record may hold anything.
auto gateway_node::add_instance( std::string const& key, std::string const& ip )
    -> void
{
    auto ec = adapters::asio::error_code{};
    adapters::asio::net::ip::make_address( ip, ec );
    if ( !ec )
        return group_.add_ip( ip );
    log_.record( exchange::state_change{
        "instance", key, "unreadable", "its value is no address", {} } );
}

auto gateway_node::connect_events() -> void
{
    unsent_answers_->on_dropped =
        [this]( auto const& caller, auto bytes, auto stalled )
    {
        record_dropped_caller( caller, bytes, stalled );
    };
    connection_accounts_->on_shortage = [this]( auto const& report )
    {
        log_.record( shortage_change( report ) );
    };
    store_.on_too_large = [this]( auto const& key, auto bytes )
    {
        log_.record( exchange::state_change{
            "record",
            key,
            "left_out",
            "its value has " + std::to_string( bytes ) + " bytes",
            {} } );
    };
    group_.set_placement_handler( router_ );
    group_.on_load_changed = [this]
    {
        wait_queue_.schedule_round();
    };
    load_table_.on_slowdown_changed = [this]( auto const& change )
    {
        log_.record( exchange::slowdown_state_change( change ) );
        wait_queue_.schedule_round();
    };
    group_.on_update = [this]( auto const& from, auto const& bytes )
    {
        auto const update = peers::decode_datagram_update( bytes );
        if ( update.has_value() )
            registry_.apply_update( update.value(), from );
        update_store_state();
    };
    retries_.on_used_up = [this]( auto const& state )
    {
        record_retry_budget( state );
    };
    group_.on_size_changed = [this]
    {
        retries_.set_instances( group_.size() );
    };
    quarantine_.on_changed = [this]( auto const& suspects )
    {
        quarantine_records_.on_changed( suspects );
    };
}

auto gateway_node::note_failure( std::string const& what,
                                 std::exception const& e ) -> void
{
    failures_.add();
    log_.record( exchange::state_change{ what, "", "failed", e.what(), {} } );
}

auto gateway_node::record_dropped_caller( std::string const& caller,
                                          std::size_t bytes,
                                          core::duration stalled ) -> void
{
    log_.record( exchange::state_change{
        "caller", caller, "dropped",
        "it did not take " + std::to_string( bytes ) + " bytes", stalled } );
}

auto gateway_node::record_retry_budget(
    exchange::used_up_retry_budget const& state ) -> void
{
    auto because = std::to_string( state.retries ) + " in the window, one of " +
                   std::to_string( state.instances ) + " instances";
    log_.record( exchange::state_change{ "retry_budget", state.service.str(),
                                         "used_up", std::move( because ),
                                         scheduler_.now() - started_ } );
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
