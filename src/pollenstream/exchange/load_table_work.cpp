#include <pollenstream/exchange/load_table.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

// Member functions of load_table that count the open work at targets and the
// rates at which it arrives.

namespace pollenstream::exchange
{

namespace
{

/// Time constant of the arrival rate: short compared to load waves (ten
/// seconds), long compared to the gaps between requests.
constexpr auto rate_decay_seconds = 1.0;
/// Time constant of the prefill utilization. Longer, because the prefill of a
/// long prompt takes some seconds.
constexpr auto prefill_decay_seconds = 2.0;

}

auto load_table::arrivals_per_second( core::service_id const& id,
                                      core::instant now ) const -> double
{
    auto const found = arrivals_.find( id );
    if ( found == arrivals_.end() )
        return 0;
    auto const age = core::seconds_of( now - found->second.updated_at );
    return found->second.per_second * std::exp( -age / rate_decay_seconds );
}

auto load_table::prefill_utilization( core::service_id const& id,
                                      core::instant now ) const -> double
{
    auto const found = arrivals_.find( id );
    auto const targets = static_cast<double>( of_service( id ).size() );
    if ( found == arrivals_.end() || targets == 0 )
        return 0;
    auto const age = core::seconds_of( now - found->second.updated_at );
    return found->second.prefill_ms * std::exp( -age / prefill_decay_seconds ) /
           ( prefill_decay_seconds * 1'000 * targets );
}

auto load_table::note_arrival( core::service_id const& id,
                               open_work const& work,
                               core::instant now ) -> void
{
    auto& rate = arrivals_[id];
    auto const age = core::seconds_of( now - rate.updated_at );
    rate.per_second = rate.per_second * std::exp( -age / rate_decay_seconds ) +
                      1 / rate_decay_seconds;
    rate.prefill_ms *= std::exp( -age / prefill_decay_seconds );
    for ( auto const& part : work.parts )
        rate.prefill_ms += part.prefill_ms;
    rate.updated_at = now;
}

auto load_table::count_prefill( known_work& known, core::instant now ) -> void
{
    known.prefill_counted = true;
    for ( auto i = std::size_t{ 0 }; i < known.targets.size(); ++i )
    {
        if ( !known.targets[i] )
            continue;
        auto& load = known.targets[i]->load;
        ++load.parts_prefilling;
        load.own_parts_prefilling += i == 0 ? 1 : 0;
        auto const time_ms =
            known.work.parts[i].prefill_ms * known.targets[i]->slowdown;
        load.prefill_until = std::max( load.prefill_until, now ) +
                             core::duration_of_ms( time_ms );
        known.targets[i]->prefill_added_ms += time_ms;
    }
}

auto load_table::uncount_prefill( known_work& known, core::instant now ) -> void
{
    if ( !std::exchange( known.prefill_counted, false ) )
        return;
    for ( auto i = std::size_t{ 0 }; i < known.targets.size(); ++i )
    {
        if ( !known.targets[i] )
            continue;
        auto& load = known.targets[i]->load;
        --load.parts_prefilling;
        load.own_parts_prefilling -= i == 0 ? 1 : 0;
        if ( load.parts_prefilling <= 0 )
            load.prefill_until = std::min( load.prefill_until, now );
    }
}

auto load_table::count_sent( known_work const& known ) -> void
{
    for ( auto i = std::size_t{ 0 }; i < known.targets.size(); ++i )
        if ( known.targets[i] )
            known.targets[i]->limit.note_sent( known.sent_at,
                                               known.work.requests_at( i ) );
}

auto load_table::count_memory( known_work const& known, std::int64_t sign )
    -> void
{
    for ( auto i = std::size_t{ 0 }; i < known.targets.size(); ++i )
        if ( known.targets[i] )
            known.targets[i]->load.memory_tokens +=
                sign * known.work.parts[i].memory_tokens;
}

auto load_table::count_decoding( known_work const& known, std::int64_t sign )
    -> void
{
    if ( known.targets.empty() || !known.targets.front() )
        return;
    auto& load = known.targets.front()->load;
    load.decoding += sign;
    load.context_tokens += sign * known.work.context_tokens;
}

auto load_table::has_newly_known_target( known_work const& known ) const -> bool
{
    for ( auto i = std::size_t{ 0 }; i < known.targets.size(); ++i )
    {
        auto const& part = known.work.parts[i];
        if ( !known.targets[i] &&
             find_lifetime( { part.target, part.lifetime } ) )
            return true;
    }
    return false;
}

auto load_table::knows_work( core::instance_id const& owner,
                             std::uint64_t serial ) const -> bool
{
    auto const works = works_.find( owner );
    return works != works_.end() && works->second.contains( serial );
}

auto load_table::add_work( core::instance_id const& owner,
                           open_work const& work,
                           core::instant now,
                           std::shared_ptr<report_claim> memory ) -> void
{
    auto const [position, is_new] = works_[owner].try_emplace(
        work.serial,
        known_work{ work, {}, false, now - work.sent_ago, {}, 0, memory } );
    if ( !is_new && has_newly_known_target( position->second ) )
    {
        // The work was reported before the registry listed its target. It is
        // added again, or engines busy with prefills of several seconds would
        // seem free to a coordinator that has just started.
        auto const kept = position->second.memory;
        end_work( owner, work.serial, now );
        return add_work( owner, work, now, kept );
    }
    if ( !is_new )
    {
        // The report of the first event itself was lost: when it came is not
        // known.
        if ( !work.prefilling )
            end_prefill_of( position->second, now );
        return;
    }
    auto& known = position->second;
    for ( auto const& part : known.work.parts )
        known.targets.push_back(
            find_lifetime( { part.target, part.lifetime } ) );
    count_sent( known );
    if ( known.work.prefilling )
        count_prefill( known, now );
    else
        count_decoding( known, 1 );
    expect_first_event( known, now );
    count_memory( known, 1 );
    if ( known.targets.empty() || !known.targets.front() )
        return;
    note_arrival( known.targets.front()->properties.service, known.work, now );
    auto& load = known.targets.front()->load;
    ++load.requests;
    load.suspects += known.work.is_suspect ? 1 : 0;
    auto& group = load.by_tolerated_gap[known.work.tolerated_gap_ms];
    ++group.requests;
    group.weight += weight_of( known.work.context_tokens );
}

auto load_table::end_prefill( core::instance_id const& owner,
                              std::uint64_t serial,
                              core::instant now ) -> void
{
    auto& works = works_[owner];
    auto const found = works.find( serial );
    if ( found == works.end() || !found->second.work.prefilling )
        return;
    note_first_event( found->second, now );
    end_prefill_of( found->second, now );
}

auto load_table::end_prefill_of( known_work& known, core::instant now ) -> void
{
    if ( !std::exchange( known.work.prefilling, false ) )
        return;
    uncount_prefill( known, now );
    count_decoding( known, 1 );
}

auto load_table::uncount( known_work& known, core::instant now ) -> void
{
    uncount_prefill( known, now );
    if ( !known.work.prefilling )
        count_decoding( known, -1 );
    count_memory( known, -1 );
    if ( known.targets.empty() || !known.targets.front() )
        return;
    auto& load = known.targets.front()->load;
    --load.requests;
    load.suspects -= known.work.is_suspect ? 1 : 0;
    auto const gap = load.by_tolerated_gap.find( known.work.tolerated_gap_ms );
    if ( gap == load.by_tolerated_gap.end() )
        return;
    gap->second.weight -= weight_of( known.work.context_tokens );
    if ( --gap->second.requests <= 0 )
        load.by_tolerated_gap.erase( gap );
}

auto load_table::end_work( core::instance_id const& owner,
                           std::uint64_t serial,
                           core::instant now ) -> void
{
    auto& works = works_[owner];
    auto const found = works.find( serial );
    if ( found == works.end() )
        return;
    uncount( found->second, now );
    works.erase( found );
}

auto load_table::end_served_work( core::instance_id const& owner,
                                  std::uint64_t serial,
                                  core::instant now ) -> void
{
    auto const works = works_.find( owner );
    if ( works == works_.end() )
        return;
    auto const found = works->second.find( serial );
    if ( found == works->second.end() )
        return;
    auto const& targets = found->second.targets;
    if ( !targets.empty() && targets.front() )
        note_success( targets.front()->ref() );
    end_work( owner, serial, now );
}

auto load_table::end_all_work( core::instance_id const& owner,
                               core::instant now ) -> void
{
    auto const found = works_.find( owner );
    if ( found == works_.end() )
        return;
    for ( auto& [serial, known] : found->second )
        uncount( known, now );
    works_.erase( found );
}

auto load_table::works_of( core::instance_id const& owner,
                           core::instant now ) const -> std::vector<open_work>
{
    auto result = std::vector<open_work>{};
    auto const found = works_.find( owner );
    if ( found == works_.end() )
        return result;
    result.reserve( found->second.size() );
    for ( auto const& [serial, known] : found->second )
    {
        result.push_back( known.work );
        result.back().sent_ago = now - known.sent_at;
    }
    return result;
}

}
