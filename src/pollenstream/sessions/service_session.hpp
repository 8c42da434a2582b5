#ifndef POLLENSTREAM_SESSIONS_SERVICE_SESSION_HPP
#define POLLENSTREAM_SESSIONS_SERVICE_SESSION_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/service_client.hpp>
#include <pollenstream/profiles/profile.hpp>
#include <pollenstream/sessions/context.hpp>
#include <pollenstream/state/call_ledger.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::sessions
{

/// One call to a plain service. An idempotent call may be retried at other
/// targets until its deadline. A non-idempotent call runs at most once: it is
/// retried only if it provably has not run, and is reported as `unknown` if it
/// may have run.
class service_session : public std::enable_shared_from_this<service_session>
{
public:
    using done = std::function<void( state::call_outcome const& )>;

    service_session( context& session_context,
                     ports::service_client& services,
                     profiles::profile profile,
                     ports::service_call call,
                     done callback );
    ~service_session();
    service_session( service_session const& ) = delete;
    auto operator=( service_session const& ) -> service_session& = delete;

    auto start() -> void;

private:
    auto choose_target() -> std::shared_ptr<routing::target>;
    auto send() -> void;
    auto on_reply( std::shared_ptr<routing::target> const& target,
                   core::result<ports::service_reply> const& reply ) -> void;
    auto on_deadline() -> void;
    auto status_without_reply() const -> ports::answer_status;
    auto may_retry( core::error_code why ) -> bool;
    auto finish( state::call_outcome const& outcome ) -> void;
    auto finish_without_reply( ports::answer_status status,
                               std::string reason,
                               std::string detail ) -> void;

    context& context_;
    ports::service_client& services_;
    profiles::profile profile_;
    ports::service_call call_;
    done callback_;

    std::recursive_mutex mutex_;
    core::instant deadline_;
    std::vector<core::target_id> tried_;
    std::int64_t attempts_{ 0 };
    bool in_flight_{ false }; ///< sent, no reply yet
    bool may_have_run_{ false };
    bool finished_{ false };
};

}

#endif
