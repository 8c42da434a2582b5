#ifndef POLLENSTREAM_CORE_ERROR_HPP
#define POLLENSTREAM_CORE_ERROR_HPP

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace pollenstream::core
{

/// Kinds of errors, distinguished where they are handled differently.
enum class error_code
{
    malformed,       ///< input that cannot be parsed
    not_found,       ///< no such item
    conflict,        ///< a compare-and-swap found another version
    refused,         ///< the remote side did not start the work
    unreachable,     ///< no connection was established; the work did not run
    connection_lost, ///< lost after sending; the work may have run
    timed_out,       ///< no reply in time; the work may have run
    too_large,       ///< exceeds a limit
    expired,         ///< a lease, ticket or deadline has passed
    failed,          ///< the remote side ran the work and reported a failure
};

/// Lower-case name of `code`, for logs and problem documents.
auto name_of( error_code code ) -> std::string_view;

/// An error code with a detailed message for humans.
struct error
{
    error_code code{ error_code::failed };
    std::string detail;
};

/// True if `code` guarantees that the work did not start.
auto proves_not_run( error_code code ) -> bool;

/// A value or an `error`. Accessors are unchecked: call `has_value()` first.
template <class T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/// The success value of `result<void>`.
using boost::outcome_v2::success;

}

#endif
