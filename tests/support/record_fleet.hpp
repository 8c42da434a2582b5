#ifndef TESTS_SUPPORT_RECORD_FLEET_HPP
#define TESTS_SUPPORT_RECORD_FLEET_HPP

#include "registry_records.hpp"
#include "support/exchange_fixture.hpp"
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/record_fetch.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tests
{

class record_fleet;

/// The platform's store as one instance reaches it. It answers after
/// `answer_time`, or refuses if it turns the instance away.
class store_link : public ports::record_store
{
public:
    static constexpr auto answer_time =
        core::duration( std::chrono::milliseconds( 4 ) );

    explicit store_link( record_fleet& fleet ) : fleet_( fleet ) {}

    auto list( std::string const& prefix,
               ports::read_age age,
               batch_done callback ) -> void override;
    auto watch( std::string const& prefix,
                ports::store_revision known,
                core::duration limit,
                batch_done callback ) -> void override;
    auto write( ports::record_changes const& changes,
                ports::lease_id lease,
                done callback ) -> void override;
    auto grant_lease( core::duration time, lease_done callback )
        -> void override;
    auto renew_lease( ports::lease_id lease, done callback ) -> void override;
    auto end_lease( ports::lease_id lease, done callback ) -> void override;

    bool turns_away{ false };

private:
    record_fleet& fleet_;
};

/// One instance: its view of the other instances and of the store's records.
class record_instance : public peers::datagram_sender
{
public:
    record_instance( record_fleet& fleet, int number );

    auto start() -> void;
    auto send( std::string const& ip, std::string const& bytes )
        -> void override;
    [[nodiscard]] auto is_drained( std::string const& data_centre ) const
        -> bool;

    /// Others hear nothing of it and get no answer from it. What it knows
    /// itself is not judged then.
    bool is_frozen{ false };
    std::string ip;
    exchange::load_table loads;
    exchange::crash_history crashes{ std::chrono::seconds( 6 ) };
    recorded_events log;
    store_link store;
    peers::peer_group group;
    pollenstream::registry::registry_watch watch;

private:
    auto events() -> pollenstream::registry::registry_events;
    auto tick() -> void;
    auto set_store_state() -> void;
    [[nodiscard]] auto
    choose_source( std::set<core::instance_id> const& except ) const
        -> std::optional<core::instance_id>;
    auto fetch_from( core::instance_id const& id, std::function<void()> ended )
        -> void;

    record_fleet& fleet_;
    peers::record_fetch fetch_;
    std::unique_ptr<ports::scheduled_call> tick_call_;
};

/// Instances on one simulated clock that follow the records of one store, as
/// the gateway wires them.
class record_fleet
{
public:
    explicit record_fleet( int instances );

    /// The operator writes or removes a record.
    auto change( std::string const& key, std::optional<std::string> value )
        -> void;
    auto deliver( std::string const& from,
                  std::string const& to,
                  std::string bytes ) -> void;
    /// Time until `holds` is true of all instances; `limit` if it is not by
    /// then.
    auto time_until( std::function<bool( record_instance const& )> const& holds,
                     core::duration limit ) -> core::duration;
    /// The instances that read the store.
    auto readers() -> std::vector<record_instance*>;
    [[nodiscard]] auto changes_after( ports::store_revision after ) const
        -> ports::record_batch;
    [[nodiscard]] auto find( std::string const& ip ) -> record_instance*;
    auto after( core::duration delay, std::function<void()> what ) -> void;

    held_scheduler scheduler;
    pollenstream::platform::registry_records codec;
    std::vector<std::unique_ptr<record_instance>> all;
    ports::store_revision revision{ 1 };
    double datagram_loss{ 0 }; ///< share of datagrams that do not arrive

private:
    std::vector<ports::record> history_;
    std::map<std::string, record_instance*> by_ip_;
    std::map<std::int64_t, std::unique_ptr<ports::scheduled_call>> calls_;
    std::int64_t last_call_{ 0 };
    std::minstd_rand random_{ 1 };
};

}

#endif
