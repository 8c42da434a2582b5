#ifndef POLLENSTREAM_STATE_CALL_LEDGER_HPP
#define POLLENSTREAM_STATE_CALL_LEDGER_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/answer_sink.hpp>
#include <pollenstream/ports/service_client.hpp>
#include <pollenstream/state/call_ticket.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstream::state
{

/// How a non-idempotent call ended.
struct call_outcome
{
    ports::answer_status status{ ports::answer_status::unknown };
    ports::service_reply reply; ///< for `complete`
    std::string reason;
    std::string detail;
};

/// Ensures that each non-idempotent call runs at most once. Holds the calls
/// that this incarnation of the instance is running or has run under tickets
/// that name it. An outcome is kept until its ticket expires; an expired
/// ticket is refused, so a forgotten call cannot run a second time.
class call_ledger
{
public:
    using outcome_callback = std::function<void( call_outcome const& )>;

    /// How the caller of `begin` must proceed.
    enum class begin_result
    {
        run,     ///< run the call and pass its outcome to `finish`
        wait,    ///< already running or finished: `callback` gets the outcome
        expired, ///< the ticket has expired; the call may have run earlier
        closed,  ///< the ledger accepts no new calls; this one has not run
    };

    call_ledger( core::instance_id self, core::incarnation incarnation );

    /// Registers the call of `ticket`, unless it is already known. `scope`
    /// separates equal keys of different workspaces and services. `callback`
    /// is called with the outcome unless `expired` or `closed` is returned.
    auto begin( call_ticket const& ticket,
                std::string const& scope,
                core::instant now,
                outcome_callback callback ) -> begin_result;

    /// Records the outcome and passes it to all callbacks. If the
    /// call provably did not run, its entry is removed and the ticket can be
    /// used again.
    auto finish( call_ticket const& ticket,
                 std::string const& scope,
                 call_outcome const& outcome ) -> void;

    /// True if the ticket names this incarnation of this instance.
    [[nodiscard]] auto names_this_incarnation( call_ticket const& ticket ) const
        -> bool;

    /// Refuses new calls from now on, for a planned shutdown.
    auto close() -> void;
    /// Removes the outcomes of expired tickets; running calls are kept.
    auto expire( core::instant now ) -> void;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        core::instant expires;
        std::optional<call_outcome> outcome;
        std::vector<outcome_callback> callbacks;
        int run_count{ 0 };
    };

    core::instance_id self_;
    core::incarnation incarnation_;
    mutable std::mutex mutex_;
    bool closed_{ false };
    std::unordered_map<std::string, entry> entries_;
};

}

#endif
