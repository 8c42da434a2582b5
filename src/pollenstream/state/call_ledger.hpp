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

/// The calls that this incarnation runs, or has run, under tickets that name
/// it. An outcome is kept until its ticket has expired; after that the ticket
/// is refused, so that a call never runs for a second time.
class call_ledger
{
public:
    using done = std::function<void( call_outcome const& )>;

    /// What a caller of `begin` has to do.
    enum class step
    {
        run,     ///< run the call and report it with `finish`
        wait,    ///< it runs or has run: `callback` gets its outcome
        expired, ///< the ticket's time has passed: it may have run
        closed,  ///< no new calls are begun: this one never ran here
    };

    call_ledger( core::instance_id self, core::incarnation incarnation );

    /// Claims the right to run `ticket`'s call, for `scope`, which keeps equal
    /// keys of different workspaces and services apart. `callback` is called
    /// with the outcome unless the step is `expired` or `closed`.
    auto begin( call_ticket const& ticket,
                std::string const& scope,
                core::instant now,
                done callback ) -> step;

    /// Records the outcome and tells everyone who waits. A call that provably
    /// did not run gives its ticket back, to be used again.
    auto finish( call_ticket const& ticket,
                 std::string const& scope,
                 call_outcome const& outcome ) -> void;

    /// The ticket's right to run here; false for one of another incarnation.
    [[nodiscard]] auto is_ours( call_ticket const& ticket ) const -> bool;

    /// Lets no new call begin, for a planned stop.
    auto close() -> void;
    /// Forgets outcomes whose tickets have expired.
    auto expire( core::instant now ) -> void;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        core::instant expires;
        std::optional<call_outcome> outcome;
        std::vector<done> waiting;
        int sends{ 0 };
    };

    core::instance_id self_;
    core::incarnation incarnation_;
    mutable std::mutex mutex_;
    bool closed_{ false };
    std::unordered_map<std::string, entry> entries_;
};

}

#endif
