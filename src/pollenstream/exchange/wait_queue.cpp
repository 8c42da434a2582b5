#include <pollenstream/exchange/wait_queue.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Delay from a change of load to a round, as changes come in groups.
constexpr auto batch_delay = core::duration( 1ms );
/// Interval of rounds while requests wait and no change is reported: a prefill
/// ends by its predicted time before any instance reports it.
constexpr auto idle_round_interval = core::duration( 15ms );

}

wait_queue::wait_queue( ports::scheduler& scheduler ) : scheduler_( scheduler )
{
}

auto wait_queue::add( std::shared_ptr<waiting_item> item ) -> void
{
    waiting_.push_back( std::move( item ) );
    schedule_round_in( idle_round_interval );
}

auto wait_queue::remove( waiting_item const* item ) -> void
{
    std::erase_if( waiting_,
                   [item]( auto const& other )
                   {
                       return other.get() == item;
                   } );
    if ( in_round_ )
        removed_.push_back( item );
}

auto wait_queue::was_removed( waiting_item const* item ) const -> bool
{
    return std::find( removed_.begin(), removed_.end(), item ) !=
           removed_.end();
}

auto wait_queue::schedule_round() -> void
{
    if ( !waiting_.empty() )
        schedule_round_in( batch_delay );
}

auto wait_queue::schedule_round_in( core::duration delay ) -> void
{
    auto const at = scheduler_.now() + delay;
    if ( round_ && round_at_ <= at )
        return;
    round_at_ = at;
    round_ = scheduler_.call_after( delay,
                                    [this]
                                    {
                                        auto const keep_alive =
                                            std::move( round_ );
                                        run_round();
                                    } );
}

/// Removes the item if it no longer waits, or if it throws. It may have been
/// added again meanwhile, so that only its first entry is removed.
auto wait_queue::try_item( std::shared_ptr<waiting_item> const& item,
                           std::exception_ptr& failure ) -> bool
{
    try
    {
        if ( !item->try_start() )
            return false;
    }
    catch ( std::exception const& )
    {
        failure = std::current_exception();
    }
    if ( !was_removed( item.get() ) )
        waiting_.erase( std::find( waiting_.begin(), waiting_.end(), item ) );
    return true;
}

/// An item that throws does not keep the others from being tried.
auto wait_queue::run_round() -> void
{
    in_round_ = true;
    auto const failure = try_all();
    in_round_ = false;
    removed_.clear();
    if ( !waiting_.empty() )
        schedule_round_in( idle_round_interval );
    if ( failure )
        std::rethrow_exception( failure );
}

/// Returns what the last item that has failed has thrown; null if none has.
auto wait_queue::try_all() -> std::exception_ptr
{
    auto failure = std::exception_ptr{};
    auto round = waiting_;
    std::stable_sort( round.begin(), round.end(),
                      []( auto const& a, auto const& b )
                      {
                          return a->order() < b->order();
                      } );
    // Smallest item that found no capacity, by service and by `is_long()`.
    auto smallest_unplaced =
        std::map<std::pair<core::service_id, bool>, std::int64_t>{};
    for ( auto const& item : round )
    {
        if ( was_removed( item.get() ) )
            continue;
        if ( item->is_always_tried() )
        {
            try_item( item, failure );
            continue;
        }
        auto const kind = std::pair( item->service(), item->is_long() );
        auto const found = smallest_unplaced.find( kind );
        if ( found != smallest_unplaced.end() && item->size() >= found->second )
            continue;
        if ( !try_item( item, failure ) )
            smallest_unplaced[kind] = item->size();
    }
    return failure;
}

}
