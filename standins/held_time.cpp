#include "held_time.hpp"

#include <utility>

namespace standins
{

auto held_time::now() const -> core::instant
{
    return now_;
}

auto held_time::at( core::instant when, std::function<void()> callback ) -> void
{
    due_.emplace( when, std::move( callback ) );
}

auto held_time::next() const -> std::optional<core::instant>
{
    if ( due_.empty() )
        return std::nullopt;
    return due_.begin()->first;
}

auto held_time::advance( core::duration by ) -> void
{
    advance_to( now_ + by );
}

auto held_time::advance_to( core::instant when ) -> void
{
    while ( !due_.empty() && due_.begin()->first <= when )
    {
        auto const first = due_.begin();
        auto const callback = std::move( first->second );
        now_ = std::max( now_, first->first );
        due_.erase( first );
        callback();
    }
    now_ = std::max( now_, when );
}

}
