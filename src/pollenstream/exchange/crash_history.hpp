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

/// A run of a content that broke off, at a target that may have ended by it.
struct crashed_run
{
    content_id content;
    target_ref target;
    core::instant at; ///< when the break was seen
};

/// What each content's runs did to their targets, as far as this instance
/// knows.
///
/// When a target ends, everything that is open there breaks, and nobody sees
/// which request it was. All of them are suspects until their next run: what is
/// served is none. What breaks at one target after the other, with none of
/// these heard of since and the last one seen to have ended, is quarantined. It
/// is not sent again, or it would end every target of its service and break
/// what runs beside it. That the last one is looked at guards what meets
/// several targets in a row that live and reset their connections.
class crash_history
{
public:
    /// Targets at which a content has to break before it is quarantined. By
    /// chance a request meets two ends in a row now and then, and hardly three.
    static constexpr auto crashes_to_quarantine = std::size_t{ 3 };

    /// True where the target is in the registry now, and the registry is known
    /// to be up to date.
    using is_listed = std::function<bool( target_ref const& )>;

    /// `lapse_time` is how long after its end a target may still be listed.
    explicit crash_history( core::duration lapse_time );

    /// A second break at the same target is the same end.
    auto note_crash( crashed_run const& what ) -> void;
    /// The last of the targets at which the content broke has been seen to have
    /// ended, here or by another instance: it is quarantined.
    auto prove( content_id content ) -> void;
    /// The target was seen to live.
    auto note_alive( target_ref const& target, core::instant at ) -> void;
    /// The content was served, which no request can be that ends its targets.
    /// Returns true where it was under suspicion.
    auto note_served( content_id content, core::instant at ) -> bool;
    /// The target has answered a request that was sent at `sent`: it did not
    /// end before.
    auto note_answer( target_ref const& target, core::instant sent ) -> void;
    /// Forgets what is old, and what broke at targets that are still listed
    /// when their entries would have lapsed.
    auto review( core::instant now, is_listed const& listed ) -> void;

    [[nodiscard]] auto crashes_of( content_id content ) const
        -> std::vector<crashed_run>;
    [[nodiscard]] auto count( content_id content ) const -> std::size_t;
    [[nodiscard]] auto is_quarantined( content_id content ) const -> bool
    {
        return proven_.contains( content );
    }
    /// It broke at enough targets, of which the last is still to be looked at.
    [[nodiscard]] auto awaits_proof( content_id content ) const -> bool
    {
        return !is_quarantined( content ) &&
               count( content ) >= crashes_to_quarantine;
    }
    [[nodiscard]] auto quarantined() const -> std::vector<crashed_run>;
    [[nodiscard]] auto quarantined_contents() const -> std::size_t;
    /// Of the quarantined contents and of all others under suspicion.
    [[nodiscard]] auto all() const -> std::vector<crashed_run>;

    /// Called where a content awaits proof, with the target to look at.
    std::function<void( crashed_run const& )> on_suspected;
    /// Called with each content that is quarantined from now on.
    std::function<void( content_id )> on_quarantined;

private:
    /// Contents with broken runs, each at other targets, the oldest first.
    using run_map = std::unordered_map<content_id, std::vector<crashed_run>>;

    auto make_room() -> void;
    auto erase_runs( std::function<bool( crashed_run const& )> const& which )
        -> void;

    core::duration lapse_time_;
    run_map runs_;
    std::unordered_set<content_id> proven_;
    /// Targets at which a run broke, with the last time.
    std::unordered_map<core::target_id, core::instant> broken_at_;
    /// Of these the ones that have answered since, with the time until which
    /// they are known not to have ended.
    std::unordered_map<core::target_id, core::instant> alive_until_;
    /// When contents that had been suspects were served: older news of them
    /// may still be on its way.
    std::unordered_map<content_id, core::instant> served_;
};

}

#endif
