#ifndef TESTS_SUPPORT_HELD_SCHEDULER_HPP
#define TESTS_SUPPORT_HELD_SCHEDULER_HPP

#include <pollenstream/ports/scheduler.hpp>

#include <map>
#include <memory>
#include <utility>

namespace tests
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;

/// A scheduler whose time stands still until a test advances it.
class held_scheduler : public ports::scheduler
{
public:
    [[nodiscard]] auto now() const -> core::instant override
    {
        return now_;
    }

    [[nodiscard]] auto call_after( core::duration delay,
                                   std::function<void()> callback )
        -> std::unique_ptr<ports::scheduled_call> override
    {
        auto const at = std::pair( now_ + delay, ++last_ );
        calls_->emplace( at, std::move( callback ) );
        return std::make_unique<held_call>( calls_, at );
    }

    /// Advances the time by `time` and runs the calls that become due, in
    /// order.
    auto run( core::duration time ) -> void
    {
        auto const until = now_ + time;
        while ( !calls_->empty() && calls_->begin()->first.first <= until )
        {
            auto const first = calls_->begin();
            now_ = std::max( now_, first->first.first );
            auto const callback = std::move( first->second );
            calls_->erase( first );
            callback();
        }
        now_ = until;
    }

private:
    using key = std::pair<core::instant, int>;
    using call_map = std::map<key, std::function<void()>>;

    class held_call : public ports::scheduled_call
    {
    public:
        held_call( std::shared_ptr<call_map> calls, key at )
            : calls_( std::move( calls ) ), at_( at )
        {
        }
        ~held_call() override
        {
            calls_->erase( at_ );
        }

    private:
        std::shared_ptr<call_map> calls_;
        key at_;
    };

    core::instant now_{ std::chrono::seconds( 100 ) };
    int last_{ 0 };
    std::shared_ptr<call_map> calls_{ std::make_shared<call_map>() };
};

}

#endif
