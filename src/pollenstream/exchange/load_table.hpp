#ifndef POLLENSTREAM_EXCHANGE_LOAD_TABLE_HPP
#define POLLENSTREAM_EXCHANGE_LOAD_TABLE_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/request_limit.hpp>
#include <pollenstream/exchange/split_queue.hpp>

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

/// One lifetime of a target. A target may start again under the id that it had
/// and then holds nothing of before, so that news of a former lifetime says
/// nothing about this one.
struct target_ref
{
    target_ref() = default;
    // Implicit: where no lifetime is told, the id alone names the target.
    target_ref( core::target_id which, core::target_lifetime of = {} )
        : id( std::move( which ) ), lifetime( of )
    {
    }

    core::target_id id;
    core::target_lifetime lifetime;

    friend auto operator==( target_ref const&, target_ref const& )
        -> bool = default;
};

/// What the registry says of a target.
struct target_properties
{
    core::target_id id;
    core::target_lifetime lifetime;
    core::service_id service;
    core::address address;
    core::data_centre_id data_centre;
    std::int64_t slots{ 1 };
    bool leaving{ false };
    core::duration slow_for{ 0 }; ///< how long it stays slow after its start
};

/// One part of a request's work at one target.
struct work_part
{
    core::target_id target;
    double prefill_ms{ 0 }; ///< reading that this part costs the target
    std::int64_t memory_tokens{ 0 };  ///< taken up there until the work ends
    core::target_lifetime lifetime{}; ///< of the target, when it was chosen
};

/// A request that is open at targets, as its instance tells those who place
/// prompts. The first part's target also writes the answer.
struct open_work
{
    std::uint64_t serial{ 0 }; ///< unique within its instance's lifetime
    std::vector<work_part> parts;
    std::int64_t context_tokens{ 0 };
    std::int64_t tolerated_gap_ms{ 0 }; ///< longest pause that is on time
    bool prefilling{ true };            ///< the first event has not come yet
    /// A run of the same content has broken off at another target that may
    /// have ended by it.
    bool is_suspect{ false };
    /// Memory is set aside and given back at each target, by orders.
    bool reserves{ false };
    core::duration sent_ago{ 0 }; ///< when this was told

    /// Requests that a part means for its target: the first one's own, or what
    /// the target reads for another, and the orders.
    [[nodiscard]] auto requests_at( std::size_t part ) const -> std::size_t
    {
        constexpr auto orders = std::size_t{ 2 };
        if ( !reserves )
            return 1;
        return part == 0 ? orders + 1 : orders;
    }
};

/// Requests that tolerate pauses up to the same length.
struct tolerant_group
{
    std::int64_t requests{ 0 };
    double weight{ 0 }; ///< sum of `weight_of` their prompts
};

/// What a request counts for beside others. Users value a generation by its
/// size; the figures of their sheets (1.3 for 5,000 tokens, 3.1 for 45,000, 22
/// for 210,000) lie near this line.
constexpr auto weight_of( std::int64_t prompt_tokens ) -> double
{
    constexpr auto tokens_per_weight = 10'000.0;
    return 1 + static_cast<double>( prompt_tokens ) / tokens_per_weight;
}

/// Load of one target: the open work there that this instance knows of, which
/// is that of all instances where it places prompts for them.
struct target_load
{
    std::int64_t requests{ 0 }; ///< of which the first part is here
    std::int64_t suspects{ 0 }; ///< of these, that may end their targets
    std::int64_t decoding{ 0 };
    std::int64_t context_tokens{ 0 }; ///< of the writers
    std::int64_t memory_tokens{ 0 };
    std::int64_t parts_prefilling{ 0 };
    /// Of which parts of requests that are answered here. An engine reads
    /// these after all parts that it reads for others.
    std::int64_t own_parts_prefilling{ 0 };
    /// Requests answered here by the pause that they tolerate, in ms.
    std::map<std::int64_t, tolerant_group> by_gap;
    core::instant prefill_until; ///< when all reading is expected to be done
};

/// In which way a target has failed a request.
enum class target_failure
{
    failed,      ///< answered with a failure, or its connection broke
    turned_away, ///< did not take it, which is none where it is full
};

/// How a target has answered lately.
struct target_health
{
    std::int64_t failures_in_a_row{ 0 };
    double failure_share{ 0 }; ///< decaying, 0 to 1
    core::instant ejected_until;
};

/// One target on the board.
struct target_entry
{
    target_properties properties;
    std::uint64_t rank{ 0 }; ///< same order on every instance
    target_load load;
    target_health health;
    std::optional<reported_load> reported;
    core::instant reported_at;
    bool gone{ false }; ///< not in the registry; its entry may come back
    /// It said in an answer that it leaves. The registry hears of that later,
    /// or not at all while the store is away, and does not take it back.
    bool announced_leaving{ false };
    request_limit limit;
    bool reported_invalid_limit{ false }; ///< it named one that cannot be read

    [[nodiscard]] auto ref() const -> target_ref
    {
        return { properties.id, properties.lifetime };
    }
    [[nodiscard]] auto is_leaving() const -> bool
    {
        return properties.leaving || announced_leaving;
    }
    /// False once it leaves or has left.
    [[nodiscard]] auto takes_work() const -> bool
    {
        return !is_leaving() && !gone;
    }
    [[nodiscard]] auto may_get_work( core::instant now ) const -> bool
    {
        return takes_work() && health.ejected_until <= now;
    }
    [[nodiscard]] auto backlog_ms( core::instant now ) const -> double;
};

/// A target that wants nothing from this instance for a time.
struct paused_target
{
    core::target_id id;
    core::instant until;
};

/// What new facts about a target have changed.
enum class target_change
{
    none,      ///< known before, or news of a former lifetime
    added,     ///< not known before
    restarted, ///< a later lifetime under an id that was known
    starts_to_leave,
};

/// All targets with all open work on them, as far as this instance knows.
/// Used by one thread.
class load_table
{
public:
    using target_map =
        std::unordered_map<core::target_id, std::shared_ptr<target_entry>>;

    /// Adds a target or takes over what has changed of it. A later lifetime is
    /// a new target: open work, memory, load and failures of the former one are
    /// not counted on it. Facts of a former lifetime change nothing.
    auto put( target_properties properties ) -> target_change;
    auto remove( core::target_id const& id ) -> void;
    /// The registry no longer lists the target: it gets no new work unless
    /// its entry comes back.
    auto mark_gone( core::target_id const& id ) -> void;

    [[nodiscard]] auto find( core::target_id const& id ) const
        -> std::shared_ptr<target_entry>;
    /// Null where the target's present lifetime is another one.
    [[nodiscard]] auto find_lifetime( target_ref const& ref ) const
        -> std::shared_ptr<target_entry>;
    /// The target that `name` means: its id, or its IP:PORT; null for neither.
    [[nodiscard]] auto find_by_name( std::string const& name ) const
        -> std::shared_ptr<target_entry>;
    /// Targets of a service in the order of their ranks.
    [[nodiscard]] auto of_service( core::service_id const& id ) const
        -> std::vector<std::shared_ptr<target_entry>> const&;
    [[nodiscard]] auto all() const -> target_map const&
    {
        return by_id_;
    }

    /// Wide prompts that wait for a decision here.
    [[nodiscard]] auto split_prompts() -> split_queue&
    {
        return split_prompts_;
    }
    [[nodiscard]] auto split_prompts() const -> split_queue const&
    {
        return split_prompts_;
    }
    /// Requests a second that all instances have lately sent to a service,
    /// over about a second.
    [[nodiscard]] auto arrivals_per_second( core::service_id const& id,
                                            core::instant now ) const -> double;

    /// Share of the time of a service's targets that all instances have lately
    /// given to reading, over about two seconds; over 1 where it queues.
    [[nodiscard]] auto prefill_utilization( core::service_id const& id,
                                            core::instant now ) const -> double;

    /// Counts `work` of the instance `owner`.
    auto add_work( core::instance_id const& owner,
                   open_work const& work,
                   core::instant now ) -> void;
    /// The first event of the work has come.
    auto end_prefill( core::instance_id const& owner,
                      std::uint64_t serial,
                      core::instant now ) -> void;
    auto end_work( core::instance_id const& owner,
                   std::uint64_t serial,
                   core::instant now ) -> void;
    /// The same, and the target that answered did so well.
    auto end_served_work( core::instance_id const& owner,
                          std::uint64_t serial,
                          core::instant now ) -> void;
    /// Forgets all work of `owner`, which has ended, and what waits there.
    auto end_all_work( core::instance_id const& owner, core::instant now )
        -> void;
    /// The work that is known of `owner`.
    [[nodiscard]] auto works_of( core::instance_id const& owner,
                                 core::instant now ) const
        -> std::vector<open_work>;

    /// Takes over how an attempt ended. Returns true where the target is
    /// shunned from now on and was not before. These change nothing where
    /// `ref` is a former lifetime.
    auto note_failure( target_ref const& ref,
                       core::instant now,
                       target_failure how = target_failure::failed ) -> bool;
    auto note_success( target_ref const& ref ) -> void;
    /// The target has said in an answer that it leaves; true where that is
    /// news.
    auto note_announced_leaving( target_ref const& ref ) -> bool;
    /// An answer of the target says how many requests a second it takes, or
    /// names no limit.
    auto note_limit( target_ref const& ref,
                     limit_report const& what,
                     core::instant now ) -> limit_change;
    /// The target has named a limit that cannot be read; true where that is
    /// news.
    auto note_invalid_limit( target_ref const& ref ) -> bool;
    auto set_limit_shares( limit_shares const& shares ) -> void
    {
        shares_ = shares;
    }
    [[nodiscard]] auto shares() const -> limit_shares const&
    {
        return shares_;
    }
    /// False where a limit that the target names keeps requests from it now.
    [[nodiscard]] auto may_send( target_entry const& target,
                                 limit_use use,
                                 core::instant now ) const -> bool
    {
        return target.limit.next( use, shares_ ) <= now;
    }
    /// This instance sends `parts` without having asked who places for all.
    auto note_uncoordinated( std::vector<work_part> const& parts,
                             core::instant now ) -> void;
    /// This instance sends `parts` and tells nobody.
    auto note_unreported( std::vector<work_part> const& parts,
                          core::instant now ) -> void;
    /// Others have sent the target requests of which they told nobody before.
    auto note_sent( target_ref const& ref,
                    std::vector<core::instant> const& times ) -> void;
    /// When this instance sent the target what it told nobody; given once.
    auto take_unreported( target_ref const& ref, core::instant now )
        -> std::vector<core::instant>;
    /// Targets of which a limit, or its end, has been heard.
    [[nodiscard]] auto limited() const -> std::vector<target_ref>;
    auto eject( target_ref const& ref, core::instant until ) -> void;
    /// The target wants nothing from this instance until then. Others may send
    /// there, so that it is no part of what the target is for all.
    auto pause( target_ref const& ref, core::instant until ) -> void;
    [[nodiscard]] auto is_paused( target_ref const& ref,
                                  core::instant now ) const -> bool;
    /// Targets of the service that are paused now, with the end of each pause.
    [[nodiscard]] auto paused( core::service_id const& service,
                               core::instant now ) const
        -> std::vector<paused_target>;
    auto note_reported_load( target_ref const& ref,
                             reported_load load,
                             core::instant now ) -> void;

private:
    /// Work with the targets on which it is counted; null where a target was
    /// not known when the work was told.
    struct known_work
    {
        open_work work;
        std::vector<std::shared_ptr<target_entry>> at;
        bool prefill_counted{ false };
        core::instant sent_at;
    };
    using work_map = std::unordered_map<std::uint64_t, known_work>;

    /// Arrivals that lose weight with their age.
    struct arrival_rate
    {
        double per_second{ 0 };
        core::instant at;
        double prefill_ms{ 0 }; ///< of these, losing weight more slowly
    };

    /// True where a target was not known when the work was told, and is now.
    [[nodiscard]] auto lacks_known_target( known_work const& known ) const
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
    auto insert_in_order( std::shared_ptr<target_entry> const& entry ) -> void;
    auto erase_from_order( std::shared_ptr<target_entry> const& entry ) -> void;
    auto set_entry( target_properties properties ) -> void;

    target_map by_id_;
    std::unordered_map<core::service_id,
                       std::vector<std::shared_ptr<target_entry>>>
        by_service_;
    std::unordered_map<core::instance_id, work_map> works_;
    std::unordered_map<core::service_id, arrival_rate> arrivals_;
    split_queue split_prompts_;
    /// Few, and none as a rule: looked at for each request.
    std::unordered_map<core::target_id, core::instant> pauses_;
    std::set<core::target_id> limited_; ///< few, and none as a rule
    limit_shares shares_;
};

}

#endif
