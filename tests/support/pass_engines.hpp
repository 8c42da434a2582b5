#ifndef TESTS_SUPPORT_PASS_ENGINES_HPP
#define TESTS_SUPPORT_PASS_ENGINES_HPP

#include "support/exchange_fixture.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

/// Simulates engines that work in passes, in the time of a `held_scheduler`. A
/// pass decodes a block of tokens for each answer and prefills what waits, up
/// to its number of chunks: parts for other engines first, the latest of them
/// before the earlier ones, then own prompts in order of arrival. All events
/// come at the end of a pass, so that prefill delays the answers beside it.
class pass_engines : public exchange::target_client
{
public:
    pass_engines( held_scheduler& scheduler, exchange::engine_speed speed )
        : scheduler_( scheduler ), speed_( speed )
    {
    }

    auto send( exchange::outgoing_request request,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> override;

private:
    class answer;

    struct part
    {
        std::shared_ptr<answer> pending_answer;
        double ms_left{ 0 };
        bool is_own{ false };
    };
    struct engine_state
    {
        std::vector<part> parts;
        std::vector<std::shared_ptr<answer>> decoding;
        std::unique_ptr<ports::scheduled_call> pass_end;
    };

    auto start_pass( engine_state& engine ) -> void;
    auto end_pass( engine_state& engine,
                   std::vector<std::shared_ptr<answer>> const& decoded )
        -> void;
    /// Prefills for one pass and returns the time in ms that this takes.
    auto prefill( engine_state& engine ) const -> double;

    held_scheduler& scheduler_;
    exchange::engine_speed speed_;
    std::map<std::string, engine_state> engines_;
};

}

#endif
