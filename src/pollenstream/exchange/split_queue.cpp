#include <pollenstream/exchange/split_queue.hpp>

#include <iterator>

namespace pollenstream::exchange
{

auto split_queue::enter( core::instant due ) -> void
{
    dues_.insert( due );
}

auto split_queue::leave( core::instant due ) -> void
{
    auto const found = dues_.find( due );
    if ( found != dues_.end() )
        dues_.erase( found );
}

auto split_queue::others( core::instant except ) const -> std::size_t
{
    return dues_.size() - ( dues_.contains( except ) ? 1 : 0 );
}

auto split_queue::others_in_time( core::instant except,
                                  core::instant now ) const -> bool
{
    auto const in_time =
        std::distance( dues_.lower_bound( now ), dues_.end() ) -
        ( except >= now && dues_.contains( except ) ? 1 : 0 );
    return in_time > 0;
}

}
