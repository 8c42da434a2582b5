#include <pollenstream/exchange/wide_queue.hpp>

#include <algorithm>
#include <iterator>

namespace pollenstream::exchange
{

auto wide_queue::enter( core::instant due ) -> void
{
    own_.insert( due );
}

auto wide_queue::leave( core::instant due ) -> void
{
    auto const found = own_.find( due );
    if ( found != own_.end() )
        own_.erase( found );
}

auto wide_queue::note( core::instance_id const& id, wide_waiting const& what )
    -> void
{
    if ( what.count == 0 )
        others_.erase( id );
    else
        others_[id] = what;
}

auto wide_queue::forget( core::instance_id const& id ) -> void
{
    others_.erase( id );
}

auto wide_queue::own( core::instant now ) const -> wide_waiting
{
    auto waiting = wide_waiting{};
    waiting.count = static_cast<std::int64_t>( own_.size() );
    auto const first = own_.lower_bound( now );
    if ( first != own_.end() )
        waiting.first_due = *first;
    return waiting;
}

auto wide_queue::others() const -> std::int64_t
{
    auto count = std::int64_t{ 0 };
    for ( auto const& [id, waiting] : others_ )
        count += waiting.count;
    return count;
}

auto wide_queue::others_in_time( core::instant except, core::instant now ) const
    -> bool
{
    auto const own_in_time =
        std::distance( own_.lower_bound( now ), own_.end() ) -
        ( except >= now && own_.contains( except ) ? 1 : 0 );
    return own_in_time > 0 || std::any_of( others_.begin(), others_.end(),
                                           [now]( auto const& other )
                                           {
                                               auto const& due =
                                                   other.second.first_due;
                                               return due && *due >= now;
                                           } );
}

auto wide_queue::may_choose( core::instant due,
                             double draw,
                             core::instant now ) const -> bool
{
    auto is_first = due >= now;
    for ( auto const& [id, waiting] : others_ )
    {
        auto const is_before = waiting.first_due && *waiting.first_due >= now &&
                               *waiting.first_due < due;
        is_first = is_first && !is_before;
    }
    return is_first || draw * static_cast<double>( others() + 1 ) < 1;
}

}
