#ifndef APPS_DAEMON_PERIODIC_TASK_HPP
#define APPS_DAEMON_PERIODIC_TASK_HPP

#include <pollenstream/core/units.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace apps::daemon
{

/// Calls a function again and again on a thread of its own, with the pause
/// that the function asks for.
class periodic_task
{
public:
    using body = std::function<pollenstream::core::duration()>;

    explicit periodic_task( body run );
    ~periodic_task();
    periodic_task( periodic_task const& ) = delete;
    auto operator=( periodic_task const& ) -> periodic_task& = delete;

    /// Lets the call under way end and makes no other.
    auto ask_to_stop() -> void;

private:
    auto loop() -> void;
    auto pause( pollenstream::core::duration how_long ) -> bool;

    body run_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{ false };
    std::thread thread_;
};

}

#endif
