#ifndef TESTS_SUPPORT_PLAYED_ENGINES_HPP
#define TESTS_SUPPORT_PLAYED_ENGINES_HPP

#include "support/exchange_fixture.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

/// Writes the size of a prompt and the addresses that read it, for
/// `played_engines`.
class sized_encoder : public exchange::request_encoder
{
public:
    [[nodiscard]] auto
    encode( exchange::caller_request const& request,
            exchange::target_directions const& directions ) const
        -> std::string override;
};

/// Engines in held time, in the order that the users' engines show: each reads
/// the part for another that came last before all else, then its own prompts as
/// they came, at the given speed. The first event comes when all parts are
/// read, and 15 more follow, 50 ms apart.
class played_engines : public exchange::target_client
{
public:
    played_engines( held_scheduler& scheduler, exchange::engine_speed speed )
        : scheduler_( scheduler ), speed_( speed )
    {
    }

    auto send( exchange::outgoing_request request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> override;

    /// Sizes of the prompts that were sent, in order.
    std::vector<std::int64_t> sent;

private:
    class answer;

    struct part
    {
        std::shared_ptr<answer> of;
        core::duration left;
        bool is_own{ false };
    };
    /// One engine with what it has to read.
    struct reader
    {
        std::vector<part> parts;
        core::instant read_up_to;
        std::unique_ptr<ports::scheduled_call> next_end;
    };

    /// The part that is read now.
    static auto current( reader& engine ) -> std::vector<part>::iterator;
    /// Reads up to now, and expects the end of the part that is read then.
    auto go_on( reader& engine ) -> void;

    held_scheduler& scheduler_;
    exchange::engine_speed speed_;
    std::map<std::string, reader> readers_;
};

/// What became of one caller's request, tries after refusals included.
struct played_request
{
    std::int64_t tokens{ 0 };
    core::instant came;
    std::optional<core::duration> first; ///< to the first event
    bool complete{ false };
    int refusals{ 0 };
    core::duration refused_after{ 0 }; ///< longest wait for a refusal
};

/// One instance before engines that are played, with callers that come back
/// once after a refusal, as the users' callers do.
class played_load
{
public:
    played_load( int engines, exchange::engine_speed speed );
    ~played_load();
    played_load( played_load const& ) = delete;
    auto operator=( played_load const& ) -> played_load& = delete;

    /// A caller of `route` comes `after` from now.
    auto call( core::duration after,
               std::string const& route,
               std::int64_t tokens ) -> std::shared_ptr<played_request>;
    /// Time in which every request has had its last answer.
    auto play( core::duration time ) -> void;

    exchange_fixture fixture;
    played_engines engines;

private:
    class caller_channel;

    auto begin( std::shared_ptr<played_request> const& which,
                std::string const& route,
                core::duration time_limit ) -> void;

    sized_encoder encoder_;
    exchange::exchange_context context_;
    std::vector<std::unique_ptr<ports::scheduled_call>> calls_;
};

}

#endif
