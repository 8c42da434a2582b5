#ifndef POLLENSTREAM_ADAPTERS_ASIO_ANSWER_DEFECT_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_ANSWER_DEFECT_HPP

#include <pollenstream/core/error.hpp>

namespace pollenstream::adapters::asio
{

/// Why an answer does not count.
enum class answer_defect
{
    missing,    ///< the connection ended before its first byte
    cut,        ///< the connection ended in an orderly way before the answer
    lost,       ///< the connection was reset or given up before its end
    unreadable, ///< not HTTP/1.1
    invalid_status,  ///< outside of 100 to 599
    transfer_coding, ///< another one than chunks, which are all we accept
    too_large,       ///< of what precedes it, of a chunk header or of a trailer
    stray,           ///< belongs to another call, and ends the connection
    number_of_defects
};

/// Lower-case name of `defect`, for logs and metrics.
auto name_of( answer_defect defect ) -> char const*;

/// An answer that does not count, and the error of its call.
struct broken_answer
{
    answer_defect why{ answer_defect::missing };
    core::error error;
};

}

#endif
