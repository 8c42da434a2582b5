#ifndef POLLENSTREAM_PORTS_ANSWER_SINK_HPP
#define POLLENSTREAM_PORTS_ANSWER_SINK_HPP

#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstream::ports
{

/// How a request ended; tells the caller whether a retry is safe.
enum class answer_status
{
    complete,
    not_run, ///< it was not started: a retry is safe
    failed,  ///< it was started and ended incomplete
    unknown, ///< it may or may not have run
};

/// Name in problem documents: `complete`, `not-run`, `failed` or `unknown`.
auto name_of( answer_status status ) -> std::string_view;

/// Final outcome of a request, as reported to its caller.
struct answer_end
{
    answer_status status{ answer_status::complete };
    std::string reason; ///< short, stable name, such as `no-target`
    std::string detail; ///< explanation for humans
    /// Delay after which a retry may succeed; absent if none would.
    std::optional<core::duration> retry_after;
    core::token_count prompt_tokens;
    core::token_count output_tokens;
};

/// Sends a request's answer to its caller. A session calls it from one thread
/// at a time and calls `finish` exactly once.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Sends `text`; false if the caller has disconnected.
    virtual auto write( std::string_view text, std::int64_t tokens )
        -> bool = 0;
    /// Signals the caller that the request is still in progress; false if the
    /// caller has disconnected.
    virtual auto keep_alive() -> bool = 0;
    virtual auto finish( answer_end const& end ) -> void = 0;
};

}

#endif
