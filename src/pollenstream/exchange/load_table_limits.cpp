#include <pollenstream/exchange/load_table.hpp>

#include <algorithm>
#include <utility>

// Member functions of load_table for the rates that targets accept: limits that
// they report, and warm-ups.

namespace pollenstream::exchange
{

auto load_table::note_limit( target_ref const& ref,
                             limit_report const& report,
                             core::instant now ) -> limit_change
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return limit_change::none;
    auto const change = entry->limit.note_report( report, now );
    if ( change == limit_change::started )
        limited_.insert( ref.id );
    return change;
}

auto load_table::note_uncoordinated( std::vector<work_part> const& parts,
                                     core::instant now ) -> void
{
    for ( auto const& part : parts )
        if ( auto const entry =
                 find_lifetime( { part.target, part.lifetime } ) )
            entry->limit.note_uncoordinated( now );
}

auto load_table::note_unreported( std::vector<work_part> const& parts,
                                  core::instant now ) -> void
{
    for ( auto const& part : parts )
        if ( auto const entry =
                 find_lifetime( { part.target, part.lifetime } ) )
            entry->limit.note_unreported( now );
}

auto load_table::note_sent( target_ref const& ref,
                            std::vector<core::instant> const& times ) -> void
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return;
    for ( auto const time : times )
        entry->limit.note_sent( time, 1 );
}

auto load_table::take_unreported( target_ref const& ref, core::instant now )
    -> std::vector<core::instant>
{
    auto const entry = find_lifetime( ref );
    return entry ? entry->limit.take_unreported( now )
                 : std::vector<core::instant>{};
}

auto load_table::limited() const -> std::vector<target_ref>
{
    auto refs = std::vector<target_ref>{};
    for ( auto const& id : limited_ )
        if ( auto const entry = find( id ) )
            refs.push_back( entry->ref() );
    return refs;
}

auto load_table::warm_up_rate_of( core::service_id const& id ) const
    -> std::optional<double>
{
    auto const found = warm_up_rates_.find( id );
    return found == warm_up_rates_.end() ? std::nullopt
                                         : std::optional( found->second );
}

auto load_table::set_warm_up_rates(
    std::unordered_map<core::service_id, double> rates, core::instant now )
    -> void
{
    warm_up_rates_ = std::move( rates );
    for ( auto const& [id, entry] : by_id_ )
        entry->limit.set_warm_up_rate(
            warm_up_rate_of( entry->properties.service ), now );
}

auto load_table::note_warm_up( target_ref const& ref,
                               core::duration left,
                               core::instant now ) -> bool
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return false;
    auto const was_warming_up = entry->limit.is_warming_up( now );
    entry->limit.set_warm_up_rate( warm_up_rate_of( entry->properties.service ),
                                   now );
    entry->limit.set_warm_up_end( now + left, now );
    return !was_warming_up && left > core::duration( 0 );
}

auto load_table::note_invalid_limit( target_ref const& ref ) -> bool
{
    auto const entry = find_lifetime( ref );
    return entry && !std::exchange( entry->reported_invalid_limit, true );
}

}
