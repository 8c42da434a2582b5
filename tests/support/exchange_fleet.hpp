#ifndef TESTS_SUPPORT_EXCHANGE_FLEET_HPP
#define TESTS_SUPPORT_EXCHANGE_FLEET_HPP

#include "support/exchange_fixture.hpp"
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/quarantine.hpp>
#include <pollenstream/registry/quarantine_records.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tests
{

/// One run at a target of the fleet.
struct fleet_run
{
    std::string body;
    core::target_id target;
    std::string instance; ///< that sent it
    core::instant sent_at;
};

/// Targets of one service, shared by the instances of an `exchange_fleet`. A
/// request begins to run some time after it has come and ends its target when
/// it has run for a moment, if its body says so. The connections of a target
/// that ends are closed, its entry lapses later, and another one starts.
class fleet_targets : public exchange::target_probe
{
public:
    struct times
    {
        core::duration prefill{ std::chrono::milliseconds( 60 ) };
        core::duration until_crash{ std::chrono::milliseconds( 80 ) };
        core::duration event_gap{ std::chrono::milliseconds( 40 ) };
        core::duration until_lapse{ std::chrono::milliseconds( 2'500 ) };
        core::duration until_start{ std::chrono::milliseconds( 3'000 ) };
    };

    /// Told of each target that appears in or vanishes from the registry.
    using listed = std::function<void( exchange::target_properties const& )>;
    using unlisted = std::function<void( core::target_id const& )>;

    fleet_targets( held_scheduler& scheduler,
                   std::string service,
                   listed on_listed,
                   unlisted on_unlisted );
    ~fleet_targets() override;
    fleet_targets( fleet_targets const& ) = delete;
    auto operator=( fleet_targets const& ) -> fleet_targets& = delete;

    auto add() -> void;
    auto send( std::string const& instance,
               exchange::outgoing_request request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt>;
    auto probe( core::address const& address, done callback ) -> void override;
    /// Ends the target, whatever runs there.
    auto crash( core::target_id const& id ) -> void;
    /// From now on the target's answers say that it leaves.
    auto leave( core::target_id const& id ) -> void;
    /// The target turns the next request of `instance` away and asks it for a
    /// pause.
    auto turn_away( core::target_id const& id,
                    std::string const& instance,
                    core::duration pause ) -> void;
    /// From now on the target's answers name this limit, or none.
    auto name_limit( core::target_id const& id,
                     std::optional<double> per_second ) -> void;
    /// Breaks all that is open at the target, which lives on.
    auto cut( core::target_id const& id ) -> void;

    [[nodiscard]] auto properties() const
        -> std::vector<exchange::target_properties>;
    [[nodiscard]] auto has( core::target_id const& id ) const -> bool
    {
        return targets_.contains( id );
    }

    std::vector<fleet_run> runs;
    int crashes{ 0 };
    times time;
    bool answers_probes{ true };

private:
    class run;
    struct one_target
    {
        exchange::target_properties properties;
        std::vector<std::weak_ptr<run>> open;
        bool leaving{ false };
        std::map<std::string, core::duration> pauses; ///< to ask for
        std::optional<double> limit;                  ///< requests a second
    };

    auto after( core::duration delay, std::function<void()> what ) -> void;

    held_scheduler& scheduler_;
    std::string service_;
    listed on_listed_;
    unlisted on_unlisted_;
    std::map<core::target_id, one_target> targets_;
    std::vector<exchange::target_properties> listed_; ///< in the registry
    std::vector<std::unique_ptr<ports::scheduled_call>> calls_;
    int last_{ 0 };
};

class exchange_fleet;

/// The platform's store, as far as instances write to it; may be away.
class fleet_store : public ports::record_store
{
public:
    explicit fleet_store( exchange_fleet& fleet ) : fleet_( fleet ) {}

    auto list( std::string const& prefix, batch_done callback )
        -> void override;
    auto watch( std::string const& prefix,
                ports::store_revision known,
                core::duration limit,
                batch_done callback ) -> void override;
    auto put( std::string const& key,
              std::string const& value,
              ports::lease_id lease,
              done callback ) -> void override;
    auto grant_lease( core::duration time, lease_done callback )
        -> void override;
    auto renew_lease( ports::lease_id lease, done callback ) -> void override;
    auto end_lease( ports::lease_id lease, done callback ) -> void override;

    bool is_away{ false };
    int writes{ 0 };
    std::map<std::string, std::string> records;

private:
    exchange_fleet& fleet_;
};

/// One instance of a fleet: all that places and sends, before stand-ins.
class fleet_instance
{
public:
    fleet_instance( exchange_fleet& fleet, int number, int incarnation );
    ~fleet_instance();
    fleet_instance( fleet_instance const& ) = delete;
    auto operator=( fleet_instance const& ) -> fleet_instance& = delete;

    auto start( exchange::caller_request what,
                std::shared_ptr<recorded_channel> answer ) -> void;

    std::string name;
    std::string ip;
    exchange::load_table loads;
    exchange::crash_history crashes{ std::chrono::seconds( 6 ) };
    recorded_events log;

private:
    class sender;
    class targets;

    exchange_fleet& fleet_;
    std::unique_ptr<exchange::request_encoder> encoder_;
    recorded_reservations reservations_;
    exchange::placement chooser_;
    exchange::shared_retry_budget retries_;
    exchange::wait_queue wait_queue_;
    std::unique_ptr<sender> sender_;
    std::unique_ptr<targets> targets_;

public:
    peers::peer_group group;

private:
    exchange::placement_coordinator coordinator_;
    peers::placement_router router_;

public:
    exchange::exchange_context context;

private:
    peers::quarantine quarantine_;

public:
    pollenstream::registry::quarantine_records records;
};

/// What became of one request over all tries of its caller.
struct fleet_call
{
    std::string path;
    std::string body;
    int tries{ 0 };
    int status{ 0 }; ///< of the last try; 0 where its stream was cut
    bool served{ false };
    core::duration longest_try{ 0 };
};

/// Some instances in held time that hear each other by datagrams and share the
/// targets of two services, `model` and `plain`.
class exchange_fleet
{
public:
    exchange_fleet( int instances, int engines, int plain );
    ~exchange_fleet();
    exchange_fleet( exchange_fleet const& ) = delete;
    auto operator=( exchange_fleet const& ) -> exchange_fleet& = delete;

    /// A caller asks instance `at`, and another one once more where that fails
    /// and the request may be sent again.
    auto call( int at, std::string path, std::string body )
        -> std::shared_ptr<fleet_call>;
    /// The instance ends; what it has open breaks.
    auto kill( int number ) -> void;
    /// Starts it anew; it knows nothing of before.
    auto restart( int number ) -> void;
    /// Nothing passes between the instance and the others.
    auto cut( int number, bool is_cut ) -> void;
    [[nodiscard]] auto lives( int number ) const -> bool
    {
        return instances_.at( static_cast<std::size_t>( number ) ) != nullptr;
    }
    [[nodiscard]] auto size() const -> int
    {
        return static_cast<int>( instances_.size() );
    }
    [[nodiscard]] auto at( int number ) -> fleet_instance&
    {
        return *instances_.at( static_cast<std::size_t>( number ) );
    }

    auto deliver( std::string const& from,
                  std::string const& to,
                  std::string bytes ) -> void;
    auto targets_of( core::address const& address ) -> fleet_targets&;

    /// All instances hear of a record that was written.
    auto tell_record( std::string const& key, std::string const& value )
        -> void;

    int lost_each{ 0 }; ///< of so many datagrams one is lost; 0: none
    held_scheduler scheduler;
    fleet_store store{ *this };
    fleet_targets engines;
    fleet_targets plain;
    exchange::configuration_ptr configuration;

private:
    class caller;

    auto list( exchange::target_properties const& properties ) -> void;
    auto unlist( core::target_id const& id ) -> void;
    auto begin_attempt( int number, std::shared_ptr<fleet_call> const& which )
        -> void;

    std::vector<std::unique_ptr<fleet_instance>> instances_;
    std::set<std::string> silent_;
    std::vector<std::unique_ptr<ports::scheduled_call>> calls_;
    int last_attempt_{ 0 };
    int last_incarnation_{ 0 };
    int delivered_{ 0 };
};

}

#endif
