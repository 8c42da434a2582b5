#include <pollenstream/exchange/memory_queue.hpp>

#include <utility>
#include <vector>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

constexpr auto round_period = core::duration( 5ms );
/// Bytes that a resumed answer may take before it can wait again.
constexpr auto bytes_per_read = std::size_t{ 16 } * 1024;

}

memory_queue::memory_queue( ports::scheduler& scheduler,
                            std::shared_ptr<core::memory_budget> budget )
    : scheduler_( scheduler ), budget_( std::move( budget ) )
{
}

auto memory_queue::wait( std::uint64_t serial, std::function<void()> resume )
    -> bool
{
    auto const is_oldest =
        waiting_.empty() || serial <= waiting_.begin()->first;
    waiting_[serial] = is_oldest ? nullptr : std::move( resume );
    if ( !is_oldest )
        waits_.add();
    arm_round();
    return !is_oldest;
}

auto memory_queue::leave( std::uint64_t serial ) -> void
{
    waiting_.erase( serial );
}

auto memory_queue::arm_round() -> void
{
    if ( round_call_ || waiting_.empty() )
        return;
    round_call_ = scheduler_.call_after( round_period,
                                         [this]
                                         {
                                             auto const done =
                                                 std::move( round_call_ );
                                             run_round();
                                         } );
}

/// Resumes the oldest answer, and as many others as there is memory for.
auto memory_queue::run_round() -> void
{
    auto resumed = std::vector<std::function<void()>>{};
    auto left = budget_->left_bytes();
    while ( !waiting_.empty() )
    {
        auto const oldest = waiting_.begin();
        auto const fits = left >= bytes_per_read;
        if ( oldest->second )
            resumed.push_back( std::exchange( oldest->second, nullptr ) );
        if ( !fits )
            break;
        left -= bytes_per_read;
        waiting_.erase( oldest );
    }
    arm_round();
    for ( auto const& resume : resumed )
        resume();
}

}
