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
    add( cost );
}

auto retry_budget::add( std::int64_t credit ) -> void
{
    auto seen = credit_.load( std::memory_order_relaxed );
    while ( seen < most && !credit_.compare_exchange_weak(
                               seen, std::min( most, seen + credit ) ) )
    {
    }
}

auto retry_budget::take() -> bool
{
    auto seen = credit_.load( std::memory_order_relaxed );
    while ( seen >= cost )
    {
        if ( credit_.compare_exchange_weak( seen, seen - cost ) )
            return true;
    }
    return false;
}

}
