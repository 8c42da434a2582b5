#include <pollenstream/exchange/sent_times.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

auto sent_times::add( core::instant at ) -> void
{
    times_.insert( std::upper_bound( times_.begin(), times_.end(), at ), at );
    while ( times_.size() > max_kept ||
            times_.front() + window < times_.back() )
        times_.pop_front();
}

auto sent_times::last() const -> std::optional<core::instant>
{
    return times_.empty() ? std::nullopt : std::optional( times_.back() );
}

auto sent_times::first_within( core::instant now ) const
    -> std::deque<core::instant>::const_iterator
{
    return std::upper_bound( times_.begin(), times_.end(), now - window );
}

auto sent_times::within( core::instant now ) const -> std::vector<core::instant>
{
    return { first_within( now ), times_.end() };
}

auto sent_times::count_within( core::instant now ) const -> std::size_t
{
    return static_cast<std::size_t>( times_.end() - first_within( now ) );
}

auto sent_times::time_with_fewer_than( std::size_t count ) const
    -> core::instant
{
    if ( times_.size() < count )
        return {};
    return times_[times_.size() - count] + window;
}

}
