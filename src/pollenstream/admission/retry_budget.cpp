#include <pollenstream/admission/retry_budget.hpp>

namespace pollenstream::admission
{

auto retry_budget::note_request() -> void
{
    auto seen = credit_.load( std::memory_order_relaxed );
    while ( seen < most && !credit_.compare_exchange_weak( seen, seen + 1 ) )
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
