#ifndef POLLENSTREAM_CORE_ERROR_HPP
#define POLLENSTREAM_CORE_ERROR_HPP

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace pollenstream::core
{

/// What went wrong, as far as the next step depends on it.
enum class error_code
{
    malformed,       ///< input that cannot be read
    not_found,       ///< no such item
    conflict,        ///< a compare-and-swap met another version
    refused,         ///< the other side did not start the work
    unreachable,     ///< no connection was made: the work did not start
    connection_lost, ///< lost after sending: whether it ran is unknown
    timed_out,       ///< no answer in time: whether it ran is unknown
    too_large,       ///< beyond a stated limit
    expired,         ///< a lease, ticket or deadline has passed
    failed,          ///< the other side ran it and reported a failure
};

/// Lower-case name of `code`, for logs and problem documents.
auto name_of( error_code code ) -> std::string_view;

/// An error with the detail that a person needs to act on it.
struct error
{
    error_code code{ error_code::failed };
    std::string detail;
};

/// True where the work can be proved not to have started.
auto proves_not_run( error_code code ) -> bool;

/// A value or an `error`. Observers do not check: test before use.
template <class T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/// The success value of `result<void>`.
using boost::outcome_v2::success;

}

#endif
