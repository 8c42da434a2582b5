#include <pollenstream/exchange/wait_queue.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Delay from a change of load to a round: changes come in groups.
constexpr auto gather_time = core::duration( 1ms );
/// Rounds while requests wait and nothing is heard; reading ends by the clock
/// before anybody tells of it.
constexpr auto idle_round = core::duration( 15ms );

}

wait_queue::wait_queue( ports::scheduler& scheduler ) : scheduler_( scheduler )
{
}

auto wait_queue::add( std::shared_ptr<waiting_item> who ) -> void
{
    waiting_.push_back( std::move( who ) );
    arm( idle_round );
}

auto wait_queue::remove( waiting_item const* who ) -> void
{
    std::erase_if( waiting_,
                   [who]( auto const& w )
                   {
                       return w.get() == who;
                   } );
    if ( in_round_ )
        removed_.push_back( who );
}

auto wait_queue::was_removed( waiting_item const* who ) const -> bool
{
    return std::find( removed_.begin(), removed_.end(), who ) != removed_.end();
}

auto wait_queue::poke() -> void
{
    if ( !waiting_.empty() )
        arm( gather_time );
}

auto wait_queue::arm( core::duration delay ) -> void
{
    auto const at = scheduler_.now() + delay;
    if ( round_ && round_at_ <= at )
        return;
    round_at_ = at;
    round_ = scheduler_.call_after( delay,
                                    [this]
                                    {
                                        auto const done = std::move( round_ );
                                        run_round();
                                    } );
}

/// Takes it out where it does not wait any more. It may have begun to wait
/// again meanwhile, with an entry of its own.
auto wait_queue::try_one( std::shared_ptr<waiting_item> const& who ) -> bool
{
    if ( !who->try_start() )
        return false;
    if ( !was_removed( who.get() ) )
        waiting_.erase( std::find( waiting_.begin(), waiting_.end(), who ) );
    return true;
}

auto wait_queue::run_round() -> void
{
    auto round = waiting_;
    in_round_ = true;
    std::stable_sort( round.begin(), round.end(),
                      []( auto const& a, auto const& b )
                      {
                          return a->order() < b->order();
                      } );
    // The smallest size that found no room, by service and by kind of place.
    auto no_room = std::map<std::pair<core::service_id, bool>, std::int64_t>{};
    for ( auto const& who : round )
    {
        if ( was_removed( who.get() ) )
            continue;
        if ( who->is_always_tried() )
        {
            try_one( who );
            continue;
        }
        auto const kind = std::pair( who->service(), who->is_long() );
        auto const full = no_room.find( kind );
        if ( full != no_room.end() && who->size() >= full->second )
            continue;
        if ( !try_one( who ) )
            no_room[kind] = who->size();
    }
    in_round_ = false;
    removed_.clear();
    if ( !waiting_.empty() )
        arm( idle_round );
}

}
