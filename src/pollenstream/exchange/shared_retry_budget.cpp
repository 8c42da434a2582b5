#include <pollenstream/exchange/shared_retry_budget.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

namespace
{

/// Fraction of the constant that is divided among the instances.
constexpr auto distributed_share = 0.75;
/// Fraction of the constant that accrues, in a window, to instances that have
/// just started. The rest remains unused, since the windows of instances do not
/// start together.
constexpr auto restart_share = 0.2;

}

shared_retry_budget::shared_retry_budget( retry_allowance allowance,
                                          core::instant started,
                                          double rounding )
    : allowance_( allowance ), started_( started ), rounding_( rounding )
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

auto shared_retry_budget::drop_expired( window& recent,
                                        core::instant now ) const -> void
{
    auto const oldest = now - allowance_.window;
    while ( !recent.requests.empty() && recent.requests.front() < oldest )
        recent.requests.pop_front();
    while ( !recent.retries.empty() && recent.retries.front() < oldest )
        recent.retries.pop_front();
}

auto shared_retry_budget::note_request( core::service_id const& service,
                                        core::instant now ) -> void
{
    auto& recent = windows_[service];
    drop_expired( recent, now );
    recent.requests.push_back( now );
}

auto shared_retry_budget::allowed( window const& recent,
                                   core::instant now ) const -> double
{
    auto const share = allowance_.constant / static_cast<double>( instances_ );
    auto const age = now - started_;
    if ( age < allowance_.window )
        return share * restart_share * core::seconds_of( age ) /
               core::seconds_of( allowance_.window );
    return allowance_.ratio * static_cast<double>( recent.requests.size() ) +
           share * distributed_share;
}

auto shared_retry_budget::has_budget( window const& recent,
                                      core::instant now ) const -> bool
{
    return static_cast<double>( recent.retries.size() + 1 ) <=
           allowed( recent, now ) + rounding_;
}

auto shared_retry_budget::can_take( core::service_id const& service,
                                    core::instant now ) -> bool
{
    auto& recent = windows_[service];
    drop_expired( recent, now );
    auto const is_allowed = has_budget( recent, now );
    if ( !is_allowed )
        note_denied( service, recent, now );
    return is_allowed;
}

auto shared_retry_budget::note_denied( core::service_id const& service,
                                       window& recent,
                                       core::instant now ) -> void
{
    ++denied_;
    if ( recent.last_used_up && now - *recent.last_used_up < allowance_.window )
        return;
    recent.last_used_up = now;
    if ( on_used_up )
        on_used_up( { service, instances_, recent.retries.size() } );
}

auto shared_retry_budget::take( core::service_id const& service,
                                core::instant now ) -> bool
{
    auto& recent = windows_[service];
    drop_expired( recent, now );
    if ( !has_budget( recent, now ) )
    {
        note_denied( service, recent, now );
        return false;
    }
    recent.retries.push_back( now );
    return true;
}

auto shared_retry_budget::give_back( core::service_id const& service ) -> void
{
    auto& retries = windows_[service].retries;
    if ( !retries.empty() )
        retries.pop_back();
}

}
