#include <pollenstream/exchange/waiting_room.hpp>

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

waiting_room::waiting_room( ports::scheduler& scheduler )
    : scheduler_( scheduler )
{
}

auto waiting_room::add( std::shared_ptr<waiter> who ) -> void
{
    waiting_.push_back( std::move( who ) );
    arm( idle_round );
}

auto waiting_room::remove( waiter const* who ) -> void
{
    std::erase_if( waiting_,
                   [who]( auto const& w )
                   {
                       return w.get() == who;
                   } );
    if ( in_round_ )
        removed_.push_back( who );
}

auto waiting_room::was_removed( waiter const* who ) const -> bool
{
    return std::find( removed_.begin(), removed_.end(), who ) != removed_.end();
}

auto waiting_room::poke() -> void
{
    if ( !waiting_.empty() )
        arm( gather_time );
}

auto waiting_room::arm( core::duration delay ) -> void
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
auto waiting_room::try_one( std::shared_ptr<waiter> const& who ) -> bool
{
    if ( !who->try_start() )
        return false;
    if ( !was_removed( who.get() ) )
        waiting_.erase( std::find( waiting_.begin(), waiting_.end(), who ) );
    return true;
}

auto waiting_room::run_round() -> void
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
