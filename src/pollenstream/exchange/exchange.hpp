#ifndef POLLENSTREAM_EXCHANGE_EXCHANGE_HPP
#define POLLENSTREAM_EXCHANGE_EXCHANGE_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/event_splitter.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/request_content.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// One caller's request from its arrival to its last word: placed, sent, sent
/// again where that is allowed, relayed. It keeps itself alive through the
/// calls that it waits for and ends exactly once.
class exchange : public waiting_item,
                 public std::enable_shared_from_this<exchange>
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
    /// `content` is not sent any more. Where it is this request's, ends it now,
    /// but for a run that is past its beginning.
    auto on_quarantined( content_id content ) -> void;

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
        return false;
    }
    /// Only what waits for the configuration, or for a pause to end, waits
    /// here: each is tried.
    [[nodiscard]] auto is_always_tried() const -> bool override
    {
        return true;
    }

private:
    class attempt;
    friend class attempt;
    class placement_reply;
    friend class placement_reply;

    /// What is open at targets for this request.
    struct target_attempt
    {
        std::uint64_t serial{ 0 };
        target_ref target;
        core::address address;
        std::shared_ptr<open_attempt> call;
        std::shared_ptr<reservation_group> memory;
        std::optional<answer_head> head;
        std::string body; ///< of an answer that is passed on as a whole
        event_splitter splitter;
        bool prefilling{ true };
        double predicted_ms{ 0 };
        core::instant sent_at;
        core::instant heard_at;
        core::instant watched_from; ///< silence counts from here
        bool is_blamed{ false };    ///< for the present silence
    };

    /// An ask for targets that has not been answered.
    struct pending_placement
    {
        std::uint64_t serial{ 0 };
        std::unique_ptr<open_placement> open;
        core::instant asked_at;
    };

    auto wait_for_configuration() -> void;
    auto try_admit() -> bool;
    auto admit() -> void;
    auto find_route() -> bool;
    auto pick_service() -> void;
    auto set_times() -> void;
    [[nodiscard]] auto time_limit() const -> core::duration;
    [[nodiscard]] auto may_outlast_stop( core::instant now ) const -> bool;
    [[nodiscard]] auto needs_engine() const -> bool;
    [[nodiscard]] auto is_told_to_others() const -> bool;
    auto refresh_demand( core::instant now ) -> void;
    auto choose_here( core::instant now ) -> placement_result;
    auto ask_for_targets() -> void;
    auto arm_end_of_pause() -> void;
    [[nodiscard]] auto end_of_pause() const -> core::instant;
    auto wait_for_pause( core::instant now ) -> bool;
    auto on_granted( std::uint64_t serial, placement_grant grant ) -> void;
    auto on_refused( std::uint64_t serial, placement_refusal refusal ) -> void;
    auto begin( placement_grant grant ) -> void;
    auto on_unusable( placement_grant const& grant ) -> void;
    auto on_memory( placement_grant const& grant,
                    std::shared_ptr<reservation_group> const& memory,
                    core::result<void> const& status ) -> void;
    auto add_work( placement_grant const& grant ) -> void;
    auto release( std::uint64_t serial, work_outcome outcome ) -> void;
    auto send( placement_grant const& grant,
               std::shared_ptr<reservation_group> memory ) -> void;
    auto directions( placement_choice const& choice,
                     std::shared_ptr<reservation_group> const& memory ) const
        -> target_directions;
    [[nodiscard]] auto is_current( placement_choice const& choice ) const
        -> bool;
    auto wait_for_room() -> void;
    [[nodiscard]] auto
    is_usable( std::shared_ptr<target_entry> const& target ) const -> bool;
    auto begin_waiting() -> void;
    auto stop_waiting() -> void;
    auto on_no_memory( placement_grant const& grant, core::error const& why )
        -> void;

    auto on_head( std::uint64_t serial, answer_head head ) -> void;
    auto note_told_state( target_attempt const& from, answer_head const& head )
        -> void;
    auto note_told_limit( target_attempt const& from, answer_head const& head )
        -> void;
    auto on_body( std::uint64_t serial, std::string const& bytes ) -> void;
    auto on_end( std::uint64_t serial, attempt_end const& end ) -> void;
    auto on_complete() -> void;
    auto on_not_run() -> void;
    auto on_broken( attempt_end const& end ) -> void;
    auto note_served() -> void;
    auto on_own_failure() -> void;
    auto relay( std::vector<stream_event> events ) -> void;
    auto relay_event( stream_event& event ) -> bool;
    auto pass_on( std::string events ) -> void;
    auto note_event() -> void;
    [[nodiscard]] auto is_whole( target_attempt const& from ) const -> bool;
    [[nodiscard]] auto is_answer( target_attempt const& from,
                                  attempt_end const& end ) const -> bool;
    auto speaks_again( std::vector<stream_event> const& events ) -> bool;
    [[nodiscard]] auto streams( target_attempt const& which ) const -> bool;
    [[nodiscard]] auto find_attempt( std::uint64_t serial ) -> target_attempt*;
    [[nodiscard]] auto is_silent_one( target_attempt const* which ) const
        -> bool
    {
        return silent_ && which == &*silent_;
    }

    auto may_repeat() -> bool;
    auto has_repeat() -> bool;
    auto take_repeat() -> bool;
    auto on_no_repeat( placement_grant const& grant ) -> void;
    auto avoid( core::target_id const& target ) -> void;
    /// Sends the request again, not to `avoided`; false where it may not be.
    auto try_again( std::string const& why,
                    bool may_have_run,
                    core::target_id const& avoided ) -> bool;
    /// Looks for another place for what the current target is silent about.
    auto look_elsewhere() -> void;
    /// Goes on with the silent target; false where there is none.
    auto go_back( std::string const& why ) -> bool;
    auto stop_looking() -> void;
    auto on_silent_lost( attempt_end const& end ) -> void;
    auto blame( target_attempt const& from ) -> target_ref;
    auto tolerated_silence() const -> core::duration;
    auto idle_silence() const -> core::duration;
    auto arm_watch() -> void;
    auto on_watch() -> void;
    auto on_deadline() -> void;
    auto on_out_of_patience() -> void;

    auto note_failure( target_ref const& target ) -> void;
    auto note_break( target_attempt const& which, attempt_end const& end )
        -> void;
    auto record_failure( target_attempt const& which,
                         std::string why,
                         bool may_have_run,
                         std::string decision ) -> void;
    auto note_crash( target_ref const& target, core::error const& why ) -> void;
    [[nodiscard]] auto is_quarantined() const -> bool;
    auto end_quarantined() -> void;
    auto ends_as_quarantined( placement_grant const& grant,
                              std::shared_ptr<reservation_group> const& memory )
        -> bool;
    auto close_attempt( bool cancel, work_outcome outcome = work_outcome::none )
        -> void;
    auto close_silent() -> void;
    auto close_all() -> void;
    auto close( std::optional<target_attempt>& which,
                bool cancel,
                work_outcome outcome ) -> void;
    auto refuse( int status,
                 std::string reason,
                 std::optional<core::duration> retry_after ) -> void;
    auto fail( int status, std::string reason ) -> void;
    /// Nothing more can be had. Goes back to a silent target, or is the last
    /// word, which says that it has not run only where that is so.
    auto turn_down( std::string reason,
                    std::optional<core::duration> retry_after ) -> void;
    auto end( std::string outcome, int status ) -> void;
    auto predicted_room() const -> core::duration;
    [[nodiscard]] auto patience_until() const -> core::instant;
    [[nodiscard]] auto refused_at() const -> core::instant;

    exchange_context& shared_;
    caller_request request_;
    std::shared_ptr<answer_channel> answer_;
    configuration_ptr configuration_;
    route const* route_{ nullptr };
    core::workspace_id workspace_;
    content_id content_;
    int priority_{ 0 };
    placement_demand demand_;
    service_settings const* service_{ nullptr };
    bool is_split_{ false };
    bool is_suspect_{ false }; ///< as who granted its targets knows
    /// A plain call for which who places prompts was asked.
    bool is_asked_for_{ false };
    bool spends_limit_{ false }; ///< a target that it was sent to names one

    core::instant deadline_;
    core::instant not_before_;     ///< no choice of targets earlier
    core::duration patience_{ 0 }; ///< longest silence before the caller leaves
    std::unique_ptr<ports::scheduled_call> deadline_call_;
    std::unique_ptr<ports::scheduled_call> patience_call_;
    std::unique_ptr<ports::scheduled_call> watch_call_;
    std::unique_ptr<ports::scheduled_call> pause_call_;

    std::optional<pending_placement> ask_;
    std::size_t queued_behind_{ 0 }; ///< asks that wait where this one does
    core::duration last_ask_time_{ 0 };
    std::optional<target_attempt> current_; ///< whose answer is passed on
    /// It was the current one and has fallen silent. It may live: it stays open
    /// until another one speaks, and is the current one again where it speaks
    /// first or no other place is to be had.
    std::optional<target_attempt> silent_;
    std::optional<std::uint64_t> reserving_; ///< grant that waits for memory
    std::int64_t targets_reached_{ 0 };
    std::int64_t connects_failed_{ 0 };
    bool waiting_{ false };
    bool may_have_run_{ false }; ///< a target may have begun on it
    bool streaming_{ false };    ///< the head of a stream has been passed on
    std::optional<std::int64_t> last_event_;
    std::int64_t events_{ 0 };
    core::duration first_event_{ 0 };
    core::duration longest_gap_{ 0 };
    core::instant last_event_at_;
    core::target_id last_target_;
    core::instant watch_due_; ///< when silence was to be looked at
    core::duration watch_late_{ 0 };
    bool finished_{ false };
};

}

#endif
