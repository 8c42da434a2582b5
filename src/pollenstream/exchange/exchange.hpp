#ifndef POLLENSTREAM_EXCHANGE_EXCHANGE_HPP
#define POLLENSTREAM_EXCHANGE_EXCHANGE_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/event_splitter.hpp>
#include <pollenstream/exchange/message.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// One caller's request from its arrival to its last word: placed, sent, sent
/// again where that is allowed, relayed. It keeps itself alive through the
/// calls that it waits for and ends exactly once.
class exchange : public waiter, public std::enable_shared_from_this<exchange>
{
public:
    exchange( exchange_context& shared,
              caller_request request,
              std::shared_ptr<answer_channel> answer );
    ~exchange() override;
    exchange( exchange const& ) = delete;
    auto operator=( exchange const& ) -> exchange& = delete;

    auto start() -> void;
    /// The caller has closed its connection.
    auto on_caller_gone() -> void;
    /// Ends the request now, since the process is about to end.
    auto abandon( std::string reason ) -> void;

    auto try_start() -> bool override;
    [[nodiscard]] auto order() const -> double override;
    [[nodiscard]] auto service() const -> core::service_id const& override
    {
        return demand_.service;
    }
    [[nodiscard]] auto size() const -> std::int64_t override
    {
        return demand_.prompt_tokens;
    }
    [[nodiscard]] auto is_long() const -> bool override
    {
        return is_long_;
    }

    [[nodiscard]] auto has_booking() const -> bool override
    {
        return booking_.has_value();
    }

private:
    class attempt;
    friend class attempt;

    /// What is open at targets for this request.
    struct open_try
    {
        std::uint64_t serial{ 0 };
        target_ref target;
        core::address address;
        std::shared_ptr<open_attempt> call;
        std::shared_ptr<reservation_group> memory;
        std::optional<answer_head> head;
        std::string body; ///< of an answer that is passed on as a whole
        bool reading{ true };
        double predicted_ms{ 0 };
        core::instant sent_at;
        core::instant heard_at;
    };

    /// Targets that are kept for this request until they are free to read.
    struct booking
    {
        std::uint64_t serial{ 0 }; ///< of the work on the board
        placement_choice choice;
        core::instant start; ///< expected
    };

    auto wait_for_configuration() -> void;
    auto try_admit() -> bool;
    auto admit() -> void;
    auto find_route() -> bool;
    auto pick_service() -> void;
    auto set_times() -> void;
    auto begin( placement_choice choice ) -> void;
    auto hold_booking( placement_choice choice ) -> void;
    auto keep_booking( core::instant now ) -> bool;
    auto drop_booking() -> void;
    auto record_booking( std::string now ) -> void;
    auto add_work( placement_choice const& choice ) -> std::uint64_t;
    auto send( placement_choice const& choice,
               std::shared_ptr<reservation_group> memory ) -> void;
    auto directions( placement_choice const& choice,
                     std::shared_ptr<reservation_group> const& memory ) const
        -> target_directions;
    [[nodiscard]] auto is_current( placement_choice const& choice ) const
        -> bool;
    auto is_own_turn( core::instant now ) -> bool;
    auto enter_wide_queue() -> void;
    auto leave_wide_queue() -> void;
    auto wait_for_room() -> void;
    auto begin_waiting() -> void;
    auto stop_waiting() -> void;
    [[nodiscard]] auto is_hopeless() const -> bool;
    [[nodiscard]] auto yields( placement_choice const& choice ) const -> bool;
    [[nodiscard]] auto due() const -> core::instant;
    auto on_no_memory( placement_choice const& choice, core::error const& why )
        -> void;

    auto on_head( std::uint64_t serial, answer_head head ) -> void;
    auto on_body( std::uint64_t serial, std::string const& bytes ) -> void;
    auto on_end( std::uint64_t serial, attempt_end const& end ) -> void;
    auto on_complete() -> void;
    auto on_not_run() -> void;
    auto on_broken( attempt_end const& end ) -> void;
    auto on_own_failure() -> void;
    auto relay( std::string const& bytes ) -> void;
    auto relay_event( stream_event& event ) -> bool;
    auto note_event() -> void;
    auto streams() const -> bool;

    auto may_repeat() -> bool;
    /// Sends the request again, not to `avoid`; false where it may not be.
    auto try_again( std::string const& why,
                    bool may_have_run,
                    core::target_id const& avoid ) -> bool;
    auto blame( answer_head const& head ) -> target_ref;
    auto tolerated_silence() const -> core::duration;
    auto idle_silence() const -> core::duration;
    auto arm_watch() -> void;
    auto on_watch() -> void;
    auto on_deadline() -> void;
    auto on_out_of_patience() -> void;

    auto close_try( bool cancel ) -> void;
    auto refuse( int status,
                 std::string reason,
                 std::optional<core::duration> retry_after ) -> void;
    auto fail( int status, std::string reason ) -> void;
    auto end( std::string outcome, int status ) -> void;
    auto predicted_room() const -> core::duration;

    exchange_context& shared_;
    caller_request request_;
    std::shared_ptr<answer_channel> answer_;
    configuration_ptr configuration_;
    route const* route_{ nullptr };
    core::workspace_id workspace_;
    int priority_{ 0 };
    placement_demand demand_;
    service_settings const* service_{ nullptr };
    bool is_long_{ false };
    bool is_wide_{ false };

    core::instant deadline_;
    core::instant not_before_;     ///< no choice of targets earlier
    core::instant patience_until_; ///< the caller leaves without a first event
    std::unique_ptr<ports::scheduled_call> deadline_call_;
    std::unique_ptr<ports::scheduled_call> patience_call_;
    std::unique_ptr<ports::scheduled_call> watch_call_;

    std::optional<booking> booking_;
    std::optional<open_try> current_;
    event_splitter splitter_;
    std::int64_t targets_reached_{ 0 };
    std::int64_t connects_failed_{ 0 };
    bool waiting_{ false };
    bool in_wide_queue_{ false };
    bool may_have_run_{ false }; ///< a target may have begun on it
    bool streaming_{ false };    ///< the head of a stream has been passed on
    std::optional<std::int64_t> last_event_;
    std::int64_t events_{ 0 };
    core::duration first_event_{ 0 };
    core::duration longest_gap_{ 0 };
    core::instant last_event_at_;
    core::target_id last_target_;
    bool finished_{ false };
};

}

#endif
