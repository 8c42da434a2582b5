#include <pollenstream/scheduling/fair_shares.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenstream::scheduling
{

namespace
{

/// Time constants after which averages are moved to a new epoch, before their
/// numbers grow beyond the precision of a double.
constexpr auto max_epoch_length = 20 * fair_shares::time_constant;
/// Averages below this many tokens are dropped when the epoch moves: they are
/// less than the smallest prompts.
constexpr auto min_tokens = 1.0;

/// Weight at `epoch` of a token that counts 1 at `now`.
auto growth( core::instant epoch, core::instant now ) -> double
{
    return std::exp( core::seconds_of( now - epoch ) /
                     core::seconds_of( fair_shares::time_constant ) );
}

}

auto max_min_level( std::vector<weighted_demand> demands, double available )
    -> std::optional<double>
{
    std::sort( demands.begin(), demands.end(),
               []( auto const& a, auto const& b )
               {
                   return a.asked * b.weight < b.asked * a.weight;
               } );
    auto weights = 0.0;
    for ( auto const& d : demands )
        weights += d.weight;
    for ( auto const& d : demands )
    {
        if ( d.asked * weights > available * d.weight )
            return available / weights;
        available -= d.asked;
        weights -= d.weight;
    }
    return std::nullopt;
}

auto fair_shares::set_weight( workspace_number workspace, double weight )
    -> void
{
    weights_[workspace] = weight;
    for ( auto& [service, shares] : services_ )
        shares.needs_update = true;
}

auto fair_shares::weight_of( workspace_number workspace ) const -> double
{
    auto const found = weights_.find( workspace );
    return found == weights_.end() ? 1.0 : found->second;
}

auto fair_shares::entry( core::service_id const& service,
                         workspace_number workspace,
                         core::instant now )
    -> std::pair<service_shares*, averages*>
{
    auto const [at, is_new] = services_.try_emplace( service );
    auto& shares = at->second;
    if ( is_new )
        shares.epoch = now;
    if ( now - shares.epoch > max_epoch_length )
    {
        auto const factor = 1 / growth( shares.epoch, now );
        for ( auto& [number, a] : shares.workspaces )
        {
            a.asked *= factor;
            a.granted *= factor;
        }
        std::erase_if( shares.workspaces,
                       []( auto const& e )
                       {
                           auto const& a = e.second;
                           return a.asked < min_tokens &&
                                  a.granted < min_tokens && !a.was_over;
                       } );
        shares.epoch = now;
    }
    shares.needs_update = true;
    return { &shares, &shares.workspaces[workspace] };
}

auto fair_shares::note_asked( core::service_id const& service,
                              workspace_number workspace,
                              double tokens,
                              core::instant now ) -> void
{
    auto const [shares, of] = entry( service, workspace, now );
    of->asked += tokens * growth( shares->epoch, now );
    shares->last_asked = now;
}

auto fair_shares::note_granted( core::service_id const& service,
                                workspace_number workspace,
                                double tokens,
                                core::instant now ) -> void
{
    auto const [shares, of] = entry( service, workspace, now );
    of->granted += tokens * growth( shares->epoch, now );
}

auto fair_shares::clear() -> void
{
    services_.clear();
}

auto fair_shares::update( service_shares& shares, core::instant now ) -> void
{
    if ( now - shares.last_asked > time_constant )
    {
        // Without new requests the averages decay at the same pace, and would
        // show a shortage of the past.
        if ( std::exchange( shares.level, std::nullopt ) )
            for ( auto& [workspace, a] : shares.workspaces )
                a.is_over = false;
        return;
    }
    if ( !shares.needs_update || now - shares.updated_at < update_interval )
        return;
    shares.needs_update = false;
    shares.updated_at = now;
    auto asked = 0.0;
    auto granted = 0.0;
    auto demands = std::vector<weighted_demand>{};
    demands.reserve( shares.workspaces.size() );
    for ( auto const& [workspace, a] : shares.workspaces )
    {
        asked += a.asked;
        granted += a.granted;
        demands.push_back( { a.asked, weight_of( workspace ) } );
    }
    auto const is_short = granted < asked * ( 1 - shortage_margin );
    shares.level = is_short ? max_min_level( std::move( demands ), granted )
                            : std::nullopt;
    for ( auto& [workspace, a] : shares.workspaces )
    {
        auto const share = shares.level.value_or( 0 ) * weight_of( workspace );
        a.is_over = shares.level &&
                    ( a.granted > share ||
                      ( a.asked > share && a.granted > share * full_share ) );
    }
}

auto fair_shares::is_over_share( core::service_id const& service,
                                 workspace_number workspace,
                                 core::instant now ) -> bool
{
    auto const found = services_.find( service );
    if ( found == services_.end() )
        return false;
    update( found->second, now );
    auto const& all = found->second.workspaces;
    auto const at = all.find( workspace );
    return at != all.end() && at->second.is_over;
}

auto fair_shares::over_share( core::instant now ) -> std::size_t
{
    auto count = std::size_t{ 0 };
    for ( auto& [service, shares] : services_ )
    {
        update( shares, now );
        for ( auto const& [workspace, a] : shares.workspaces )
            count += a.is_over ? 1 : 0;
    }
    return count;
}

auto fair_shares::share_of( core::service_id const& service,
                            service_shares const& shares,
                            workspace_number workspace,
                            averages const& of,
                            core::instant now ) const -> workspace_share
{
    auto const per_second =
        1 / ( growth( shares.epoch, now ) * core::seconds_of( time_constant ) );
    auto share = workspace_share{};
    share.service = service;
    share.workspace = workspace;
    share.asked_per_second = of.asked * per_second;
    share.granted_per_second = of.granted * per_second;
    if ( shares.level )
        share.level_per_second =
            *shares.level * weight_of( workspace ) * per_second;
    share.is_over = of.is_over;
    return share;
}

auto fair_shares::largest( std::size_t count, core::instant now )
    -> std::vector<workspace_share>
{
    auto all = std::vector<workspace_share>{};
    for ( auto& [service, shares] : services_ )
    {
        update( shares, now );
        for ( auto const& [workspace, a] : shares.workspaces )
            all.push_back( share_of( service, shares, workspace, a, now ) );
    }
    auto const end = all.begin() + static_cast<std::ptrdiff_t>(
                                       std::min( count, all.size() ) );
    std::partial_sort( all.begin(), end, all.end(),
                       []( auto const& a, auto const& b )
                       {
                           return a.asked_per_second > b.asked_per_second;
                       } );
    all.erase( end, all.end() );
    return all;
}

auto fair_shares::take_changes( core::instant now )
    -> std::vector<workspace_share>
{
    auto changes = std::vector<workspace_share>{};
    for ( auto& [service, shares] : services_ )
    {
        update( shares, now );
        for ( auto& [workspace, a] : shares.workspaces )
            if ( std::exchange( a.was_over, a.is_over ) != a.is_over )
                changes.push_back(
                    share_of( service, shares, workspace, a, now ) );
    }
    return changes;
}

auto fair_shares::is_idle( core::instant now ) const -> bool
{
    return std::all_of( services_.begin(), services_.end(),
                        [now]( auto const& s )
                        {
                            auto const& [service, shares] = s;
                            return now - shares.last_asked > time_constant &&
                                   std::none_of( shares.workspaces.begin(),
                                                 shares.workspaces.end(),
                                                 []( auto const& e )
                                                 {
                                                     return e.second.was_over;
                                                 } );
                        } );
}

}
