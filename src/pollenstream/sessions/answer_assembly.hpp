#ifndef POLLENSTREAM_SESSIONS_ANSWER_ASSEMBLY_HPP
#define POLLENSTREAM_SESSIONS_ANSWER_ASSEMBLY_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/ports/engine.hpp>

#include <cstdint>
#include <string>

namespace pollenstream::sessions
{

/// Text that is ready for the caller.
struct ready_text
{
    std::string text;
    std::int64_t tokens{ 0 };
};

/// Puts one answer together out of the events of one or more attempts. Only
/// the next token of the right request and attempt is taken; what is late,
/// crossed or repeated is turned away.
class answer_assembly
{
public:
    explicit answer_assembly( core::request_id request );

    /// True where the event was the next one of `attempt`.
    auto take( ports::engine_event const& event, core::attempt_number attempt )
        -> bool;

    /// What was taken since the last call.
    auto take_ready() -> ready_text;

    /// The next token's position: tokens taken so far.
    [[nodiscard]] auto position() const -> std::int64_t
    {
        return position_;
    }
    /// All text taken so far, for a continuation on another engine.
    [[nodiscard]] auto text() const -> std::string const&
    {
        return text_;
    }
    [[nodiscard]] auto has_ready() const -> bool
    {
        return ready_.tokens > 0;
    }
    /// True where the engine has said that no token follows.
    [[nodiscard]] auto has_ended() const -> bool
    {
        return ended_;
    }
    /// True where the answer has ended and all of it was handed on.
    [[nodiscard]] auto is_whole() const -> bool
    {
        return ended_ && !has_ready();
    }

private:
    core::request_id request_;
    std::int64_t position_{ 0 };
    std::string text_;
    ready_text ready_;
    bool ended_{ false };
};

}

#endif
