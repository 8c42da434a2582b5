#ifndef TESTS_SUPPORT_EXCHANGE_FLEET_HPP
#define TESTS_SUPPORT_EXCHANGE_FLEET_HPP

#include "support/exchange_fixture.hpp"
#include "support/fleet_handovers.hpp"
#include <pollenstream/handover/outgoing_handovers.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/quarantine.hpp>
#include <pollenstream/peers/target_path_watch.hpp>
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

/// One request that ran at a target of the fleet.
struct fleet_run
{
    std::string body;
    core::target_id target;
    std::string instance; ///< the instance that sent it
    core::instant sent_at;
    exchange::attempt_id attempt;                ///< the caller's attempt
    std::vector<exchange::prompt_part_id> parts; ///< of the prompt
};

/// How the answers of targets end.
enum class answer_end
{
    by_length,
    by_close,       ///< also those that a crash cuts between two events
    by_close_inside ///< the same, but a crash cuts them inside an event
};

/// What happens to connections between an instance and all targets.
enum class target_link
{
    sound,
    resets,      ///< open connections are reset, new ones refused
    hangs,       ///< nothing arrives in either direction
    refuses_new, ///< open connections live on, new ones are refused
};

/// Simulated targets of one service, shared by the instances of an
/// `exchange_fleet`. A request whose body begins with "fatal" crashes its
/// target shortly after it has begun to run, and one with a fatal part of the
/// prompt shortly after its answer has begun. A crash closes the target's
/// connections; its registry entry expires later, and a replacement starts.
class fleet_targets : public exchange::target_probe
{
public:
    struct times
    {
        core::duration prefill{ std::chrono::milliseconds( 60 ) };
        core::duration until_crash{ std::chrono::milliseconds( 80 ) };
        core::duration event_gap{ std::chrono::milliseconds( 40 ) };
        core::duration until_entry_expiry{ std::chrono::milliseconds( 2'500 ) };
        core::duration until_replacement{ std::chrono::milliseconds( 3'000 ) };
    };

    /// Called for each target that is added to or removed from the registry.
    using listed_callback =
        std::function<void( exchange::target_properties const& )>;
    using unlisted_callback = std::function<void( core::target_id const& )>;

    fleet_targets( held_scheduler& scheduler,
                   std::string service,
                   listed_callback on_listed,
                   unlisted_callback on_unlisted );
    ~fleet_targets() override;
    fleet_targets( fleet_targets const& ) = delete;
    auto operator=( fleet_targets const& ) -> fleet_targets& = delete;

    auto add() -> void;
    auto send( std::string const& instance,
               exchange::outgoing_request request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt>;
    auto probe( core::address const& address, done callback ) -> void override;
    /// Probes over the link of `instance`.
    auto probe_from( std::string const& instance,
                     core::address const& address,
                     done callback ) -> void;
    auto set_link( std::string const& instance, target_link link ) -> void;
    /// Resets or mutes the open connections of `instance`, as its link does.
    auto apply_link( std::string const& instance ) -> void;
    /// The target sends nothing for `time` and then goes on.
    auto fall_silent( core::target_id const& id, core::duration time ) -> void;
    /// Crashes the target together with all requests that run there.
    auto crash( core::target_id const& id ) -> void;
    /// From now on the target's answers announce that it is leaving.
    auto announce_leaving( core::target_id const& id ) -> void;
    /// The target rejects the next request of `instance` as not run and asks
    /// the instance for a pause.
    auto reject_next( core::target_id const& id,
                      std::string const& instance,
                      core::duration pause ) -> void;
    /// From now on the target's answers announce this limit, or none.
    auto announce_limit( core::target_id const& id,
                         std::optional<double> per_second ) -> void;
    /// Closes all connections of the target, which keeps running.
    auto cut( core::target_id const& id ) -> void;

    [[nodiscard]] auto properties() const
        -> std::vector<exchange::target_properties>;
    [[nodiscard]] auto has( core::target_id const& id ) const -> bool
    {
        return targets_.contains( id );
    }

    std::vector<fleet_run> runs;
    int crashes{ 0 };
    /// When requests with each fatal part have crashed targets.
    std::map<exchange::prompt_part_id, std::vector<core::instant>> part_crashes;
    std::set<exchange::prompt_part_id> fatal_parts;
    answer_end end_of_answers{ answer_end::by_length };
    /// Events that the answer on a fatal part has before its target crashes.
    int events_before_crash{ 0 };
    /// Of ten requests that run, this many are answered with a failure.
    int failures_in_ten{ 0 };
    times time;
    bool answers_probes{ true };
    int probes{ 0 };

private:
    class run;
    struct target_state
    {
        exchange::target_properties properties;
        std::vector<std::weak_ptr<run>> open;
        core::instant silent_until;
        std::map<std::string, int> connections; ///< made so far, by instance
        bool leaving{ false };
        std::map<std::string, core::duration> pauses; ///< to request
        std::optional<double> limit;                  ///< requests a second
    };

    auto after( core::duration delay, std::function<void()> what ) -> void;
    auto next_run_fails() -> bool;
    [[nodiscard]] auto link_of( std::string const& instance ) const
        -> target_link;
    /// True if `instance` has an idle connection to the target.
    auto has_connection( std::string const& instance,
                         core::target_id const& id ) -> bool;
    auto fail_to_connect( std::shared_ptr<run> const& attempt,
                          target_link link ) -> void;

    held_scheduler& scheduler_;
    std::string service_;
    listed_callback on_listed_;
    unlisted_callback on_unlisted_;
    std::map<core::target_id, target_state> targets_;
    std::map<std::string, target_link> links_; ///< those that are not sound
    std::vector<exchange::target_properties> listed_; ///< in the registry
    std::vector<std::unique_ptr<ports::scheduled_call>> calls_;
    int last_{ 0 };
    int answered_{ 0 };
};

class exchange_fleet;

/// The platform's store, of which only writes and leases are simulated.
class fleet_store : public ports::record_store
{
public:
    explicit fleet_store( exchange_fleet& fleet ) : fleet_( fleet ) {}

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

    bool is_unavailable{ false };
    int writes{ 0 };
    std::map<std::string, std::string> records;

private:
    exchange_fleet& fleet_;
};

/// One instance of a fleet: the real placement, gossip and exchanges in front
/// of simulated targets, network and store.
class fleet_instance
{
public:
    /// `started`: when the process started, or long ago.
    fleet_instance( exchange_fleet& fleet,
                    int number,
                    int incarnation,
                    core::instant started );
    ~fleet_instance();
    fleet_instance( fleet_instance const& ) = delete;
    auto operator=( fleet_instance const& ) -> fleet_instance& = delete;

    auto start( exchange::caller_request what,
                std::shared_ptr<exchange::answer_channel> answer )
        -> std::weak_ptr<exchange::exchange>;
    /// Proves that a request comes from another instance.
    [[nodiscard]] auto key() const -> core::handover_key;

    std::string name;
    std::string ip;
    exchange::load_table loads;
    exchange::crash_history crashes{ std::chrono::seconds( 6 ) };
    recorded_events log;

private:
    class sender;
    class targets;
    class handover_sender;

    exchange_fleet& fleet_;
    int incarnation_;
    std::unique_ptr<exchange::request_encoder> encoder_;
    recorded_reservations reservations_;
    exchange::placement chooser_;
    exchange::shared_retry_budget retries_;
    exchange::target_path path_;
    exchange::wait_queue wait_queue_;
    std::unique_ptr<sender> sender_;
    std::unique_ptr<targets> targets_;
    std::unique_ptr<handover_sender> handover_sender_;

public:
    peers::peer_group group;
    handover::outgoing_handovers handovers;

private:
    exchange::placement_coordinator coordinator_;
    peers::placement_router router_;

public:
    exchange::exchange_context context;

private:
    peers::target_path_watch path_watch_;
    peers::quarantine quarantine_;

public:
    pollenstream::registry::quarantine_records records;
};

/// Outcome of one request over all attempts of its caller.
struct fleet_call
{
    std::string path;
    std::string body;
    std::vector<exchange::prompt_part_id> parts; ///< of the prompt
    core::instant began;
    int attempts{ 0 };
    int status{ 0 }; ///< of the last attempt; 0 if its stream was aborted
    bool served{ false };
    /// Passed on as whole although events were missing at the end.
    bool cut_short{ false };
    core::duration longest_attempt{ 0 };
};

/// Several instances on one simulated clock. They exchange datagrams and share
/// the targets of two services, `model` and `plain`.
class exchange_fleet
{
public:
    exchange_fleet( int instances,
                    int engines,
                    int plain,
                    double retry_constant = 100 );
    ~exchange_fleet();
    exchange_fleet( exchange_fleet const& ) = delete;
    auto operator=( exchange_fleet const& ) -> exchange_fleet& = delete;

    /// Sends a request to instance `number`. If it fails and may be retried,
    /// the caller retries it once at any instance.
    auto call( int number,
               std::string path,
               std::string body,
               std::vector<exchange::prompt_part_id> parts = {} )
        -> std::shared_ptr<fleet_call>;
    /// Ends the instance; its open requests are lost.
    auto kill( int number ) -> void;
    /// Starts the instance with the registry's targets and the store's records,
    /// and no other state of its predecessor.
    auto restart( int number ) -> void;
    /// Disconnects the instance from the other instances and the records of the
    /// store, or reconnects it.
    auto cut( int number, bool is_disconnected ) -> void;
    /// Sets the link between the instance and all targets.
    auto set_target_link( int number, target_link link ) -> void;
    [[nodiscard]] auto is_running( int number ) const -> bool
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

    /// All targets begin to warm up, as their records tell all instances.
    /// Until `left` has passed each takes `per_second` requests from all
    /// instances together.
    auto warm_up_all( double per_second, core::duration left ) -> void;

    /// Passes a record that was written to all connected instances.
    auto deliver_record( std::string const& key, std::string const& value )
        -> void;

    /// Writes a quarantine into the store, as a coordinator does.
    auto write_quarantine( exchange::quarantined_group const& group ) -> void;

    int drop_every{ 0 }; ///< each n-th datagram is lost; 0: none
    exchange::retry_allowance const retry_allowance;
    /// Attempts of callers by path, also at instances that do not run.
    std::map<std::string, std::vector<core::instant>> attempts;
    held_scheduler scheduler;
    /// Requests that instances hand over to each other.
    fleet_handovers handovers;
    fleet_store store{ *this };
    fleet_targets engines;
    fleet_targets plain;
    exchange::configuration_ptr configuration;

private:
    class caller;

    auto list( exchange::target_properties const& properties ) -> void;
    auto unlist( core::target_id const& id ) -> void;
    auto begin_attempt( int number, std::shared_ptr<fleet_call> const& call )
        -> void;
    auto tell_warm_up( fleet_instance& instance ) -> void;
    auto take_over( handover::peer_access const& to,
                    exchange::caller_request request,
                    std::shared_ptr<exchange::answer_channel> answer )
        -> std::function<void()>;

    double warm_up_rate_{ 0 };
    core::instant warm_up_until_;
    std::vector<std::unique_ptr<fleet_instance>> instances_;
    std::set<std::string> disconnected_; ///< IP addresses
    std::vector<std::unique_ptr<ports::scheduled_call>> calls_;
    int last_attempt_{ 0 };
    int last_incarnation_{ 0 };
    int datagrams_{ 0 };
};

}

#endif
