#ifndef TESTS_SUPPORT_SIMULATED_ENGINES_HPP
#define TESTS_SUPPORT_SIMULATED_ENGINES_HPP

#include "support/exchange_fixture.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

/// Encodes the size of a prompt and the addresses of its helpers, for
/// `simulated_engines`.
class sized_encoder : public exchange::request_encoder
{
public:
    [[nodiscard]] auto
    encode_head( exchange::caller_request const& request,
                 exchange::target_directions const& directions ) const
        -> std::string override;
};

/// Simulates engines in the time of a `held_scheduler`. As real engines do,
/// each one prefills parts for other engines first, the latest of them before
/// the earlier ones, then its own prompts in order of arrival. The first event
/// comes 50 ms after the prefill of all parts, and 15 more follow, 50 ms apart;
/// an engine can be made slower.
class simulated_engines : public exchange::target_client
{
public:
    simulated_engines( held_scheduler& scheduler, exchange::engine_speed speed )
        : scheduler_( scheduler ), speed_( speed )
    {
    }

    auto send( exchange::outgoing_request request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> override;

    /// From now on, the prefill and the events of the engine `number` take
    /// `factor` times as long.
    auto set_slowdown( int number, double factor ) -> void;

    /// Sizes of the prompts that were sent, in order.
    std::vector<std::int64_t> sent;

private:
    class answer;

    struct part
    {
        std::shared_ptr<answer> pending_answer;
        core::duration time_left;
        bool is_own{ false };
    };
    /// One engine with its pending prefill.
    struct engine_state
    {
        std::vector<part> parts;
        core::instant prefilled_until;
        double slowdown{ 1 };
        std::unique_ptr<ports::scheduled_call> next_part_end;
    };

    /// The part whose prefill runs now.
    static auto current_part( engine_state& engine )
        -> std::vector<part>::iterator;
    /// Advances the prefill to the present and schedules the end of the part
    /// that runs then.
    auto advance( engine_state& engine ) -> void;

    held_scheduler& scheduler_;
    exchange::engine_speed speed_;
    std::map<std::string, engine_state> engines_;
};

/// The outcome of one caller's request, including its retry after a refusal.
struct simulated_request
{
    std::int64_t tokens{ 0 };
    core::instant arrived_at;
    std::optional<core::duration> first_event; ///< time since the arrival
    bool complete{ false };
    int refusals{ 0 };
    core::duration longest_refusal_wait{ 0 }; ///< until an attempt is refused
};

/// One instance in front of simulated engines, with callers that retry once
/// after a refusal.
class simulated_load
{
public:
    simulated_load( int engines, exchange::engine_speed speed );
    ~simulated_load();
    simulated_load( simulated_load const& ) = delete;
    auto operator=( simulated_load const& ) -> simulated_load& = delete;

    /// Requests whose first event came later than predicted.
    [[nodiscard]] auto later_than_predicted() const -> int;

    /// Schedules the request of a caller of `route` for `after` from now.
    auto schedule_request( core::duration after,
                           std::string const& route,
                           std::int64_t tokens )
        -> std::shared_ptr<simulated_request>;
    /// Runs the simulation for `time`, which should be long enough for every
    /// request to end.
    auto run( core::duration time ) -> void;

    exchange_fixture fixture;
    simulated_engines engines;

private:
    class caller_channel;

    /// What an instance does regularly.
    auto tick() -> void;
    auto start_request( std::shared_ptr<simulated_request> const& record,
                        std::string const& route,
                        core::duration time_limit ) -> void;

    sized_encoder encoder_;
    exchange::exchange_context context_;
    std::vector<std::unique_ptr<ports::scheduled_call>> timers_;
    std::unique_ptr<ports::scheduled_call> tick_call_;
};

}

#endif
