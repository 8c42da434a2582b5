#ifndef POLLENSTREAM_SESSIONS_ANSWER_ASSEMBLY_HPP
#define POLLENSTREAM_SESSIONS_ANSWER_ASSEMBLY_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/ports/engine.hpp>

#include <cstdint>
#include <string>

namespace pollenstream::sessions
{

/// Accepted text that was not yet passed to the caller.
struct ready_text
{
    std::string text;
    std::int64_t tokens{ 0 };
};

/// Assembles one answer from the events of one or more attempts. Accepts only
/// the next token of the expected request and attempt, and rejects events that
/// are late, duplicated or of another request.
class answer_assembly
{
public:
    explicit answer_assembly( core::request_id request );

    /// Returns whether the event was accepted, i.e. whether it is the next one
    /// of `attempt`.
    auto accept( ports::engine_event const& event,
                 core::attempt_number attempt ) -> bool;

    /// Removes and returns the text accepted since the last call.
    auto take_ready() -> ready_text;

    /// Position of the next token: the number of tokens accepted so far.
    [[nodiscard]] auto position() const -> std::int64_t
    {
        return position_;
    }
    /// All text accepted so far, from which another engine can continue.
    [[nodiscard]] auto text() const -> std::string const&
    {
        return text_;
    }
    [[nodiscard]] auto has_ready() const -> bool
    {
        return ready_.tokens > 0;
    }
    /// True once the engine has sent the last event of the answer.
    [[nodiscard]] auto has_ended() const -> bool
    {
        return ended_;
    }
    /// True once the answer has ended and all its text was taken.
    [[nodiscard]] auto is_fully_taken() const -> bool
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
