#ifndef TESTS_SUPPORT_PART_LOAD_HPP
#define TESTS_SUPPORT_PART_LOAD_HPP

#include "support/exchange_fleet.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

using part_list = std::vector<exchange::prompt_part_id>;

inline auto const first_part = exchange::prompt_part_id( 0x1 );
inline auto const fatal_part = exchange::prompt_part_id( 0xfa );
inline auto const other_fatal_part = exchange::prompt_part_id( 0xfb );

/// One of a few parts that many prompts share.
auto middle_part( int number ) -> exchange::prompt_part_id;

/// Sends sound requests and some with a fatal part, no two alike.
struct part_load
{
    explicit part_load( exchange_fleet& f );

    auto send_for( core::duration time ) -> void;
    auto send_sound( int number ) -> void;
    auto send_fatal( int number ) -> void;

    exchange_fleet& fleet;
    /// The first part of the sound requests.
    exchange::prompt_part_id sound_part{ first_part };
    /// The parts of the fatal requests, in turn.
    std::vector<part_list> fatal_parts{
        { first_part, fatal_part, middle_part( 3 ) },
        { first_part, middle_part( 4 ), fatal_part },
        { first_part, fatal_part } };
    core::duration sound_period{ std::chrono::milliseconds( 40 ) };
    core::duration fatal_period{ std::chrono::milliseconds( 300 ) };
    core::instant next_fatal;
    std::vector<std::shared_ptr<fleet_call>> sound;
    std::vector<std::shared_ptr<fleet_call>> fatal;
    int sent{ 0 };
};

/// Kills all instances and restarts them after `down`.
auto restart_all( exchange_fleet& fleet, core::duration down ) -> void;

/// The sound requests that began at `since` or later and were not served at the
/// first attempt.
auto not_served_at_once( part_load const& load, core::instant since ) -> int;

}

#endif
