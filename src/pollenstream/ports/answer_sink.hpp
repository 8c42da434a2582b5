#ifndef POLLENSTREAM_PORTS_ANSWER_SINK_HPP
#define POLLENSTREAM_PORTS_ANSWER_SINK_HPP

#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstream::ports
{

/// How a request ended, as far as the caller may rely on it.
enum class answer_status
{
    complete,
    not_run, ///< nothing of it was started: asking again is safe
    failed,  ///< it was started and is over
    unknown, ///< it may have run: nobody can tell
};

/// Name in problem documents: `complete`, `not-run`, `failed` or `unknown`.
auto name_of( answer_status status ) -> std::string_view;

/// The final word to a caller.
struct answer_end
{
    answer_status status{ answer_status::complete };
    std::string reason; ///< short, stable name, such as `no-target`
    std::string detail; ///< for a person
    /// When asking again has a chance; absent where it has none.
    std::optional<core::duration> retry_after;
    core::token_count prompt_tokens;
    core::token_count output_tokens;
};

/// One caller's end of a request. A session calls it from one thread at a
/// time and calls `finish` exactly once.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Hands over `text`; false where the caller has gone.
    virtual auto write( std::string_view text, std::int64_t tokens )
        -> bool = 0;
    /// Shows the caller that the request lives; false where it has gone.
    virtual auto keep_alive() -> bool = 0;
    virtual auto finish( answer_end const& end ) -> void = 0;
};

}

#endif
