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

/// A suspect that has not refuted after this time is gone.
constexpr auto suspect_timeout = core::duration( 4s );
/// Time for which a gone instance is kept, so that late updates about it do not
/// add it again.
constexpr auto gone_retention = core::duration( 10min );
/// Each update is sent to peers this many times the binary logarithm of the
/// fleet's size. With two exchanges a second, nearly all instances receive it.
constexpr auto transmissions_per_log = 3.0;

}

member_table::member_table( member self, std::uint64_t seed )
    : self_( self.id ), random_( seed )
{
    records_[self_] = record{ std::move( self ), core::instant{}, 0 };
    records_[self_].transmissions_left = transmission_limit();
}

auto member_table::transmission_limit() const -> int
{
    auto const size = static_cast<double>( records_.size() + 1 );
    return static_cast<int>(
        std::ceil( transmissions_per_log * std::log2( size ) ) );
}

auto member_table::store( member const& update, core::instant now ) -> void
{
    auto& known = records_[update.id];
    auto const same_phase = known.latest.phase == update.phase &&
                            known.latest.incarnation == update.incarnation;
    if ( !same_phase )
        known.phase_since = now;
    known.latest = update;
    known.transmissions_left = transmission_limit();
}

auto member_table::add_listed(
    std::vector<ports::listed_instance> const& listed, core::instant now )
    -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    for ( auto const& each : listed )
    {
        auto const known = records_.find( each.id );
        if ( known != records_.end() )
            continue;
        auto added =
            member{ each.id, each.data_centre, each.callers, each.peers };
        if ( each.state == ports::listed_state::leaving )
            added.phase = member_phase::leaving;
        store( added, now );
        // Every instance reads the same list: its entries are not gossiped.
        records_[each.id].transmissions_left = 0;
        records_[each.id].phase_since = now;
    }
}

auto member_table::merge( member const& update, core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( update.id == self_ )
    {
        refute( update, now );
        return;
    }
    auto const known = records_.find( update.id );
    auto const is_new = known == records_.end();
    if ( is_new && ( !has_valid_names( update ) || !make_room() ) )
    {
        left_out_.add();
        return;
    }
    if ( is_new || is_newer( update, known->second.latest ) )
    {
        store( update, now );
        return;
    }
    auto& latest = known->second.latest;
    auto const is_same = update.incarnation == latest.incarnation &&
                         update.version == latest.version;
    if ( is_same )
        latest.open_requests = update.open_requests;
}

auto member_table::make_room() -> bool
{
    if ( records_.size() < max_members )
        return true;
    auto longest = records_.end();
    for ( auto at = records_.begin(); at != records_.end(); ++at )
    {
        auto const& known = at->second;
        auto const is_gone =
            known.latest.phase == member_phase::gone && at->first != self_;
        if ( is_gone && ( longest == records_.end() ||
                          known.phase_since < longest->second.phase_since ) )
            longest = at;
    }
    if ( longest == records_.end() )
        return false;
    records_.erase( longest );
    return true;
}

auto member_table::refute( member const& update, core::instant now ) -> void
{
    auto own = records_[self_].latest;
    auto const is_wrong_claim = update.incarnation == own.incarnation &&
                                update.version >= own.version &&
                                update.phase != own.phase;
    if ( !is_wrong_claim )
        return;
    own.version = update.version + 1;
    store( own, now );
}

auto member_table::note_unreachable( core::instance_id const& id,
                                     core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto const known = records_.find( id );
    if ( known == records_.end() || id == self_ )
        return;
    auto update = known->second.latest;
    if ( update.phase == member_phase::alive )
        update.phase = member_phase::suspect;
    else if ( update.phase == member_phase::leaving )
        update.phase = member_phase::gone;
    else
        return;
    store( update, now );
}

auto member_table::expire( core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    for ( auto at = records_.begin(); at != records_.end(); )
    {
        auto& known = at->second;
        auto const age = now - known.phase_since;
        auto const is_expired = known.latest.phase == member_phase::gone &&
                                age > gone_retention && at->first != self_;
        if ( is_expired )
        {
            at = records_.erase( at );
            continue;
        }
        if ( known.latest.phase == member_phase::suspect &&
             age > suspect_timeout )
        {
            auto update = known.latest;
            update.phase = member_phase::gone;
            store( update, now );
        }
        ++at;
    }
}

auto member_table::leave( core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto own = records_[self_].latest;
    own.phase = member_phase::leaving;
    ++own.version;
    store( own, now );
}

auto member_table::set_open_requests( std::int64_t count ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    records_[self_].latest.open_requests = count;
}

auto member_table::pick_peers( std::size_t count ) -> std::vector<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto others = std::vector<member>{};
    for ( auto const& [id, known] : records_ )
    {
        if ( id != self_ && known.latest.phase != member_phase::gone )
            others.push_back( known.latest );
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
        if ( id != self_ && known.latest.phase == member_phase::gone )
            gone.push_back( known.latest );
    }
    if ( gone.empty() )
        return std::nullopt;
    return gone[random_() % gone.size()];
}

auto member_table::take_changes( std::size_t max_count ) -> std::vector<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto pending = std::vector<record*>{};
    for ( auto& [id, known] : records_ )
    {
        if ( known.transmissions_left > 0 )
            pending.push_back( &known );
    }
    std::stable_sort( pending.begin(), pending.end(),
                      []( auto const* a, auto const* b )
                      {
                          return a->transmissions_left > b->transmissions_left;
                      } );
    pending.resize( std::min( pending.size(), max_count ) );
    auto changes = std::vector<member>{};
    for ( auto* const each : pending )
    {
        --each->transmissions_left;
        changes.push_back( each->latest );
    }
    return changes;
}

auto member_table::self() const -> member
{
    auto const lock = std::scoped_lock( mutex_ );
    return records_.at( self_ ).latest;
}

auto member_table::find( core::instance_id const& id ) const
    -> std::optional<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto const known = records_.find( id );
    if ( known == records_.end() )
        return std::nullopt;
    return known->second.latest;
}

auto member_table::all() const -> std::vector<member>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto members = std::vector<member>{};
    for ( auto const& [id, known] : records_ )
        members.push_back( known.latest );
    return members;
}

auto member_table::alive() const -> std::vector<member>
{
    auto members = all();
    std::erase_if( members,
                   []( member const& m )
                   {
                       return m.phase != member_phase::alive;
                   } );
    return members;
}

}
