#include <pollenstream/membership/member_table.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace pollenstream::membership
{

namespace
{

using namespace std::chrono_literals;

/// How long a suspect may take to refute.
constexpr auto refute_time = core::duration( 4s );
/// How long a gone instance is remembered, so that late news of it does not
/// bring it back.
constexpr auto remember_gone = core::duration( 10min );
/// Each piece of news is passed on this many times the logarithm of the
/// fleet's size; with two exchanges a second nearly all instances then hear it.
constexpr auto passes_per_log = 3.0;

}

member_table::member_table( member self, std::uint64_t seed )
    : self_( self.id ), random_( seed )
{
    records_[self_] = record{ std::move( self ), core::instant{}, 0 };
    records_[self_].passes_left = passes();
}

auto member_table::passes() const -> int
{
    auto const size = static_cast<double>( records_.size() + 1 );
    return static_cast<int>( std::ceil( passes_per_log * std::log2( size ) ) );
}

auto member_table::store( member const& news, core::instant now ) -> void
{
    auto& known = records_[news.id];
    auto const same_phase = known.what.phase == news.phase &&
                            known.what.incarnation == news.incarnation;
    if ( !same_phase )
        known.since = now;
    known.what = news;
    known.passes_left = passes();
}

auto member_table::learn_listed(
    std::vector<ports::listed_instance> const& listed, core::instant now )
    -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    for ( auto const& each : listed )
    {
        auto const known = records_.find( each.id );
        if ( known != records_.end() )
            continue;
        auto named =
            member{ each.id, each.data_centre, each.callers, each.peers };
        if ( each.state == ports::listed_state::leaving )
            named.phase = member_phase::leaving;
        store( named, now );
        // The list told everybody; only direct news is passed on.
        records_[each.id].passes_left = 0;
        records_[each.id].since = now;
    }
}

auto member_table::merge( member const& news, core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( news.id == self_ )
    {
        refute( news, now );
        return;
    }
    auto const known = records_.find( news.id );
    if ( known == records_.end() || is_newer( news, known->second.what ) )
    {
        store( news, now );
        return;
    }
    auto& what = known->second.what;
    auto const is_same =
        news.incarnation == what.incarnation && news.version == what.version;
    if ( is_same )
        what.open_requests = news.open_requests;
}

auto member_table::refute( member const& news, core::instant now ) -> void
{
    auto mine = records_[self_].what;
    auto const is_slander = news.incarnation == mine.incarnation &&
                            news.version >= mine.version &&
                            news.phase != mine.phase;
    if ( !is_slander )
        return;
    mine.version = news.version + 1;
    store( mine, now );
}

auto member_table::note_silence( core::instance_id const& id,
                                 core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto const known = records_.find( id );
    if ( known == records_.end() || id == self_ )
        return;
    auto news = known->second.what;
    if ( news.phase == member_phase::alive )
        news.phase = member_phase::suspect;
    else if ( news.phase == member_phase::leaving )
        news.phase = member_phase::gone;
    else
        return;
    store( news, now );
}

auto member_table::expire( core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    for ( auto at = records_.begin(); at != records_.end(); )
    {
        auto& known = at->second;
        auto const age = now - known.since;
        auto const is_forgotten = known.what.phase == member_phase::gone &&
                                  age > remember_gone && at->first != self_;
        if ( is_forgotten )
        {
            at = records_.erase( at );
            continue;
        }
        if ( known.what.phase == member_phase::suspect && age > refute_time )
        {
            auto news = known.what;
            news.phase = member_phase::gone;
            store( news, now );
        }
        ++at;
    }
}

auto member_table::leave( core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto mine = records_[self_].what;
    mine.phase = member_phase::leaving;
    ++mine.version;
    store( mine, now );
}

auto member_table::set_open_requests( std::int64_t count ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    records_[self_].what.open_requests = count;
}

auto member_table::pick_peers( std::size_t count ) -> std::vector<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto others = std::vector<member>{};
    for ( auto const& [id, known] : records_ )
    {
        if ( id != self_ && known.what.phase != member_phase::gone )
            others.push_back( known.what );
    }
    auto picked = std::vector<member>{};
    std::sample( others.begin(), others.end(), std::back_inserter( picked ),
                 count, random_ );
    std::shuffle( picked.begin(), picked.end(), random_ );
    return picked;
}

auto member_table::pick_gone() -> std::optional<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto gone = std::vector<member>{};
    for ( auto const& [id, known] : records_ )
    {
        if ( id != self_ && known.what.phase == member_phase::gone )
            gone.push_back( known.what );
    }
    if ( gone.empty() )
        return std::nullopt;
    return gone[random_() % gone.size()];
}

auto member_table::take_changes( std::size_t most ) -> std::vector<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto fresh = std::vector<record*>{};
    for ( auto& [id, known] : records_ )
    {
        if ( known.passes_left > 0 )
            fresh.push_back( &known );
    }
    std::stable_sort( fresh.begin(), fresh.end(),
                      []( auto const* a, auto const* b )
                      {
                          return a->passes_left > b->passes_left;
                      } );
    fresh.resize( std::min( fresh.size(), most ) );
    auto changes = std::vector<member>{};
    for ( auto* const each : fresh )
    {
        --each->passes_left;
        changes.push_back( each->what );
    }
    return changes;
}

auto member_table::self() const -> member
{
    auto const lock = std::scoped_lock( mutex_ );
    return records_.at( self_ ).what;
}

auto member_table::find( core::instance_id const& id ) const
    -> std::optional<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto const known = records_.find( id );
    if ( known == records_.end() )
        return std::nullopt;
    return known->second.what;
}

auto member_table::all() const -> std::vector<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto every = std::vector<member>{};
    for ( auto const& [id, known] : records_ )
        every.push_back( known.what );
    return every;
}

auto member_table::alive() const -> std::vector<member>
{
    auto every = all();
    std::erase_if( every,
                   []( member const& m )
                   {
                       return m.phase != member_phase::alive;
                   } );
    return every;
}

}
