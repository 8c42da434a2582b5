#ifndef POLLENSTREAM_EXCHANGE_EXCHANGE_HPP
#define POLLENSTREAM_EXCHANGE_EXCHANGE_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/event_splitter.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/request_content.hpp>
#include <pollenstream/scheduling/lateness_watch.hpp>

#include <exception>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// Handles one caller's request from its arrival to the end of its answer:
/// chooses targets, sends the request, retries it where that is allowed and
/// relays the answer. Pending callbacks hold shared ownership of it. It ends
/// exactly once.
class exchange : public waiting_item,
                 public std::enable_shared_from_this<exchange>
{
public:
    exchange( exchange_context& context,
              caller_request request,
              std::shared_ptr<answer_channel> answer );
    ~exchange() override;
    exchange( exchange const& ) = delete;
    auto operator=( exchange const& ) -> exchange& = delete;

    auto start() -> void;
    /// Ends the request because the caller has closed its connection.
    auto on_caller_gone() -> void;
    /// Ends the request at once because the process is about to end.
    auto abandon( std::string reason ) -> void;
    /// Ends the request if it is quarantined now. An attempt whose answer has
    /// begun is left to finish.
    auto on_quarantine_changed() -> void;
    /// Refuses the request unless it may have run: no target can be reached.
    auto on_cut_from_targets() -> void;

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
    /// Always true: exchanges wait in this queue for the configuration or for
    /// the end of a pause. Prompts wait for capacity at the coordinator.
    [[nodiscard]] auto is_always_tried() const -> bool override
    {
        return true;
    }

private:
    /// Runs a handler. If it throws, this request ends with a failure, which
    /// frees what it holds; no other request is affected.
    template <class Handler>
    auto run( Handler const& handler ) -> void
    {
        auto const keep = shared_from_this();
        try
        {
            handler();
        }
        catch ( std::exception const& e )
        {
            on_internal_error( e.what() );
        }
    }
    auto on_internal_error( std::string what ) -> void;
    /// Calls `handler` in `run` after `delay`.
    auto call_after( core::duration delay, void ( exchange::*handler )() )
        -> std::unique_ptr<ports::scheduled_call>;

    class attempt_handler;
    friend class attempt_handler;
    class placement_handler;
    friend class placement_handler;

    /// An attempt of this request that is open at a target.
    struct target_attempt
    {
        explicit target_attempt( core::bounded_text received_body )
            : body( std::move( received_body ) )
        {
        }

        std::uint64_t serial{ 0 };
        target_ref target;
        core::address address;
        std::shared_ptr<open_attempt> call;
        std::shared_ptr<reservation_group> reservation;
        std::optional<answer_head> head;
        core::bounded_text body; ///< of an answer that is not a stream
        event_splitter splitter;
        /// At an instance that the request was handed over to; `target` has
        /// its id.
        bool is_handover{ false };
        bool prefilling{ true };
        std::int64_t events{ 0 };     ///< received from the target
        core::instant first_event_at; ///< if `events` is not 0
        bool is_retry{ false };       ///< has taken a retry from the budget
        double predicted_ms{ 0 };
        core::instant sent_at;
        core::instant last_heard_at;
        core::instant silent_from; ///< start of the silence that is timed
        /// The current silence has been counted as a failure of the target.
        bool is_silence_noted{ false };
        /// The target is not read, as there is no memory for its answer.
        bool is_paused{ false };
    };

    /// A placement request that has not been answered.
    struct pending_placement
    {
        std::uint64_t serial{ 0 };
        std::unique_ptr<open_placement> open;
        core::instant requested_at;
    };

    auto start_or_wait() -> void;
    auto start_attempt() -> bool;
    auto wait_for_configuration() -> void;
    auto on_no_configuration() -> void;
    auto try_admit() -> bool;
    auto admit() -> void;
    auto find_route() -> bool;
    auto pick_service() -> void;
    auto set_deadlines() -> void;
    [[nodiscard]] auto time_limit() const -> core::duration;
    [[nodiscard]] auto may_outlast_stop( core::instant now ) const -> bool;
    [[nodiscard]] auto needs_engine() const -> bool;
    [[nodiscard]] auto is_announced() const -> bool;
    auto refresh_demand( core::instant now ) -> void;
    auto choose_locally( core::instant now ) -> placement_result;
    auto request_placement() -> void;
    auto arm_pause_timer() -> void;
    auto on_pause_ended() -> void;
    [[nodiscard]] auto end_of_pause() const -> core::instant;
    auto wait_for_pause( core::instant now ) -> bool;
    auto on_granted( std::uint64_t serial, placement_grant grant ) -> void;
    auto on_refused( std::uint64_t serial, placement_refusal refusal ) -> void;
    auto begin( placement_grant grant ) -> void;
    auto on_unusable_grant( placement_grant const& grant ) -> void;
    auto on_reservation_result(
        placement_grant const& grant,
        std::shared_ptr<reservation_group> const& reservation,
        core::result<void> const& status ) -> void;
    [[nodiscard]] static auto max_unused_hold( double predicted_ms )
        -> core::duration;
    auto add_work( placement_grant const& grant ) -> void;
    auto release( std::uint64_t serial, work_outcome outcome ) -> void;
    auto send( placement_grant const& grant,
               std::shared_ptr<reservation_group> reservation ) -> void;
    auto directions_for( placement_choice const& choice,
                         std::shared_ptr<reservation_group> const& reservation )
        const -> target_directions;
    [[nodiscard]] auto is_still_valid( placement_choice const& choice ) const
        -> bool;
    auto wait_in_queue() -> void;
    [[nodiscard]] auto
    is_usable( std::shared_ptr<target_entry> const& target ) const -> bool;
    auto begin_waiting() -> void;
    auto stop_waiting() -> void;
    auto on_reservation_failed( placement_grant const& grant,
                                core::error const& why ) -> void;
    auto on_reservation_expired( std::uint64_t serial,
                                 core::target_id const& target ) -> void;
    auto arm_objective_timer() -> void;
    auto on_objective_passed() -> void;
    auto note_predicted_lateness( placement_choice const& choice ) -> void;
    auto record_lateness( scheduling::lateness_reason reason,
                          std::optional<core::duration> predicted ) -> void;

    auto on_head( std::uint64_t serial, answer_head head ) -> void;
    auto note_reported_state( target_attempt const& from,
                              answer_head const& head ) -> void;
    auto note_reported_limit( target_attempt const& from,
                              answer_head const& head ) -> void;
    auto on_body( std::uint64_t serial, std::string const& bytes ) -> void;
    auto wait_for_memory( target_attempt& from ) -> void;
    auto on_memory_free( std::uint64_t serial ) -> void;
    auto on_end( std::uint64_t serial, attempt_end const& end ) -> void;
    auto check_if_cut_short( target_attempt const& from ) -> void;
    auto on_checked( std::uint64_t serial, std::optional<bool> target_listens )
        -> void;
    [[nodiscard]] auto defect_of( answer_head const& head ) const
        -> char const*;
    [[nodiscard]] auto is_relayed_by_event( answer_head const& head ) const
        -> bool;
    [[nodiscard]] auto max_answer_bytes() const -> std::size_t;
    auto on_invalid_answer( target_attempt const& from, std::string detail )
        -> void;
    auto on_complete() -> void;
    auto note_complete_answer() -> void;
    auto on_not_run() -> void;
    auto on_broken_attempt( attempt_end const& end ) -> void;
    auto note_served( suspect_list const& suspects ) -> void;
    auto note_sound_parts( target_attempt const& from ) -> void;
    [[nodiscard]] auto proves_parts_sound( target_attempt const& from ) const
        -> bool;
    auto on_error_status() -> void;
    auto relay( std::vector<stream_event> events ) -> void;
    auto relay_event( stream_event& event ) -> bool;
    auto send_to_caller( std::string events ) -> void;
    auto note_event() -> void;
    [[nodiscard]] auto is_whole( target_attempt const& from ) const -> bool;
    [[nodiscard]] auto can_relay( target_attempt const& from,
                                  attempt_end const& end ) const -> bool;
    auto silent_target_resumes( std::vector<stream_event> const& events )
        -> bool;
    [[nodiscard]] auto is_stream( target_attempt const& which ) const -> bool;
    [[nodiscard]] auto find_attempt( std::uint64_t serial ) -> target_attempt*;
    [[nodiscard]] auto is_silent_attempt( target_attempt const* which ) const
        -> bool
    {
        return silent_ && which == &*silent_;
    }

    auto may_retry() -> bool;
    [[nodiscard]] auto max_targets() const -> std::int64_t;
    [[nodiscard]] auto targets_counted() const -> std::int64_t;
    [[nodiscard]] auto open_attempts() const -> std::int64_t;
    [[nodiscard]] auto sent_attempts() const -> std::int64_t;
    auto leave_open_attempts() -> void;
    [[nodiscard]] auto may_hand_over() const -> bool;
    /// Closes what is open at targets and hands the request over to another
    /// instance. Returns false, and changes nothing, if that is not allowed or
    /// no instance can take it.
    auto hand_over( std::string const& because ) -> bool;
    [[nodiscard]] auto has_retry_for_handover() const -> bool;
    auto take_retry_for_handover() -> void;
    auto begin_handover( core::instance_id const& to,
                         std::string const& because ) -> void;
    auto on_handover_head( target_attempt& from, answer_head head ) -> void;
    auto on_handover_end( attempt_end end ) -> void;
    auto relay_handed_over_answer() -> void;
    auto on_handover_refused() -> void;
    auto on_handover_lost( attempt_end const& lost ) -> void;
    auto return_handover_retry() -> void;
    auto end_handover( std::string const& why, bool may_have_run ) -> void;
    auto handler_for_attempt( std::uint64_t serial )
        -> std::shared_ptr<attempt_listener>;
    auto refuse_doubtful_handover() -> bool;
    [[nodiscard]] auto handed_over_by() const -> core::instance_id;
    /// Counts the request's end, unless its caller's instance does.
    auto count_outcome( core::counter& outcome ) -> void;
    auto has_retry_budget() -> bool;
    auto take_retry() -> bool;
    auto on_no_retry( placement_grant const& grant ) -> void;
    auto exclude_target( core::target_id const& target ) -> void;
    /// Sends the request to a target other than `excluded`. Returns false if
    /// no retry is allowed.
    auto retry( std::string const& why,
                bool may_have_run,
                core::target_id const& excluded ) -> bool;
    /// Starts an attempt at another target beside the silent one (a hedge).
    auto try_another_target() -> void;
    /// Makes the silent attempt the current one again. Returns false if there
    /// is none.
    auto return_to_silent_target( std::string const& why ) -> bool;
    auto cancel_placement() -> void;
    auto on_silent_target_failed( attempt_end const& end ) -> void;
    auto note_rejection( target_attempt const& from ) -> target_ref;
    auto silence_timeout() const -> core::duration;
    auto base_silence_timeout() const -> core::duration;
    auto arm_silence_timer() -> void;
    auto on_silence_timer() -> void;
    auto on_deadline() -> void;
    auto on_patience_expired() -> void;

    auto note_failure( target_ref const& target ) -> void;
    auto note_path_failure( target_ref const& target ) -> void;
    auto end_if_cut() -> bool;
    auto record_ejection( target_ref const& target ) -> void;
    auto note_broken_attempt( target_attempt const& which,
                              attempt_end const& end ) -> void;
    [[nodiscard]] auto shared_parts() const -> std::vector<prompt_part_id>;
    auto record_failure( target_attempt const& which,
                         std::string why,
                         bool may_have_run,
                         std::string decision ) -> void;
    auto note_crash( target_attempt const& which, core::error const& why )
        -> void;
    /// True if the request is quarantined and is no trial.
    [[nodiscard]] auto is_held_back() const -> bool;
    [[nodiscard]] auto may_be_trial() const -> bool;
    auto end_as_quarantined() -> void;
    auto
    end_if_quarantined( placement_grant const& grant,
                        std::shared_ptr<reservation_group> const& reservation )
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
    /// Ends the request without a further attempt, unless a silent attempt is
    /// open to return to. Fails it if it may have run, otherwise refuses it.
    auto give_up( std::string reason,
                  std::optional<core::duration> retry_after ) -> void;
    auto end( std::string outcome, int status ) -> void;
    auto predicted_wait() const -> core::duration;
    [[nodiscard]] auto patience_end() const -> core::instant;
    [[nodiscard]] auto refusal_deadline() const -> core::instant;

    exchange_context& context_;
    caller_request request_;
    std::shared_ptr<answer_channel> answer_;
    configuration_ptr configuration_;
    route const* route_{ nullptr };
    core::workspace_id workspace_;
    content_id content_;
    suspect_list suspects_; ///< the content and the shared parts of the prompt
    int priority_{ 0 };
    placement_demand demand_;
    service_settings const* service_{ nullptr };
    bool is_split_{ false };
    bool is_suspect_{ false };      ///< by the grant or by crashes seen here
    bool parts_are_sound_{ false }; ///< reported already
    bool is_trial_{ false };        ///< sent although it is quarantined
    /// A plain call for which the coordinator was asked for a target.
    bool is_coordinated_{ false };
    /// It was granted a target that names a rate limit.
    bool uses_limited_target_{ false };

    core::instant deadline_;
    core::instant not_before_;     ///< earliest time of the next placement
    core::duration patience_{ 0 }; ///< silence after which the caller leaves
    std::unique_ptr<ports::scheduled_call> deadline_timer_;
    std::unique_ptr<ports::scheduled_call> patience_timer_;
    std::unique_ptr<ports::scheduled_call> silence_timer_;
    std::unique_ptr<ports::scheduled_call> pause_timer_;
    std::unique_ptr<ports::scheduled_call> objective_timer_;
    scheduling::lateness_watch lateness_;

    std::optional<pending_placement> pending_placement_;
    /// Placement requests that wait at the coordinator with this one.
    std::size_t placement_queue_size_{ 0 };
    core::duration last_placement_time_{ 0 }; ///< from request to last grant
    std::optional<target_attempt> current_;   ///< its answer is relayed
    /// The former current attempt, whose target has fallen silent but may still
    /// answer. It stays open until an event of another attempt arrives, and
    /// becomes current again if it is first to send or no other target is left.
    std::optional<target_attempt> silent_;
    /// Serial of the grant whose memory is being reserved.
    std::optional<std::uint64_t> reserving_grant_;
    std::int64_t targets_reached_{ 0 };
    /// Of these, those that were lost together with the path to all targets.
    std::int64_t targets_cut_off_{ 0 };
    std::set<core::instance_id> asked_instances_; ///< handed over to these
    std::int64_t connects_failed_{ 0 };
    bool waiting_{ false };
    bool may_have_run_{ false }; ///< a target may have started to process it
    bool streaming_{ false };    ///< the caller has the head of a stream
    std::optional<std::int64_t> last_event_;
    std::int64_t events_{ 0 };
    core::duration first_event_{ 0 };
    core::duration longest_gap_{ 0 };
    core::instant last_event_at_;
    core::target_id last_target_;
    core::instant silence_timer_due_;         ///< when it should fire
    core::duration silence_timer_delay_{ 0 }; ///< how late it last fired
    bool finished_{ false };
};

}

#endif
