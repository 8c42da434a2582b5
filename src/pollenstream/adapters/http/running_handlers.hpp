#ifndef POLLENSTREAM_ADAPTERS_HTTP_RUNNING_HANDLERS_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_RUNNING_HANDLERS_HPP

#include <condition_variable>
#include <memory>
#include <mutex>

namespace pollenstream::adapters::http
{

/// Counts handlers that have not ended.
class running_handlers
{
public:
    /// Counts a handler until the returned object is destroyed, however the
    /// handler ends.
    [[nodiscard]] auto add() -> std::shared_ptr<void>
    {
        auto const lock = std::scoped_lock( mutex_ );
        ++count_;
        return { nullptr, [this]( void* )
                 {
                     remove();
                 } };
    }
    auto wait_for_none() -> void
    {
        auto lock = std::unique_lock( mutex_ );
        none_left_.wait( lock,
                         [this]
                         {
                             return count_ == 0;
                         } );
    }

private:
    auto remove() -> void
    {
        auto const lock = std::scoped_lock( mutex_ );
        --count_;
        none_left_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable none_left_;
    int count_{ 0 };
};

}

#endif
