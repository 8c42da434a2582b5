#include <pollenstream/admission/retry_budget.hpp>

#include <algorithm>

namespace pollenstream::admission
{

auto retry_budget::note_request() -> void
{
    add( 1 );
}

auto retry_budget::give_back() -> void
{
    add( retry_cost );
}

auto retry_budget::add( std::int64_t credit ) -> void
{
    auto current = credit_.load( std::memory_order_relaxed );
    while ( current < max_credit &&
            !credit_.compare_exchange_weak(
                current, std::min( max_credit, current + credit ) ) )
    {
    }
}

auto retry_budget::take() -> bool
{
    auto current = credit_.load( std::memory_order_relaxed );
    while ( current >= retry_cost )
    {
        if ( credit_.compare_exchange_weak( current, current - retry_cost ) )
            return true;
    }
    return false;
}

}
