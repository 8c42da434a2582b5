#ifndef POLLENSTREAM_ADAPTERS_ASIO_UNSENT_ANSWERS_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_UNSENT_ANSWERS_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/memory_budget.hpp>
#include <pollenstream/core/units.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace pollenstream::adapters::asio
{

/// A connection with bytes of an answer that its caller has not taken yet.
class unsent_answer
{
public:
    virtual ~unsent_answer() = default;
    /// When the caller last took some of the bytes, or when they were added to
    /// none.
    [[nodiscard]] virtual auto stalled_since() const
        -> std::chrono::steady_clock::time_point = 0;
    /// Closes the connection at once and releases the bytes. No handler of a
    /// request runs during the call.
    virtual auto drop_unsent() -> void = 0;
    /// The caller's address, for logs.
    [[nodiscard]] virtual auto caller() const -> std::string = 0;
};

/// True if the caller has taken nothing for so long that it is not only slow.
[[nodiscard]] auto is_stalled( unsent_answer const& answer,
                               std::chrono::steady_clock::time_point now )
    -> bool;

/// The connections with bytes that their callers have not taken. Where the
/// memory for them is used up, those whose callers have taken nothing for the
/// longest time are closed, so that callers who read get their answers.
class unsent_answers : public core::memory_reclaimer
{
public:
    /// Called for each connection that is closed for its memory.
    using drop_listener = std::function<void(
        std::string const& caller, std::size_t bytes, core::duration stalled )>;

    explicit unsent_answers( std::shared_ptr<core::memory_budget> budget );
    ~unsent_answers() override;
    unsent_answers( unsent_answers const& ) = delete;
    auto operator=( unsent_answers const& ) -> unsent_answers& = delete;

    auto reclaim( std::size_t bytes ) -> void override;

    /// False where the memory is used up, and by callers that take their
    /// answers. Others are closed.
    [[nodiscard]] auto has_room() -> bool;

    [[nodiscard]] auto unsent_bytes() const -> std::size_t
    {
        return unsent_bytes_;
    }
    /// Connections that were closed for their memory.
    [[nodiscard]] auto dropped() const -> std::uint64_t
    {
        return dropped_.value();
    }

    drop_listener on_dropped;

private:
    friend class unsent_share;

    std::shared_ptr<core::memory_budget> budget_;
    std::set<class unsent_share*> shares_; ///< with bytes
    std::size_t unsent_bytes_{ 0 };
    core::counter dropped_;
};

/// The memory of one connection among `unsent_answers`.
class unsent_share
{
public:
    /// `all`: null if nothing limits the memory.
    unsent_share( std::shared_ptr<unsent_answers> all, unsent_answer& owner );
    ~unsent_share();
    unsent_share( unsent_share const& ) = delete;
    auto operator=( unsent_share const& ) -> unsent_share& = delete;

    /// The connection has `bytes` in memory now. If there is too little for
    /// them, connections are closed, perhaps this one.
    auto set( std::size_t bytes ) -> void;

private:
    friend class unsent_answers;

    std::shared_ptr<unsent_answers> all_;
    unsent_answer& owner_;
    core::memory_claim claim_;
    std::size_t bytes_{ 0 };
};

}

#endif
