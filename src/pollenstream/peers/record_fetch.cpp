#include <pollenstream/peers/record_fetch.hpp>

#include <chrono>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// How long another instance may know a newer state before this one fetches it.
/// Most changes arrive in datagrams within a few milliseconds.
constexpr auto max_lag = core::duration( 80ms );
/// A fetch that is not answered after this time is repeated elsewhere. An
/// answer takes some milliseconds, more where many instances ask at once.
constexpr auto hedge_delay = core::duration( 500ms );
constexpr auto max_open_fetches = std::size_t{ 3 };
/// Bounds the list of fetches for logs.
constexpr auto max_begun_listed = std::size_t{ 8 };

}

record_fetch::record_fetch( ports::scheduler& scheduler,
                            source choose_source,
                            transport fetch )
    : scheduler_( scheduler ), choose_source_( std::move( choose_source ) ),
      fetch_( std::move( fetch ) ), lagging_since_( scheduler.now() )
{
}

auto record_fetch::update( bool is_urgent ) -> void
{
    auto const now = scheduler_.now();
    if ( !choose_source_( {} ) )
    {
        lagging_since_ = now;
        begun_.clear();
        return;
    }
    if ( !may_begin( now, is_urgent ) )
        return;
    if ( auto const from = choose_source_( sources_in_use() ) )
        begin( *from, now );
}

auto record_fetch::may_begin( core::instant now, bool is_urgent ) const -> bool
{
    if ( !is_urgent && now - lagging_since_ <= max_lag )
        return false;
    if ( open_.empty() )
        return true;
    return open_.size() < max_open_fetches &&
           now - open_.back().since >= hedge_delay;
}

auto record_fetch::sources_in_use() const -> instance_set
{
    auto all = instance_set{};
    for ( auto const& fetch : open_ )
        all.insert( fetch.from );
    return all;
}

auto record_fetch::begin( core::instance_id const& from, core::instant now )
    -> void
{
    open_.push_back( { from, now } );
    if ( begun_.size() < max_begun_listed )
        begun_.push_back( { from, now } );
    fetch_( from,
            [this, from]
            {
                std::erase_if( open_,
                               [&from]( auto const& fetch )
                               {
                                   return fetch.from == from;
                               } );
            } );
}

}
