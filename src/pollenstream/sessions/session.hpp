#ifndef POLLENSTREAM_SESSIONS_SESSION_HPP
#define POLLENSTREAM_SESSIONS_SESSION_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/answer_sink.hpp>
#include <pollenstream/ports/engine.hpp>
#include <pollenstream/profiles/profile.hpp>
#include <pollenstream/routing/target_policy.hpp>
#include <pollenstream/sessions/answer_assembly.hpp>
#include <pollenstream/sessions/context.hpp>
#include <pollenstream/sessions/request.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::sessions
{

class span_group;

/// One model request from admission to its end. Pending callbacks hold shared
/// ownership, so a session lives as long as it waits for any. It ends exactly
/// once: refused, complete, or failed, e.g. at its deadline, after its retries
/// or because the caller has closed its connection.
class session : public std::enable_shared_from_this<session>
{
public:
    session( context& session_context,
             request caller_request,
             profiles::profile profile,
             std::shared_ptr<ports::answer_sink> sink );
    ~session();
    session( session const& ) = delete;
    auto operator=( session const& ) -> session& = delete;

    /// Admits the request and opens the first attempt, or refuses the request.
    auto start() -> void;

    /// Ends the request as failed with `reason`, unless it has ended.
    auto abandon( std::string const& reason ) -> void;

    [[nodiscard]] auto id() const -> core::request_id const&
    {
        return id_;
    }

private:
    class attempt_listener;
    friend class attempt_listener;

    /// A connection that delivers the events of an attempt. An attempt may have
    /// two of them; they are numbered in the order in which they were opened.
    struct connection
    {
        std::int64_t number{ 1 };
        std::shared_ptr<ports::engine_stream> stream;
    };
    /// One run of the request at one target or group of targets.
    struct attempt
    {
        core::attempt_number number;
        routing::target_choice choice;
        routing::dispatched_work work;
        core::instant last_heard; ///< time of open, first resume or last event
        std::shared_ptr<span_group> group; ///< null for a single target
        bool prefill_counted{ true };      ///< in the target's load estimate
        std::optional<core::instant> resumed_at; ///< time of the last resume
        bool suspected{ false };            ///< its target was marked suspect
        std::int64_t connection_count{ 1 }; ///< opened so far
        connection latest;
        /// A silent connection that stays open beside `latest`; the first of
        /// the two that delivers a part of the answer is kept.
        std::optional<connection> previous;

        [[nodiscard]] auto
        has_connection( std::int64_t connection_number ) const -> bool;
    };

    auto admit() -> std::optional<ports::answer_end>;
    auto choose_target() -> std::optional<routing::target_choice>;
    auto choose_with_retry() -> std::optional<routing::target_choice>;
    auto make_shape() const -> routing::request_shape;
    auto needs_span_group() const -> bool;
    auto open_attempt() -> void;
    auto open_single_target() -> void;
    auto wait_for_memory( routing::target_choice const& best ) -> void;
    auto on_open_timer() -> void;
    auto open_hedge() -> void;
    auto set_current_aside() -> void;
    auto return_to_silent() -> bool;
    auto open_target_ids() const -> std::vector<core::target_id>;
    auto open_group() -> void;
    auto release_preparing() -> void;
    auto on_group_prepared( std::shared_ptr<span_group> const& group,
                            core::result<void> status ) -> void;
    auto on_group_failed( bool started, core::error const& why ) -> void;
    auto send_attempt( routing::target_choice choice,
                       std::shared_ptr<span_group> group ) -> void;
    auto arm_stall_check() -> void;
    auto on_stall_check( core::attempt_number number ) -> void;
    auto make_engine_request( attempt const& target_attempt ) const
        -> ports::engine_request;

    auto find_attempt( core::attempt_number number ) -> attempt*;
    auto attach_stream( core::attempt_number number,
                        std::int64_t connection_number,
                        std::shared_ptr<ports::engine_stream> stream ) -> void;
    auto on_events( core::attempt_number number,
                    std::int64_t connection_number,
                    std::vector<ports::engine_event> const& events ) -> void;
    auto accept_events( attempt& source,
                        std::vector<ports::engine_event> const& events )
        -> bool;
    auto keep_connection( attempt& answering, std::int64_t connection_number )
        -> void;
    auto keep_attempt( attempt& answering ) -> void;
    auto flush() -> void;
    auto note_first_token() -> void;
    auto on_stream_end( core::attempt_number number,
                        std::int64_t connection_number,
                        core::result<void> status ) -> void;
    auto fall_back_to_other_connection( attempt& target_attempt,
                                        std::int64_t ended ) -> bool;
    auto resume( attempt& target_attempt, bool keep_previous ) -> void;
    auto fail_attempt( attempt const& target_attempt, core::error const& why )
        -> void;
    auto may_retry() const -> bool;
    auto retry_or_fail( core::error const& why ) -> void;

    auto arm_deadline() -> void;
    auto arm_keep_alive() -> void;
    auto on_keep_alive() -> void;
    auto is_current_silent( core::instant now ) const -> bool;
    auto recover_silent_current() -> void;
    auto on_failed_resume( attempt& target_attempt, core::error_code why )
        -> void;

    auto end_attempt( std::optional<attempt>& target_attempt, bool cancel )
        -> void;
    auto finish( ports::answer_end const& end ) -> void;
    auto failure( std::string reason, std::string detail ) const
        -> ports::answer_end;
    auto refusal( std::string reason,
                  std::string detail,
                  std::optional<core::duration> retry_after ) const
        -> ports::answer_end;

    context& context_;
    core::request_id id_;
    request request_;
    profiles::profile profile_;
    std::shared_ptr<ports::answer_sink> sink_;

    // Recursive: a stream may call back from inside `open` on the same thread.
    std::recursive_mutex mutex_;
    core::token_count prompt_tokens_;
    core::token_count max_output_;
    core::prefix_chain prefixes_;
    answer_assembly answer_;
    core::instant admitted_;
    core::instant deadline_;
    std::optional<attempt> current_;
    /// An attempt that was silent for too long and stays open beside
    /// `current_`; whichever delivers a part of the answer first is kept.
    std::optional<attempt> silent_;
    std::shared_ptr<span_group> preparing_; ///< reserving or in prefill
    std::vector<core::target_id> tried_;
    std::int64_t attempts_{ 0 };
    std::int64_t groups_{ 0 };
    std::int64_t moves_{ 0 };
    std::optional<core::instant> last_token_;
    /// True once an attempt has ended that may have started at its engine.
    bool may_have_run_{ false };
    bool finished_{ false };
};

}

#endif
