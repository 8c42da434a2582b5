#include <pollenstream/membership/rendezvous.hpp>
#include <pollenstream/membership/target_selection.hpp>

#include <algorithm>

namespace pollenstream::membership
{

namespace
{

/// Share of a subset that comes from other data centres, so that work can go
/// on when all targets of the own data centre are lost.
constexpr auto remote_share = 0.25;

struct weighted_target
{
    ports::listed_target const* listed{ nullptr };
    std::uint64_t weight{ 0 };
};

auto highest_weighted( std::vector<weighted_target> targets, std::size_t count )
    -> std::vector<weighted_target>
{
    std::sort( targets.begin(), targets.end(),
               []( auto const& a, auto const& b )
               {
                   return a.weight > b.weight;
               } );
    targets.resize( std::min( count, targets.size() ) );
    return targets;
}

}

auto select_targets( std::vector<ports::listed_target> const& candidates,
                     selection_request const& request )
    -> std::vector<ports::listed_target>
{
    if ( candidates.size() <= request.max_targets )
        return candidates;
    auto local = std::vector<weighted_target>{};
    auto remote = std::vector<weighted_target>{};
    for ( auto const& each : candidates )
    {
        auto const weight =
            rendezvous_weight( request.self.str(), each.id.str() );
        auto& group = each.data_centre == request.data_centre ? local : remote;
        group.push_back( { &each, weight } );
    }
    auto const remote_quota = static_cast<std::size_t>(
        remote_share * static_cast<double>( request.max_targets ) );
    auto const local_count =
        std::min( local.size(), request.max_targets -
                                    std::min( remote.size(), remote_quota ) );
    auto kept = highest_weighted( std::move( local ), local_count );
    auto const remote_kept = highest_weighted(
        std::move( remote ), request.max_targets - kept.size() );
    kept.insert( kept.end(), remote_kept.begin(), remote_kept.end() );
    auto selected = std::vector<ports::listed_target>{};
    for ( auto const& each : kept )
        selected.push_back( *each.listed );
    return selected;
}

}
