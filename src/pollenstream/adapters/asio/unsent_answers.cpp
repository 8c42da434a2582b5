#include <pollenstream/adapters/asio/unsent_answers.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::steady_clock;

/// A caller who has taken nothing for less than this may only be slow.
constexpr auto min_stall = 250ms;

}

auto is_stalled( unsent_answer const& answer, steady_clock::time_point now )
    -> bool
{
    return now - answer.stalled_since() >= min_stall;
}

unsent_answers::unsent_answers( std::shared_ptr<core::memory_budget> budget )
    : budget_( std::move( budget ) )
{
    budget_->set_reclaimer( this );
}

unsent_answers::~unsent_answers()
{
    budget_->set_reclaimer( nullptr );
}

auto unsent_answers::has_room() -> bool
{
    auto probe = core::memory_claim( budget_ );
    return probe.grow( 1 );
}

auto unsent_answers::reclaim( std::size_t bytes ) -> void
{
    auto const now = steady_clock::now();
    auto stalled = std::vector<unsent_share*>{};
    for ( auto* const share : shares_ )
        if ( is_stalled( share->owner_, now ) )
            stalled.push_back( share );
    std::sort( stalled.begin(), stalled.end(),
               []( auto const* a, auto const* b )
               {
                   return a->owner_.stalled_since() < b->owner_.stalled_since();
               } );
    auto reclaimed = std::size_t{ 0 };
    for ( auto* const share : stalled )
    {
        if ( reclaimed >= bytes )
            return;
        auto const freed = share->bytes_;
        reclaimed += freed;
        dropped_.add();
        if ( on_dropped )
            on_dropped( share->owner_.caller(), freed,
                        std::chrono::duration_cast<core::duration>(
                            now - share->owner_.stalled_since() ) );
        share->owner_.drop_unsent();
    }
}

unsent_share::unsent_share( std::shared_ptr<unsent_answers> all,
                            unsent_answer& owner )
    : all_( std::move( all ) ), owner_( owner ),
      claim_( all_ ? all_->budget_ : nullptr )
{
}

unsent_share::~unsent_share()
{
    set( 0 );
}

auto unsent_share::set( std::size_t bytes ) -> void
{
    if ( !all_ || bytes == bytes_ )
        return;
    all_->unsent_bytes_ += bytes;
    all_->unsent_bytes_ -= bytes_;
    bytes_ = bytes;
    if ( bytes > 0 )
        all_->shares_.insert( this );
    else
        all_->shares_.erase( this );
    // Last, as this may close the connection, which has no bytes then.
    claim_.resize( bytes );
    claim_.resize( bytes_ );
}

}
