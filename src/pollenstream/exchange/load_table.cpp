#include <pollenstream/core/hash.hpp>
#include <pollenstream/exchange/load_table.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Duration of a target's first ejection, doubled with each further failure.
/// It starts short because a lost connection should cost little, and grows
/// because a crashed target takes seconds to come back.
constexpr auto first_ejection = core::duration( 500ms );
constexpr auto max_ejection = core::duration( 8s );
/// Failures in a row after which a target is ejected. A single failure may be
/// the connection's rather than the target's.
constexpr auto failures_to_eject = std::int64_t{ 2 };
/// Share of failed requests from which a target is ejected even if some
/// requests succeed in between. Each request decays the earlier ones by
/// `failure_decay`.
constexpr auto failure_share_to_eject = 0.45;
constexpr auto failure_decay = 0.8;

/// Time constant of the arrival rate: short compared to load waves (ten
/// seconds), long compared to the gaps between requests.
constexpr auto rate_decay_seconds = 1.0;
/// Time constant of the prefill utilization. Longer, because the prefill of a
/// long prompt takes some seconds.
constexpr auto prefill_decay_seconds = 2.0;

auto from_ms( double ms ) -> core::duration
{
    return core::duration_of( ms / 1'000 );
}

auto ejection_time( std::int64_t failures ) -> core::duration
{
    constexpr auto max_doublings = std::int64_t{ 4 };
    auto const doublings = std::clamp( failures - failures_to_eject,
                                       std::int64_t{ 0 }, max_doublings );
    return std::min( max_ejection, first_ejection * ( 1 << doublings ) );
}

}

auto target_entry::backlog_ms( core::instant now ) const -> double
{
    return std::max( 0.0,
                     core::seconds_of( load.prefill_until - now ) * 1'000 );
}

auto load_table::put( target_properties properties ) -> target_change
{
    auto const entry = find( properties.id );
    if ( !entry || entry->properties.service != properties.service )
    {
        auto const leaving = properties.leaving;
        replace_entry( std::move( properties ) );
        return leaving ? target_change::starts_to_leave : target_change::added;
    }
    if ( properties.lifetime < entry->properties.lifetime )
        return target_change::none;
    if ( properties.lifetime > entry->properties.lifetime )
    {
        replace_entry( std::move( properties ) );
        return target_change::restarted;
    }
    auto const starts_to_leave =
        properties.leaving && !entry->properties.leaving;
    // A target that has begun to leave does not return in the same lifetime.
    properties.leaving = properties.leaving || entry->properties.leaving;
    entry->data_centre_drained = is_drained( properties );
    entry->properties = std::move( properties );
    entry->gone = false;
    return starts_to_leave ? target_change::starts_to_leave
                           : target_change::none;
}

/// Open work keeps a pointer to the entry on which it was counted, so that its
/// end is not subtracted from the new entry.
auto load_table::replace_entry( target_properties properties ) -> void
{
    auto entry = std::make_shared<target_entry>();
    entry->rank = core::stable_hash( properties.id.str() );
    entry->data_centre_drained = is_drained( properties );
    entry->properties = std::move( properties );
    pauses_.erase( entry->properties.id );
    limited_.erase( entry->properties.id );
    slowed_.erase( entry->properties.id );
    auto& slot = by_id_[entry->properties.id];
    auto const former = std::exchange( slot, entry );
    if ( former )
        erase_from_service( former );
    insert_into_service( entry );
}

auto load_table::is_drained( target_properties const& properties ) const -> bool
{
    return drained_data_centres_.contains( properties.data_centre );
}

auto load_table::set_drained( core::data_centre_id const& id, bool drained )
    -> bool
{
    auto const is_change = drained ? drained_data_centres_.insert( id ).second
                                   : drained_data_centres_.erase( id ) > 0;
    if ( is_change )
        for ( auto const& [target, entry] : by_id_ )
            entry->data_centre_drained = is_drained( entry->properties );
    return is_change;
}

auto load_table::remove( core::target_id const& id ) -> void
{
    auto const found = by_id_.find( id );
    if ( found == by_id_.end() )
        return;
    erase_from_service( found->second );
    by_id_.erase( found );
    limited_.erase( id );
    slowed_.erase( id );
}

auto load_table::mark_gone( core::target_id const& id ) -> void
{
    auto const entry = find( id );
    if ( entry )
        entry->gone = true;
}

/// Inserts at the sorted position. Sorting again after each insertion would
/// take 0.28 s for 3,000 targets at startup instead of 0.003 s.
auto load_table::insert_into_service(
    std::shared_ptr<target_entry> const& entry ) -> void
{
    auto& order = by_service_[entry->properties.service];
    auto const position =
        std::lower_bound( order.begin(), order.end(), entry->rank,
                          []( auto const& other, std::uint64_t rank )
                          {
                              return other->rank < rank;
                          } );
    order.insert( position, entry );
}

auto load_table::erase_from_service(
    std::shared_ptr<target_entry> const& entry ) -> void
{
    std::erase( by_service_[entry->properties.service], entry );
}

auto load_table::find( core::target_id const& id ) const
    -> std::shared_ptr<target_entry>
{
    auto const found = by_id_.find( id );
    return found == by_id_.end() ? nullptr : found->second;
}

auto load_table::find_lifetime( target_ref const& ref ) const
    -> std::shared_ptr<target_entry>
{
    auto const entry = find( ref.id );
    return entry && entry->properties.lifetime == ref.lifetime ? entry
                                                               : nullptr;
}

auto load_table::find_by_name( std::string const& name ) const
    -> std::shared_ptr<target_entry>
{
    if ( auto by_id = find( core::target_id( name ) ) )
        return by_id;
    for ( auto const& [id, entry] : by_id_ )
        if ( entry->is_staying() &&
             core::to_string( entry->properties.address ) == name )
            return entry;
    return nullptr;
}

auto load_table::of_service( core::service_id const& id ) const
    -> std::vector<std::shared_ptr<target_entry>> const&
{
    static auto const none = std::vector<std::shared_ptr<target_entry>>{};
    auto const found = by_service_.find( id );
    return found == by_service_.end() ? none : found->second;
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
        load.prefill_until =
            std::max( load.prefill_until, now ) + from_ms( time_ms );
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

auto load_table::add_work( core::instance_id const& owner,
                           open_work const& work,
                           core::instant now ) -> void
{
    auto const [position, is_new] = works_[owner].try_emplace(
        work.serial,
        known_work{ work, {}, false, now - work.sent_ago, {}, 0 } );
    if ( !is_new && has_newly_known_target( position->second ) )
    {
        // The work was reported before the registry listed its target. It is
        // added again, or engines busy with prefills of several seconds would
        // seem free to a coordinator that has just started.
        end_work( owner, work.serial, now );
        return add_work( owner, work, now );
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

auto load_table::note_failure( target_ref const& ref,
                               core::instant now,
                               target_failure failure ) -> bool
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return false;
    auto const reported =
        entry->reported ? entry->reported->running + entry->reported->waiting
                        : 0;
    auto const is_full =
        std::max( entry->load.requests, reported ) >= entry->properties.slots;
    if ( failure == target_failure::turned_away && is_full )
        return false;
    auto& health = entry->health;
    ++health.failures_in_a_row;
    health.failure_share =
        health.failure_share * failure_decay + ( 1 - failure_decay );
    auto const is_failing = health.failures_in_a_row >= failures_to_eject ||
                            health.failure_share >= failure_share_to_eject;
    if ( !is_failing )
        return false;
    auto const was_ejected = health.ejected_until > now;
    eject( ref, now + ejection_time( health.failures_in_a_row ) );
    return !was_ejected;
}

auto load_table::note_success( target_ref const& ref ) -> void
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return;
    entry->health.failures_in_a_row = 0;
    entry->health.failure_share *= failure_decay;
}

auto load_table::note_announced_leaving( target_ref const& ref ) -> bool
{
    auto const entry = find_lifetime( ref );
    return entry && !std::exchange( entry->announced_leaving, true );
}

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

auto load_table::eject( target_ref const& ref, core::instant until ) -> void
{
    auto const entry = find_lifetime( ref );
    if ( entry )
        entry->health.ejected_until =
            std::max( entry->health.ejected_until, until );
}

auto load_table::pause( target_ref const& ref, core::instant until ) -> void
{
    if ( !find_lifetime( ref ) )
        return;
    auto& end = pauses_[ref.id];
    end = std::max( end, until );
}

auto load_table::is_paused( target_ref const& ref, core::instant now ) const
    -> bool
{
    auto const found = pauses_.find( ref.id );
    return found != pauses_.end() && found->second > now;
}

auto load_table::paused( core::service_id const& service,
                         core::instant now ) const -> std::vector<paused_target>
{
    auto all = std::vector<paused_target>{};
    for ( auto const& [id, until] : pauses_ )
    {
        auto const entry = find( id );
        if ( until > now && entry && entry->properties.service == service )
            all.push_back( { id, until } );
    }
    return all;
}

auto load_table::note_reported_load( target_ref const& ref,
                                     reported_load load,
                                     core::instant now ) -> void
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return;
    entry->reported = load;
    entry->reported_at = now;
}

}
