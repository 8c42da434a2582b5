#ifndef POLLENSTREAM_PORTS_REPEATING_CALL_HPP
#define POLLENSTREAM_PORTS_REPEATING_CALL_HPP

#include <pollenstream/ports/scheduler.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace pollenstream::ports
{

/// Calls a function again and again until it is destroyed, which the function
/// must not do. A call that throws does not end the series.
class repeating_call
{
public:
    /// Returns the pause after a call.
    using pause = std::function<core::duration()>;

    repeating_call( scheduler& scheduler,
                    pause next_pause,
                    std::function<void()> callback )
        : scheduler_( scheduler ), next_pause_( std::move( next_pause ) ),
          callback_( std::move( callback ) )
    {
    }
    repeating_call( scheduler& scheduler,
                    core::duration pause,
                    std::function<void()> callback )
        : repeating_call(
              scheduler,
              [pause]
              {
                  return pause;
              },
              std::move( callback ) )
    {
    }

    /// Makes the first call now.
    auto start() -> void
    {
        auto const again = next_on_exit{ *this };
        callback_();
    }
    /// Makes the first call after the first pause.
    auto start_later() -> void
    {
        call_ = scheduler_.call_after( next_pause_(),
                                       [this]
                                       {
                                           auto const done = std::move( call_ );
                                           start();
                                       } );
    }

private:
    /// Schedules the next call however the present one ends.
    struct next_on_exit
    {
        repeating_call& owner;
        explicit next_on_exit( repeating_call& the_owner ) : owner( the_owner )
        {
        }
        next_on_exit( next_on_exit const& ) = delete;
        auto operator=( next_on_exit const& ) -> next_on_exit& = delete;
        ~next_on_exit()
        {
            owner.start_later();
        }
    };

    scheduler& scheduler_;
    pause next_pause_;
    std::function<void()> callback_;
    std::unique_ptr<scheduled_call> call_;
};

}

#endif
