#ifndef TESTS_SUPPORT_RECORDED_ANSWER_HPP
#define TESTS_SUPPORT_RECORDED_ANSWER_HPP

#include <pollenstream/ports/answer_sink.hpp>

#include <optional>
#include <string>

namespace tests
{

/// Records the answer that a caller is sent.
class recorded_answer : public pollenstream::ports::answer_sink
{
public:
    auto write( std::string_view text, std::int64_t tokens ) -> bool override
    {
        text_ += text;
        tokens_ += tokens;
        return !gone;
    }
    auto keep_alive() -> bool override
    {
        return !gone;
    }
    auto finish( pollenstream::ports::answer_end const& end ) -> void override
    {
        ++finishes;
        end_ = end;
    }

    [[nodiscard]] auto is_complete() const -> bool
    {
        return end_ &&
               end_->status == pollenstream::ports::answer_status::complete;
    }
    [[nodiscard]] auto text() const -> std::string const&
    {
        return text_;
    }
    [[nodiscard]] auto tokens() const -> std::int64_t
    {
        return tokens_;
    }
    [[nodiscard]] auto end() const
        -> std::optional<pollenstream::ports::answer_end> const&
    {
        return end_;
    }

    bool gone{ false };
    int finishes{ 0 };

private:
    std::string text_;
    std::int64_t tokens_{ 0 };
    std::optional<pollenstream::ports::answer_end> end_;
};

}

#endif
