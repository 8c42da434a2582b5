#ifndef POLLENSTREAM_ADAPTERS_ASIO_COLLECTED_END_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_COLLECTED_END_HPP

#include <pollenstream/core/error.hpp>

#include <cstddef>

namespace pollenstream::adapters::asio
{

/// An error if a collected answer may have been cut behind its head: a success
/// without length or chunks of whose body nothing has arrived. More of a body
/// than nothing is for those who read it to judge.
inline auto check_collected( int status,
                             bool is_delimited_by_close,
                             std::size_t body_bytes ) -> core::result<void>
{
    constexpr auto first_success = 200;
    constexpr auto first_redirection = 300;
    auto const is_success =
        status >= first_success && status < first_redirection;
    if ( is_success && is_delimited_by_close && body_bytes == 0 )
        return core::error{ core::error_code::connection_lost,
                            "the answer may have been cut short" };
    return core::success();
}

}

#endif
