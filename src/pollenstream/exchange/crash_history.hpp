#ifndef POLLENSTREAM_EXCHANGE_CRASH_HISTORY_HPP
#define POLLENSTREAM_EXCHANGE_CRASH_HISTORY_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/suspect.hpp>
#include <pollenstream/exchange/trial_schedule.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenstream::exchange
{

/// An attempt that broke off and may have crashed its target.
struct crashed_run
{
    suspect_list suspects; ///< of the request, without those known to be sound
    target_ref target;
    core::instant at; ///< when the attempt broke off
};

/// A crash of a target during requests with a certain suspect.
struct target_crash
{
    target_ref target;
    core::instant at;
};

/// True if one of the crashes is that of the target.
auto has_target( std::vector<target_crash> const& crashes,
                 target_ref const& target ) -> bool;

/// Suspects that were present together at several crashes. Requests that have
/// all of them are not sent. A request with only some of them is, since it may
/// be sound: its outcome tells the suspects apart.
struct quarantined_group
{
    suspect_list suspects;
    std::vector<target_crash> crashes; ///< the oldest first
    trial_schedule trials;
    /// False if `crashes` have the time at which they became known here.
    bool has_crash_times{ true };
};

/// Finds contents and parts of prompts that crash their targets, from the
/// attempts that broke off as far as this instance knows of them.
///
/// When a target crashes, all requests that are open there break off, and
/// nothing shows which of them caused it. Their contents and parts are suspects
/// until a request with them is served. Suspects that were present at several
/// crashes, at none of which another cause is known, are quarantined as soon as
/// the last of these targets is confirmed to have ended. The confirmation
/// protects suspects that meet several targets in a row that reset connections
/// but stay alive.
///
/// A crash counts for one cause only: once its cause is quarantined, it is no
/// evidence against anything else. The quarantine of a content does not clear
/// the parts of its prompt, since one of them may be the cause.
///
/// Little is known of what is sound where processes are new, so a quarantine
/// may be a mistake. Single requests are sent all the same, as trials; one that
/// is served ends it.
class crash_history
{
public:
    /// Number of crashes after which their common suspects are quarantined. A
    /// harmless request meets two crashes in a row now and then, but hardly
    /// ever three.
    static constexpr auto crashes_to_quarantine = std::size_t{ 3 };

    /// True if the target is in the registry now and this instance's copy of
    /// the registry is known to be up to date.
    using is_listed = std::function<bool( target_ref const& )>;

    /// A target may still be listed for `expiry_time` after it has ended.
    explicit crash_history( core::duration expiry_time );

    /// Further runs that break off at the same lifetime of a target count as
    /// the same crash.
    auto note_crash( crashed_run const& run ) -> void;
    /// The target has ended, as this instance has confirmed.
    auto note_ended( target_ref const& target ) -> void;
    /// Another instance has quarantined the group. Ignored if the evidence
    /// known here speaks against it.
    auto adopt( quarantined_group const& group, core::instant now ) -> void;
    /// The target was alive at `at`, so no run before then has crashed it.
    auto note_alive( target_ref const& target, core::instant at ) -> void;
    /// A request with the suspects was served, so they do not crash targets.
    /// Returns true if one of them was a suspect.
    auto note_served( suspect_list const& suspects, core::instant at ) -> bool;
    /// The target has answered a request that was sent at `sent`, so it had not
    /// ended before.
    auto note_answer( target_ref const& target, core::instant sent ) -> void;
    /// Removes the runs that broke off at `since` or later, since not their
    /// targets ended but the network path to them.
    auto forget_since( core::instant since ) -> void;
    /// Removes old crashes, and those at targets that are still listed after
    /// their registry records would have expired.
    auto prune( core::instant now, is_listed const& listed ) -> void;
    /// Another instance has lifted the quarantine of exactly these suspects.
    auto lift( suspect_list const& suspects ) -> void;
    /// Lifts the quarantines that were last adopted before `since`.
    auto lift_not_adopted_since( core::instant since ) -> void;

    /// When a request with these suspects may be sent as a trial at the
    /// earliest; nullopt if it is not quarantined.
    [[nodiscard]] auto next_trial( suspect_list const& suspects ) const
        -> std::optional<core::instant>;
    /// True if this instance may send a request with these suspects as a trial.
    [[nodiscard]] auto is_trial_due( suspect_list const& suspects,
                                     core::instant now ) const -> bool;
    /// A request with these suspects, which are quarantined, is sent as a
    /// trial.
    auto begin_trial( suspect_list const& suspects, core::instant now ) -> void;
    /// The trial that began at `began` has ended. Unless a crash was noted
    /// since, it has shown nothing. To be called once crashes are reported.
    auto end_trial( suspect_list const& suspects,
                    core::instant began,
                    core::instant now ) -> void;

    /// Number of crashes at which the suspect was present and that have no
    /// other known cause.
    [[nodiscard]] auto count( suspect_id id ) const -> std::size_t;
    [[nodiscard]] auto crashes_of( suspect_id id ) const
        -> std::vector<target_crash>;
    /// True if any of the suspects was present at a crash.
    [[nodiscard]] auto has_suspect( suspect_list const& suspects ) const
        -> bool;
    /// The quarantine for which a request with these suspects is not sent, or
    /// null.
    [[nodiscard]] auto find_quarantine( suspect_list const& suspects ) const
        -> suspect_list const*;
    [[nodiscard]] auto is_quarantined( suspect_list const& suspects ) const
        -> bool
    {
        return find_quarantine( suspects ) != nullptr;
    }
    /// True if the suspect belongs to a quarantined group.
    [[nodiscard]] auto is_member( suspect_id id ) const -> bool;
    /// True if exactly these suspects form a quarantined group.
    [[nodiscard]] auto is_group( suspect_list const& suspects ) const -> bool;
    /// True if requests with these suspects are quarantined as soon as the last
    /// target that crashed is confirmed to have ended.
    [[nodiscard]] auto awaits_confirmation( suspect_list const& suspects ) const
        -> bool
    {
        return unconfirmed_ && contains_all( suspects, *unconfirmed_ );
    }
    [[nodiscard]] auto quarantined() const -> std::vector<quarantined_group>;
    [[nodiscard]] auto quarantined_groups() const -> std::size_t
    {
        return groups_.size();
    }
    /// The crashes of all suspects, by request as far as it is known.
    [[nodiscard]] auto all() const -> std::vector<crashed_run>;
    /// Those of a request with this content, with the suspects among `suspects`
    /// that were present.
    [[nodiscard]] auto runs_of( content_id content,
                                suspect_list const& suspects ) const
        -> std::vector<crashed_run>;

    /// True where this instance knows enough to quarantine suspects; else it
    /// only adopts what others have quarantined. Null: always.
    std::function<bool()> may_quarantine;
    /// True where this instance knows the others that begin trials. Null:
    /// always.
    std::function<bool()> may_begin_trials;
    /// Called when the state of the trials of a quarantine has changed here.
    std::function<void( quarantined_group const& )> on_trial;
    /// Called with a target of which has to be confirmed that it has ended.
    std::function<void( target_ref const& )> on_confirmation_needed;
    /// Called when a quarantine may have begun or ended.
    std::function<void()> on_changed;

private:
    /// Crashes by suspect: one for each target, the oldest first.
    using crash_map = std::unordered_map<suspect_id, std::vector<target_crash>>;

    struct known_target
    {
        core::target_lifetime lifetime; ///< that crashed last
        core::instant crashed_at;
        bool is_checked{ false }; ///< its end was asked to be confirmed
        bool has_ended{ false };  ///< confirmed
    };

    struct group_state
    {
        suspect_list suspects;
        core::instant adopted_at;
        trial_schedule trials;
        bool has_crash_times{ true };
    };

    auto target_of( target_ref const& crashed ) -> known_target&;
    auto add_crash( suspect_id id, target_crash const& crash ) -> void;
    auto note_parts( suspect_list const& request ) -> void;
    [[nodiscard]] auto known_parts() const -> std::size_t;
    auto forget_unjudged_parts( core::instant now ) -> void;
    auto evict_if_full() -> void;
    auto
    erase_crashes( std::function<bool( target_crash const& )> const& which )
        -> void;
    auto note_served_at( suspect_id id, core::instant at ) -> void;
    auto forget_early_served( core::instant now ) -> void;
    auto remove_from_groups( suspect_id id ) -> void;
    auto find_causes() -> void;
    [[nodiscard]] auto next_cause() const -> std::optional<quarantined_group>;
    [[nodiscard]] auto confirm_last( quarantined_group const& cause ) -> bool;
    auto add_group( group_state added ) -> void;
    [[nodiscard]] auto describe( group_state const& group ) const
        -> quarantined_group;
    [[nodiscard]] auto is_free_trial( group_state const& group,
                                      core::instant now ) const -> bool;
    [[nodiscard]] auto may_have_other_cause( group_state const& group,
                                             suspect_list const& request ) const
        -> bool;
    auto drop_invalid_groups() -> void;
    [[nodiscard]] auto is_valid( suspect_list const& group ) const -> bool;
    [[nodiscard]] auto common_crashes( suspect_list const& suspects ) const
        -> std::vector<target_crash>;
    /// The quarantined groups whose crashes count as explained.
    enum class explaining_groups
    {
        all,
        only_of_parts, ///< those without a content
    };
    [[nodiscard]] auto
    unexplained( suspect_list const& suspects,
                 explaining_groups explaining = explaining_groups::all ) const
        -> std::vector<target_crash>;
    [[nodiscard]] auto may_include( suspect_list const& group,
                                    suspect_list const& suspects ) const
        -> bool;

    core::duration expiry_time_;
    crash_map crashes_;
    /// Suspect parts of the prompts of suspect contents.
    std::unordered_map<suspect_id, suspect_list> parts_of_content_;
    std::vector<group_state> groups_; ///< in the order of their beginning
    /// Suspects whose last target is being checked.
    std::optional<suspect_list> unconfirmed_;
    std::map<core::target_id, known_target> targets_;
    /// The time until which each target that has shown a sign of life is known
    /// not to have ended.
    std::unordered_map<core::target_id, core::instant> alive_until_;
    /// When suspects were last served. Reports of earlier crashes may still
    /// arrive from other instances and are ignored.
    std::unordered_map<suspect_id, core::instant> served_;
    core::instant forgot_served_at_;
};

}

#endif
