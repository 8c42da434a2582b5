#ifndef POLLENSTREAM_EXCHANGE_TARGET_PATH_HPP
#define POLLENSTREAM_EXCHANGE_TARGET_PATH_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pollenstream::exchange
{

/// Whether this instance reaches targets.
enum class path_state
{
    sound,
    doubtful, ///< several targets failed, none has answered since
    cut,      ///< other instances reach targets, this one does not
};

/// Decides whether this instance is cut off from all targets, and holds back
/// what it would report of failing targets until that is known.
///
/// An instance alone cannot tell a network partition of its own from an outage
/// of the targets. It is taken for cut if several targets fail, none answers,
/// new connections to several targets fail as well, and some other instance has
/// had an answer of a target since.
class target_path
{
public:
    /// A request was sent to the target.
    auto note_sent( core::target_id const& target, core::instant now ) -> void;
    /// Any target has sent something, or accepted a connection.
    auto note_answer( core::instant now ) -> void;
    /// No connection could be established, one broke, or the target is silent.
    auto note_failure( core::target_id const& target, core::instant now )
        -> void;
    /// A new connection to a target has failed at `now`, which was opened as no
    /// target had answered lately.
    auto note_failed_quiet_probe( core::instant now ) -> void
    {
        begin_doubt( now );
    }
    /// A new connection to another target has failed, which was opened to find
    /// out whether any can be reached.
    auto note_failed_probe() -> void
    {
        ++failed_probes_;
    }
    /// Runs `report`, which tells others of a failing target, as soon as an
    /// answer shows that it is the target's failure. Drops it if this instance
    /// is cut.
    auto report_when_sound( core::instant now, std::function<void()> report )
        -> void;

    /// Updates the state. `fleet_answered_at`: when a target last answered any
    /// instance. `probes_needed`: how many failed probes count as proof.
    auto update( core::instant now,
                 core::instant fleet_answered_at,
                 std::size_t probes_needed ) -> void;

    [[nodiscard]] auto state() const -> path_state
    {
        return state_;
    }
    [[nodiscard]] auto is_cut() const -> bool
    {
        return state_ == path_state::cut;
    }
    [[nodiscard]] auto last_answer() const -> core::instant
    {
        return last_answer_;
    }
    /// When the evidence began that led to the present state, if not sound.
    [[nodiscard]] auto doubtful_since() const -> core::instant
    {
        return doubtful_since_.value_or( core::instant{} );
    }

    /// Called with each new state, from `update`, `note_answer` and
    /// `note_failure`.
    std::function<void( path_state )> on_changed;

private:
    struct held_report
    {
        core::instant at;
        std::function<void()> run;
    };
    auto set_state( path_state next ) -> void;
    auto begin_doubt( core::instant since ) -> void;
    auto release_reports( core::instant until ) -> void;
    [[nodiscard]] auto is_silent( core::instant now ) const -> bool;

    path_state state_{ path_state::sound };
    core::instant last_answer_;
    std::optional<core::instant> doubtful_since_;
    std::size_t failed_probes_{ 0 };
    // Both since the last answer of any target.
    std::set<core::target_id> failed_;
    std::map<core::target_id, core::instant> unanswered_;
    std::vector<held_report> held_reports_;
};

}

#endif
