#ifndef TESTS_SUPPORT_RETRY_SUM_HPP
#define TESTS_SUPPORT_RETRY_SUM_HPP

#include "support/exchange_fleet.hpp"

#include <string>

namespace tests
{

/// The window in which a fleet's retries exceed the allowed number the most, or
/// come closest to it.
struct retry_window
{
    core::instant from;
    int retries{ 0 };
    double allowed{ 0 };
};

/// Counts the requests of one path that reached targets beyond the first of
/// each attempt, in every window of the fleet's retry allowance. Allowed is the
/// ratio of the attempts in that window, the one before it or the one half a
/// window earlier, whichever has most, plus the constant.
auto fullest_retry_window( exchange_fleet& fleet, std::string const& path )
    -> retry_window;

}

#endif
