#include <pollenstream/exchange/shared_retry_budget.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

namespace
{

/// Part of the constant that is handed out: windows of instances do not start
/// together, and instances that have just died count until they are forgotten.
constexpr auto handed_out = 0.75;

}

shared_retry_budget::shared_retry_budget( retry_allowance allowance )
    : allowance_( allowance )
{
}

auto shared_retry_budget::set_allowance( retry_allowance allowance ) -> void
{
    allowance_ = allowance;
}

auto shared_retry_budget::set_instances( std::size_t count ) -> void
{
    instances_ = std::max<std::size_t>( 1, count );
}

auto shared_retry_budget::forget_old( window& w, core::instant now ) const
    -> void
{
    auto const oldest = now - allowance_.window;
    while ( !w.requests.empty() && w.requests.front() < oldest )
        w.requests.pop_front();
    while ( !w.repeats.empty() && w.repeats.front() < oldest )
        w.repeats.pop_front();
}

auto shared_retry_budget::note_request( core::service_id const& service,
                                        core::instant now ) -> void
{
    auto& w = windows_[service];
    forget_old( w, now );
    w.requests.push_back( now );
}

auto shared_retry_budget::has_room( window const& w ) const -> bool
{
    auto const allowed =
        allowance_.ratio * static_cast<double>( w.requests.size() ) +
        allowance_.constant * handed_out / static_cast<double>( instances_ );
    return static_cast<double>( w.repeats.size() + 1 ) <= allowed;
}

auto shared_retry_budget::has( core::service_id const& service,
                               core::instant now ) -> bool
{
    auto& w = windows_[service];
    forget_old( w, now );
    return has_room( w );
}

auto shared_retry_budget::take( core::service_id const& service,
                                core::instant now ) -> bool
{
    auto& w = windows_[service];
    forget_old( w, now );
    if ( !has_room( w ) )
        return false;
    w.repeats.push_back( now );
    return true;
}

}
