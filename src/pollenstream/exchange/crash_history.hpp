#ifndef POLLENSTREAM_EXCHANGE_CRASH_HISTORY_HPP
#define POLLENSTREAM_EXCHANGE_CRASH_HISTORY_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/request_content.hpp>

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pollenstream::exchange
{

/// A run of a content that broke off and may have crashed its target.
struct crashed_run
{
    content_id content;
    target_ref target;
    core::instant at; ///< when the run broke off
};

/// Finds contents that crash their targets, from the runs that broke off as far
/// as this instance knows of them.
///
/// When a target crashes, all requests that are open there break off, and
/// nothing shows which of them caused it. Each is a suspect until one of its
/// runs is served. A content that breaks off at several targets in turn, none
/// of which has shown a sign of life since, is quarantined as soon as the last
/// of them is confirmed to have ended. It is not sent again; otherwise it would
/// crash every target of its service, along with the requests that run there.
/// The confirmation protects contents that meet several targets in a row that
/// reset connections but stay alive.
class crash_history
{
public:
    /// Number of targets at which a content has to break off before it is
    /// quarantined. A harmless request meets two crashes in a row now and then,
    /// but hardly ever three.
    static constexpr auto crashes_to_quarantine = std::size_t{ 3 };

    /// True if the target is in the registry now and this instance's copy of
    /// the registry is known to be up to date.
    using is_listed = std::function<bool( target_ref const& )>;

    /// A target may still be listed for `expiry_time` after it has ended.
    explicit crash_history( core::duration expiry_time );

    /// Further runs that break off at the same lifetime of a target count as
    /// the same crash.
    auto note_crash( crashed_run const& run ) -> void;
    /// The last target at which the content broke off has ended, as this or
    /// another instance has confirmed. Quarantines the content if it broke off
    /// at enough targets.
    auto confirm( content_id content ) -> void;
    /// The target was alive at `at`, so no run before then has crashed it.
    auto note_alive( target_ref const& target, core::instant at ) -> void;
    /// The content was served, so it does not crash its targets. Returns true
    /// if it was a suspect.
    auto note_served( content_id content, core::instant at ) -> bool;
    /// The target has answered a request that was sent at `sent`, so it had not
    /// ended before.
    auto note_answer( target_ref const& target, core::instant sent ) -> void;
    /// Removes the runs that broke off at `since` or later, since not their
    /// targets ended but the network path to them.
    auto forget_since( core::instant since ) -> void;
    /// Removes old crashes, and those at targets that are still listed after
    /// their registry records would have expired.
    auto prune( core::instant now, is_listed const& listed ) -> void;

    [[nodiscard]] auto crashes_of( content_id content ) const
        -> std::vector<crashed_run>;
    /// Number of targets at which the content broke off.
    [[nodiscard]] auto count( content_id content ) const -> std::size_t;
    [[nodiscard]] auto is_quarantined( content_id content ) const -> bool
    {
        return quarantined_.contains( content );
    }
    /// True if the content broke off at enough targets, of which the last is
    /// not yet confirmed to have ended.
    [[nodiscard]] auto awaits_confirmation( content_id content ) const -> bool
    {
        return !is_quarantined( content ) &&
               count( content ) >= crashes_to_quarantine;
    }
    /// Crashed runs of the quarantined contents.
    [[nodiscard]] auto quarantined() const -> std::vector<crashed_run>;
    [[nodiscard]] auto quarantined_contents() const -> std::size_t;
    /// Crashed runs of the quarantined contents and of all other suspects.
    [[nodiscard]] auto all() const -> std::vector<crashed_run>;

    /// Called if a content awaits confirmation, with the run whose target has
    /// to be checked.
    std::function<void( crashed_run const& )> on_confirmation_needed;
    /// Called with each newly quarantined content.
    std::function<void( content_id )> on_quarantined;

private:
    /// Crashed runs by content: one for each target, the oldest first.
    using run_map = std::unordered_map<content_id, std::vector<crashed_run>>;

    auto evict_if_full() -> void;
    auto erase_runs( std::function<bool( crashed_run const& )> const& which )
        -> void;

    core::duration expiry_time_;
    run_map runs_;
    std::unordered_set<content_id> quarantined_;
    /// The latest crash at each target.
    std::unordered_map<core::target_id, core::instant> last_crash_at_;
    /// The time until which each target that has shown a sign of life is known
    /// not to have ended.
    std::unordered_map<core::target_id, core::instant> alive_until_;
    /// When former suspects were served. Other instances' reports of earlier
    /// crashes may still arrive and are ignored.
    std::unordered_map<content_id, core::instant> served_;
};

}

#endif
