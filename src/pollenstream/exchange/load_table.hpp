#ifndef POLLENSTREAM_EXCHANGE_LOAD_TABLE_HPP
#define POLLENSTREAM_EXCHANGE_LOAD_TABLE_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/report_memory.hpp>
#include <pollenstream/exchange/request_limit.hpp>
#include <pollenstream/exchange/routes.hpp>
#include <pollenstream/exchange/split_queue.hpp>
#include <pollenstream/scheduling/engine_speeds.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenstream::exchange
{

/// One lifetime of a target. A target that restarts keeps its id but none of
/// its open work or memory, so updates of an earlier lifetime do not apply to
/// a later one.
struct target_ref
{
    target_ref() = default;
    // Implicit: without a reported lifetime, the id alone names the target.
    target_ref( core::target_id target, core::target_lifetime lifetime_of = {} )
        : id( std::move( target ) ), lifetime( lifetime_of )
    {
    }

    core::target_id id;
    core::target_lifetime lifetime;

    friend auto operator==( target_ref const&, target_ref const& )
        -> bool = default;
};

/// What the registry's record of a target contains.
struct target_properties
{
    core::target_id id;
    core::target_lifetime lifetime;
    core::service_id service;
    core::address address;
    core::data_centre_id data_centre;
    std::int64_t slots{ 1 };
    bool leaving{ false };
    core::duration warm_up_left{ 0 }; ///< as of the record
};

/// The part of a request's work that one target does.
struct work_part
{
    core::target_id target;
    /// Time that the target prefills for this part if it runs as configured.
    double prefill_ms{ 0 };
    std::int64_t memory_tokens{ 0 };  ///< held there until the work ends
    core::target_lifetime lifetime{}; ///< of the target, when it was chosen
};

/// A request that is open at targets, as its instance reports it to the
/// coordinators. The target of the first part also decodes the answer.
struct open_work
{
    std::uint64_t serial{ 0 }; ///< unique within its instance's lifetime
    std::vector<work_part> parts;
    std::int64_t context_tokens{ 0 };
    std::int64_t tolerated_gap_ms{ 0 }; ///< longest gap between events allowed
    bool prefilling{ true };            ///< the first event is outstanding
    /// A run of the same content broke off at another target and may have
    /// crashed it.
    bool is_suspect{ false };
    /// Memory is reserved and released at each target by separate calls.
    bool reserves{ false };
    core::duration sent_ago{ 0 }; ///< age of the request at the report

    /// Number of requests that the target of a part is sent: one, or with
    /// reservations the two calls that reserve and release memory and, at the
    /// first part's target, the request itself.
    [[nodiscard]] auto requests_at( std::size_t part ) const -> std::size_t
    {
        constexpr auto reservation_calls = std::size_t{ 2 };
        if ( !reserves )
            return 1;
        return part == 0 ? reservation_calls + 1 : reservation_calls;
    }
};

/// Requests that tolerate gaps between events up to the same length.
struct gap_tolerance_group
{
    std::int64_t requests{ 0 };
    double weight{ 0 }; ///< sum of the `weight_of` values of their prompts
};

/// Weight of a request relative to others. Users value a request by its
/// prompt's size; this linear function approximates the weights they state (1.3
/// for 5,000 tokens, 3.1 for 45,000, 22 for 210,000).
constexpr auto weight_of( std::int64_t prompt_tokens ) -> double
{
    constexpr auto tokens_per_weight = 10'000.0;
    return 1 + static_cast<double>( prompt_tokens ) / tokens_per_weight;
}

/// Load of one target: the open work there that this instance knows of. On a
/// coordinator this is the work of all instances.
struct target_load
{
    std::int64_t requests{ 0 };       ///< whose first part is here
    std::int64_t suspects{ 0 };       ///< of these, may crash their targets
    std::int64_t decoding{ 0 };       ///< of these, past their prefill
    std::int64_t context_tokens{ 0 }; ///< of the requests that decode
    std::int64_t memory_tokens{ 0 };
    std::int64_t parts_prefilling{ 0 };
    /// Of these, parts of requests that are answered here. An engine prefills
    /// them after all parts that it prefills as a helper.
    std::int64_t own_parts_prefilling{ 0 };
    /// Requests answered here, by the gap that they tolerate, in ms.
    std::map<std::int64_t, gap_tolerance_group> by_tolerated_gap;
    core::instant prefill_until; ///< expected end of all prefills
};

/// How an attempt at a target failed.
enum class target_failure
{
    failed,      ///< answered with a failure, or its connection broke
    turned_away, ///< rejected; does not count as a failure of a full target
};

/// Recent failures of a target and its ejection.
struct target_health
{
    std::int64_t failures_in_a_row{ 0 };
    double failure_share{ 0 }; ///< decaying average, 0 to 1
    core::instant ejected_until;
};

/// One target of the load table.
struct target_entry
{
    target_properties properties;
    std::uint64_t rank{ 0 }; ///< sorts targets alike on every instance
    target_load load;
    target_health health;
    std::optional<reported_load> reported;
    core::instant reported_at;
    bool gone{ false }; ///< not in the registry; its record may return
    /// An answer of the target announced that it leaves. The registry shows
    /// this later, or not at all while the store is unavailable, and cannot
    /// revoke it.
    bool announced_leaving{ false };
    bool data_centre_drained{ false }; ///< by the operator
    request_limit limit;
    bool reported_invalid_limit{ false }; ///< one that cannot be parsed
    scheduling::speed_estimate speed;
    /// Times that prefills and passes take, relative to the configured ones.
    double slowdown{ 1 };
    /// Prefill time added in this lifetime, at the slowdown of its time. Only
    /// differences are used: the work that came between two moments.
    double prefill_added_ms{ 0 };
    /// Work has to be sent later to give a sample for `speed`.
    core::instant samples_count_from;

    [[nodiscard]] auto ref() const -> target_ref
    {
        return { properties.id, properties.lifetime };
    }
    [[nodiscard]] auto is_leaving() const -> bool
    {
        return properties.leaving || announced_leaving;
    }
    /// False for a target that is leaving or no longer registered.
    [[nodiscard]] auto is_staying() const -> bool
    {
        return !is_leaving() && !gone;
    }
    /// False also while the operator has drained its data centre.
    [[nodiscard]] auto takes_work() const -> bool
    {
        return is_staying() && !data_centre_drained;
    }
    /// False also while the target is ejected.
    [[nodiscard]] auto may_get_work( core::instant now ) const -> bool
    {
        return takes_work() && health.ejected_until <= now;
    }
    /// Time until all prefills there are expected to end.
    [[nodiscard]] auto backlog_ms( core::instant now ) const -> double;
};

/// A target that has asked this instance to send nothing until a given time.
struct paused_target
{
    core::target_id id;
    core::instant until;
};

/// Why the slowdown of a target changes.
enum class slowdown_reason
{
    first_events,
    no_samples,    ///< no first event has come for some seconds
    model_changed, ///< the operator has changed or removed the engine model
};

/// A target that was as fast as configured is slower, or is as fast again.
struct slowdown_change
{
    target_ref target;
    double slowdown{ 1 };
    slowdown_reason reason{ slowdown_reason::first_events };
};

/// Effect of an update of a target's properties.
enum class target_change
{
    none,      ///< no change of these kinds, or an earlier lifetime's update
    added,     ///< a new target
    restarted, ///< a later lifetime of a known target
    starts_to_leave,
};

/// All targets and the open work at them, as far as this instance knows.
/// Not thread-safe.
class load_table
{
public:
    using target_map =
        std::unordered_map<core::target_id, std::shared_ptr<target_entry>>;

    /// Adds a target or updates its properties. A later lifetime gets a new
    /// entry, without the open work, memory, load and failures of the earlier
    /// one. Properties of an earlier lifetime are ignored.
    auto put( target_properties properties ) -> target_change;
    auto remove( core::target_id const& id ) -> void;
    /// The registry no longer lists the target: it gets no new work until its
    /// record returns.
    auto mark_gone( core::target_id const& id ) -> void;

    /// The operator has drained the data centre, or returned it to service.
    /// Returns true if this is a change. A drained data centre's targets get no
    /// new work, and what runs there ends as usual.
    auto set_drained( core::data_centre_id const& id, bool drained ) -> bool;
    [[nodiscard]] auto drained_data_centres() const
        -> std::set<core::data_centre_id> const&
    {
        return drained_data_centres_;
    }

    [[nodiscard]] auto find( core::target_id const& id ) const
        -> std::shared_ptr<target_entry>;
    /// Null if the target's current lifetime differs from that of `ref`.
    [[nodiscard]] auto find_lifetime( target_ref const& ref ) const
        -> std::shared_ptr<target_entry>;
    /// The target with the id or the address (IP:PORT) `name`, or null.
    [[nodiscard]] auto find_by_name( std::string const& name ) const
        -> std::shared_ptr<target_entry>;
    /// Targets of a service, sorted by rank.
    [[nodiscard]] auto of_service( core::service_id const& id ) const
        -> std::vector<std::shared_ptr<target_entry>> const&;
    [[nodiscard]] auto all() const -> target_map const&
    {
        return by_id_;
    }

    /// Split prompts that wait for a placement decision on this instance.
    [[nodiscard]] auto split_prompts() -> split_queue&
    {
        return split_prompts_;
    }
    [[nodiscard]] auto split_prompts() const -> split_queue const&
    {
        return split_prompts_;
    }
    /// Requests per second that all instances send to a service, averaged over
    /// about the last second.
    [[nodiscard]] auto arrivals_per_second( core::service_id const& id,
                                            core::instant now ) const -> double;

    /// Share of the time of a service's targets that the prefills sent by all
    /// instances take, averaged over about the last two seconds. It exceeds 1
    /// if more prefill work arrives than the targets can do.
    [[nodiscard]] auto prefill_utilization( core::service_id const& id,
                                            core::instant now ) const -> double;

    /// Adds `work` of the instance `owner` to the load of its targets.
    /// `memory`: of the work of another instance, while it is known.
    auto add_work( core::instance_id const& owner,
                   open_work const& work,
                   core::instant now,
                   std::shared_ptr<report_claim> memory = nullptr ) -> void;
    [[nodiscard]] auto knows_work( core::instance_id const& owner,
                                   std::uint64_t serial ) const -> bool;
    /// The first event of the work has arrived.
    auto end_prefill( core::instance_id const& owner,
                      std::uint64_t serial,
                      core::instant now ) -> void;
    auto end_work( core::instance_id const& owner,
                   std::uint64_t serial,
                   core::instant now ) -> void;
    /// Ends the work and notes a success of the target that answered.
    auto end_served_work( core::instance_id const& owner,
                          std::uint64_t serial,
                          core::instant now ) -> void;
    /// Removes all work of `owner`, an instance that has ended.
    auto end_all_work( core::instance_id const& owner, core::instant now )
        -> void;
    /// The open work of `owner`, as far as it is known.
    [[nodiscard]] auto works_of( core::instance_id const& owner,
                                 core::instant now ) const
        -> std::vector<open_work>;

    /// Notes a failed attempt. Returns true if this ejects a target that was
    /// not ejected before. Like all functions below that take a `target_ref`,
    /// it changes nothing if `ref` is an earlier lifetime.
    auto note_failure( target_ref const& ref,
                       core::instant now,
                       target_failure failure = target_failure::failed )
        -> bool;
    auto note_success( target_ref const& ref ) -> void;
    /// Withdraws all failures and ejections, because what this instance has
    /// seen of targets says nothing about them.
    auto forget_failures() -> void;
    /// The target has announced in an answer that it leaves. Returns true the
    /// first time.
    auto note_announced_leaving( target_ref const& ref ) -> bool;
    /// Takes over the limit of requests per second that an answer of the target
    /// reports, or that it reports none.
    auto note_limit( target_ref const& ref,
                     limit_report const& report,
                     core::instant now ) -> limit_change;
    /// The target has reported a limit that cannot be parsed. Returns true the
    /// first time.
    auto note_invalid_limit( target_ref const& ref ) -> bool;
    auto set_limit_shares( limit_shares const& shares ) -> void
    {
        shares_ = shares;
    }
    [[nodiscard]] auto shares() const -> limit_shares const&
    {
        return shares_;
    }
    /// False if the target's reported limit forbids a request now.
    [[nodiscard]] auto may_send( target_entry const& target,
                                 limit_use use,
                                 core::instant now ) const -> bool
    {
        return target.limit.next( use, shares_, now ) <= now;
    }
    /// The requests a second that targets of each service take while they warm
    /// up; services that are not named have no such limit.
    auto set_warm_up_rates( std::unordered_map<core::service_id, double> rates,
                            core::instant now ) -> void;
    /// The target warms up for `left` from now on. Returns true if it did not
    /// warm up before.
    auto note_warm_up( target_ref const& ref,
                       core::duration left,
                       core::instant now ) -> bool;
    /// Sets the models of the engines of each service. Slowdowns are learned
    /// for the targets of these services.
    auto set_engine_models(
        std::unordered_map<core::service_id, engine_speed> models,
        core::instant now ) -> void;
    /// Whether slowdowns are learned. Only coordinators are told of all work:
    /// to another instance, an engine that works for others would seem slow. An
    /// instance that becomes a coordinator learns from work that is sent once
    /// all others have had time to tell it of theirs.
    auto set_learns_speeds( bool learns, core::instant now ) -> void;
    /// Treats targets without recent first events as configured again. To be
    /// called regularly, as there may be no work that would do so.
    auto expire_slowdowns( core::instant now ) -> void;
    /// Targets that are slower than configured.
    [[nodiscard]] auto slowed() const -> std::set<core::target_id> const&
    {
        return slowed_;
    }
    /// Called when a target becomes slower than configured, or no longer is.
    std::function<void( slowdown_change const& )> on_slowdown_changed;

    /// Position in the order of a service's targets from which a choice starts:
    /// 0 is the first target, values up to 1 the share of targets before it.
    /// Coordinators that know the work of all begin at the first target, so
    /// that they pack alike when one replaces another. An instance that knows
    /// only its own work begins at its own place: otherwise all such instances
    /// would choose the same few targets.
    [[nodiscard]] auto first_choice( limit_use use ) const -> double
    {
        auto const knows_all =
            use == limit_use::coordinated && shares_.knows_all_work;
        return knows_all ? 0 : shares_.phase;
    }
    /// This instance sends `parts` without a grant of a coordinator.
    auto note_uncoordinated( std::vector<work_part> const& parts,
                             core::instant now ) -> void;
    /// This instance sends `parts` without reporting it to other instances.
    auto note_unreported( std::vector<work_part> const& parts,
                          core::instant now ) -> void;
    /// Counts requests that other instances sent the target at `times` and did
    /// not report until now.
    auto note_sent( target_ref const& ref,
                    std::vector<core::instant> const& times ) -> void;
    /// Times at which this instance sent the target unreported requests. Each
    /// is returned only once.
    auto take_unreported( target_ref const& ref, core::instant now )
        -> std::vector<core::instant>;
    /// Targets that have reported a limit, including those whose limit has
    /// ended since.
    [[nodiscard]] auto limited() const -> std::vector<target_ref>;
    /// Gives the target no work before `until`. Returns true if it was not
    /// ejected at `now`.
    auto eject( target_ref const& ref, core::instant now, core::instant until )
        -> bool;
    /// The target has asked this instance to send nothing before `until`. The
    /// pause concerns this instance only, so it is not part of the entry that
    /// placement for all instances uses.
    auto pause( target_ref const& ref, core::instant until ) -> void;
    [[nodiscard]] auto is_paused( target_ref const& ref,
                                  core::instant now ) const -> bool;
    /// Targets of the service that are paused now, with the ends of the pauses.
    [[nodiscard]] auto paused( core::service_id const& service,
                               core::instant now ) const
        -> std::vector<paused_target>;
    auto note_reported_load( target_ref const& ref,
                             reported_load load,
                             core::instant now ) -> void;

private:
    /// Work and the entries whose load includes it, one for each part; null if
    /// the target was unknown when the work was added.
    struct known_work
    {
        open_work work;
        std::vector<std::shared_ptr<target_entry>> targets;
        bool prefill_counted{ false };
        core::instant sent_at;
        std::optional<scheduling::expected_first_event> expected;
        /// The first target's `prefill_added_ms` when the work was added.
        double prefill_added_before_ms{ 0 };
        std::shared_ptr<report_claim> memory; ///< null: of this instance
    };
    using work_map = std::unordered_map<std::uint64_t, known_work>;

    /// Exponentially decaying averages of the work sent to a service.
    struct arrival_rate
    {
        double per_second{ 0 };
        core::instant updated_at;
        double prefill_ms{ 0 }; ///< decays more slowly than the rate
    };

    /// True if a target was unknown when the work was added and is known now.
    [[nodiscard]] auto has_newly_known_target( known_work const& known ) const
        -> bool;
    auto note_arrival( core::service_id const& id,
                       open_work const& work,
                       core::instant now ) -> void;
    auto count_prefill( known_work& known, core::instant now ) -> void;
    auto uncount_prefill( known_work& known, core::instant now ) -> void;
    static auto count_sent( known_work const& known ) -> void;
    static auto count_memory( known_work const& known, std::int64_t sign )
        -> void;
    static auto count_decoding( known_work const& known, std::int64_t sign )
        -> void;
    auto uncount( known_work& known, core::instant now ) -> void;
    auto end_prefill_of( known_work& known, core::instant now ) -> void;
    [[nodiscard]] auto engine_model_of( target_entry const& target ) const
        -> engine_speed const*;
    auto set_slowdown( std::shared_ptr<target_entry> const& entry,
                       double slowdown,
                       slowdown_reason reason,
                       core::instant now ) -> void;
    static auto exclude_samples( known_work const& known, core::instant now )
        -> void;
    auto expect_first_event( known_work& known, core::instant now ) -> void;
    auto note_first_event( known_work const& known, core::instant now ) -> void;
    auto insert_into_service( std::shared_ptr<target_entry> const& entry )
        -> void;
    auto erase_from_service( std::shared_ptr<target_entry> const& entry )
        -> void;
    auto replace_entry( target_properties properties ) -> void;
    [[nodiscard]] auto is_drained( target_properties const& properties ) const
        -> bool;
    [[nodiscard]] auto warm_up_rate_of( core::service_id const& id ) const
        -> std::optional<double>;

    target_map by_id_;
    std::unordered_map<core::service_id,
                       std::vector<std::shared_ptr<target_entry>>>
        by_service_;
    std::unordered_map<core::instance_id, work_map> works_;
    std::unordered_map<core::service_id, arrival_rate> arrivals_;
    split_queue split_prompts_;
    /// Usually empty; searched for each request.
    std::unordered_map<core::target_id, core::instant> pauses_;
    std::set<core::target_id> limited_;                   ///< usually empty
    std::set<core::data_centre_id> drained_data_centres_; ///< usually empty
    std::unordered_map<core::service_id, double> warm_up_rates_;
    std::unordered_map<core::service_id, engine_speed> engine_models_;
    std::set<core::target_id> slowed_; ///< usually empty
    /// Since when slowdowns are learned; empty if they are not.
    std::optional<core::instant> learns_speeds_since_{ core::instant::min() };
    limit_shares shares_;
};

}

#endif
