#include <pollenstream/routing/prefix_index.hpp>

#include <algorithm>

namespace pollenstream::routing
{

prefix_index::prefix_index( std::size_t capacity ) : capacity_( capacity ) {}

auto prefix_index::find( core::prefix_chain const& chain )
    -> std::optional<cached_prefix>
{
    auto const lock = std::scoped_lock( mutex_ );
    for ( auto mark = chain.rbegin(); mark != chain.rend(); ++mark )
    {
        if ( auto const* const known = touch( mark->hash ) )
            return cached_prefix{ known->target, mark->tokens };
    }
    return std::nullopt;
}

auto prefix_index::note( core::prefix_chain const& chain,
                         core::target_id const& target ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    for ( auto const& mark : chain )
    {
        if ( auto* const known = touch( mark.hash ) )
        {
            known->target = target;
            continue;
        }
        entries_.push_front( { mark.hash, target } );
        by_hash_[mark.hash] = entries_.begin();
    }
    while ( entries_.size() > capacity_ )
    {
        by_hash_.erase( entries_.back().hash );
        entries_.pop_back();
    }
}

auto prefix_index::forget( core::target_id const& target ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    for ( auto at = entries_.begin(); at != entries_.end(); )
    {
        auto const matches = at->target == target;
        if ( matches )
            by_hash_.erase( at->hash );
        at = matches ? entries_.erase( at ) : std::next( at );
    }
}

auto prefix_index::size() const -> std::size_t
{
    auto const lock = std::scoped_lock( mutex_ );
    return entries_.size();
}

auto prefix_index::touch( std::uint64_t hash ) -> entry*
{
    auto const at = by_hash_.find( hash );
    if ( at == by_hash_.end() )
        return nullptr;
    entries_.splice( entries_.begin(), entries_, at->second );
    return &*at->second;
}

}
