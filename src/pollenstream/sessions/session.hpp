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

/// One request from admission to its last word. It keeps itself alive through
/// the callbacks that it waits for, and ends exactly once: complete, failed at
/// its deadline or after its retries, or because the caller has gone.
class session : public std::enable_shared_from_this<session>
{
public:
    session( context& shared,
             request wanted,
             profiles::profile profile,
             std::shared_ptr<ports::answer_sink> sink );
    ~session();
    session( session const& ) = delete;
    auto operator=( session const& ) -> session& = delete;

    /// Admits the request and opens the first attempt, or refuses it.
    auto start() -> void;

    /// Ends the request as failed because of `reason`.
    auto abandon( std::string const& reason ) -> void;

    [[nodiscard]] auto id() const -> core::request_id const&
    {
        return id_;
    }

private:
    class attempt_listener;
    friend class attempt_listener;

    /// One way over which an attempt's events come.
    struct connection
    {
        std::int64_t number{ 1 };
        std::shared_ptr<ports::engine_stream> stream;
    };
    struct attempt
    {
        core::attempt_number number;
        routing::target_choice choice;
        routing::dispatched_work work;
        core::instant heard; ///< opened, first resumed, or last event
        std::shared_ptr<span_group> group; ///< holds its prompt, if any
        bool prefill_counted{ true };
        std::optional<core::instant> resumed_at; ///< over a new connection
        bool suspected{ false };       ///< taken out of choice for its silence
        std::int64_t connections{ 1 }; ///< made so far
        connection latest;
        /// Went silent, and is listened to until the latest has spoken.
        std::optional<connection> former;

        [[nodiscard]] auto hears( std::int64_t over ) const -> bool;
    };

    auto admit() -> std::optional<ports::answer_end>;
    auto choose_target() -> std::optional<routing::target_choice>;
    auto choose_again() -> std::optional<routing::target_choice>;
    auto shape() const -> routing::request_shape;
    auto needs_span_group() const -> bool;
    auto open_next() -> void;
    auto open_single() -> void;
    auto park( routing::target_choice const& best ) -> void;
    auto open_again() -> void;
    auto open_beside() -> void;
    auto set_aside() -> void;
    auto go_back() -> bool;
    auto open_ids() const -> std::vector<core::target_id>;
    auto open_group() -> void;
    auto drop_preparing() -> void;
    auto on_group_ready( std::shared_ptr<span_group> const& group,
                         core::result<void> status ) -> void;
    auto on_group_failed( bool started, core::error const& why ) -> void;
    auto send_attempt( routing::target_choice choice,
                       std::shared_ptr<span_group> group ) -> void;
    auto arm_stall_check() -> void;
    auto on_stall_check( core::attempt_number number ) -> void;
    auto make_engine_request( attempt const& of ) const
        -> ports::engine_request;

    auto find_attempt( core::attempt_number number ) -> attempt*;
    auto add_stream( core::attempt_number to,
                     std::int64_t over,
                     std::shared_ptr<ports::engine_stream> stream ) -> void;
    auto on_events( core::attempt_number from,
                    std::int64_t over,
                    std::vector<ports::engine_event> const& events ) -> void;
    auto take_events( attempt& from,
                      std::vector<ports::engine_event> const& events ) -> bool;
    auto go_on_over( attempt& spoken, std::int64_t over ) -> void;
    auto go_on_with( attempt& spoken ) -> void;
    auto flush() -> void;
    auto note_first_token() -> void;
    auto on_stream_end( core::attempt_number from,
                        std::int64_t over,
                        core::result<void> status ) -> void;
    auto keeps_other_connection( attempt& of, std::int64_t ended ) -> bool;
    auto resume( attempt& which, bool keeps_former ) -> void;
    auto lose( attempt const& which, core::error const& why ) -> void;
    auto may_retry() const -> bool;
    auto retry_elsewhere( core::error const& why ) -> void;

    auto arm_deadline() -> void;
    auto arm_keep_alive() -> void;
    auto on_keep_alive() -> void;
    auto is_silent( core::instant now ) const -> bool;
    auto recover_silent_stream() -> void;
    auto on_twice_silent( attempt& which, core::error_code why ) -> void;

    auto end_attempt( std::optional<attempt>& which, bool cancel ) -> void;
    auto finish( ports::answer_end const& end ) -> void;
    auto failure( std::string reason, std::string detail ) const
        -> ports::answer_end;
    auto refusal( std::string reason,
                  std::string detail,
                  std::optional<core::duration> retry_after ) const
        -> ports::answer_end;

    context& shared_;
    core::request_id id_;
    request wanted_;
    profiles::profile profile_;
    std::shared_ptr<ports::answer_sink> sink_;

    // A stream may call back from inside `open`, on the same thread.
    std::recursive_mutex mutex_;
    core::token_count prompt_tokens_;
    core::token_count max_output_;
    core::prefix_chain prefixes_;
    answer_assembly answer_;
    core::instant admitted_;
    core::instant deadline_;
    std::optional<attempt> current_;
    /// Was silent for too long; goes on if it speaks before `current_` does.
    std::optional<attempt> silent_;
    std::shared_ptr<span_group> preparing_; ///< reserving or reading
    std::vector<core::target_id> tried_;
    std::int64_t attempts_{ 0 };
    std::int64_t groups_{ 0 };
    std::int64_t moves_{ 0 };
    std::optional<core::instant> last_token_;
    bool ran_{ false }; ///< an engine that was left may have started on it
    bool finished_{ false };
};

}

#endif
