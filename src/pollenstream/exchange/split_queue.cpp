#include <pollenstream/exchange/split_queue.hpp>

#include <iterator>

namespace pollenstream::exchange
{

auto split_queue::enter( core::instant due ) -> void
{
    due_times_.insert( due );
}

auto split_queue::leave( core::instant due ) -> void
{
    auto const found = due_times_.find( due );
    if ( found != due_times_.end() )
        due_times_.erase( found );
}

auto split_queue::others( core::instant excluded ) const -> std::size_t
{
    return due_times_.size() - ( due_times_.contains( excluded ) ? 1 : 0 );
}

auto split_queue::others_in_time( core::instant excluded,
                                  core::instant now ) const -> bool
{
    auto const in_time =
        std::distance( due_times_.lower_bound( now ), due_times_.end() ) -
        ( excluded >= now && due_times_.contains( excluded ) ? 1 : 0 );
    return in_time > 0;
}

}
