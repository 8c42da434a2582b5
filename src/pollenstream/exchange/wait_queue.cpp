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

/// Removes the item if it no longer waits. It may have been added again
/// meanwhile, so that only its first entry is removed.
auto wait_queue::try_item( std::shared_ptr<waiting_item> const& item ) -> bool
{
    if ( !item->try_start() )
        return false;
    if ( !was_removed( item.get() ) )
        waiting_.erase( std::find( waiting_.begin(), waiting_.end(), item ) );
    return true;
}

/// Requests that have waited long go before the first more urgent one whose
/// workspace is over its share, so that such a workspace does not starve the
/// less urgent requests of the others.
auto wait_queue::entries_in_order() const -> std::vector<round_entry>
{
    auto entries = std::vector<round_entry>{};
    entries.reserve( waiting_.size() );
    for ( auto const& item : waiting_ )
        entries.push_back( { item, item->order(), item->share() } );
    std::stable_sort( entries.begin(), entries.end(),
                      []( auto const& a, auto const& b )
                      {
                          return a.order < b.order;
                      } );
    auto const over = std::find_if( entries.begin(), entries.end(),
                                    []( auto const& e )
                                    {
                                        return e.share.is_over();
                                    } );
    if ( over == entries.end() )
        return entries;
    auto const priority = over->share.priority;
    std::stable_partition( over, entries.end(),
                           [priority]( auto const& e )
                           {
                               return e.share.has_waited_long &&
                                      !e.share.is_over() &&
                                      e.share.priority > priority;
                           } );
    return entries;
}

/// Tells the items that would be tried earlier if shares were not considered.
auto wait_queue::report_yielded( std::vector<round_entry> const& entries )
    -> void
{
    auto latest_within = std::map<core::service_id, double>{};
    for ( auto const& e : entries )
    {
        auto const order = e.order - e.share.penalty;
        auto const at = latest_within.find( e.item->service() );
        if ( !e.share.is_over() )
        {
            auto& latest =
                at == latest_within.end()
                    ? latest_within.emplace( e.item->service(), order )
                          .first->second
                    : at->second;
            latest = std::max( latest, order );
        }
        else if ( at != latest_within.end() && at->second > order )
            e.item->on_yielded();
    }
}

auto wait_queue::run_round() -> void
{
    auto const round = entries_in_order();
    in_round_ = true;
    report_yielded( round );
    // Smallest item that found no capacity, by service and by `is_long()`.
    auto smallest_unplaced =
        std::map<std::pair<core::service_id, bool>, std::int64_t>{};
    for ( auto const& entry : round )
    {
        auto const& item = entry.item;
        if ( was_removed( item.get() ) )
            continue;
        if ( item->is_always_tried() )
        {
            try_item( item );
            continue;
        }
        auto const kind = std::pair( item->service(), item->is_long() );
        auto const found = smallest_unplaced.find( kind );
        if ( found != smallest_unplaced.end() && item->size() >= found->second )
            continue;
        if ( !try_item( item ) )
            smallest_unplaced[kind] = item->size();
    }
    in_round_ = false;
    removed_.clear();
    if ( !waiting_.empty() )
        schedule_round_in( idle_round_interval );
}

}
