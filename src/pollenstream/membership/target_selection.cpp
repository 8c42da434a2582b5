#include <pollenstream/membership/rendezvous.hpp>
#include <pollenstream/membership/target_selection.hpp>

#include <algorithm>

namespace pollenstream::membership
{

namespace
{

/// Part of a subset that comes from other places, so that work can go on
/// when the own place's targets are lost.
constexpr auto far_part = 0.25;

struct weighted_target
{
    ports::listed_target const* what{ nullptr };
    std::uint64_t weight{ 0 };
};

auto best_of( std::vector<weighted_target> from, std::size_t count )
    -> std::vector<weighted_target>
{
    std::sort( from.begin(), from.end(),
               []( auto const& a, auto const& b )
               {
                   return a.weight > b.weight;
               } );
    from.resize( std::min( count, from.size() ) );
    return from;
}

}

auto select_targets( std::vector<ports::listed_target> const& of_service,
                     selection_request const& wanted )
    -> std::vector<ports::listed_target>
{
    if ( of_service.size() <= wanted.most )
        return of_service;
    auto near = std::vector<weighted_target>{};
    auto far = std::vector<weighted_target>{};
    for ( auto const& each : of_service )
    {
        auto const weight =
            rendezvous_weight( wanted.self.str(), each.id.str() );
        auto& side = each.data_centre == wanted.data_centre ? near : far;
        side.push_back( { &each, weight } );
    }
    auto const far_wanted = static_cast<std::size_t>(
        far_part * static_cast<double>( wanted.most ) );
    auto const near_kept = std::min(
        near.size(), wanted.most - std::min( far.size(), far_wanted ) );
    auto kept = best_of( std::move( near ), near_kept );
    auto const others = best_of( std::move( far ), wanted.most - kept.size() );
    kept.insert( kept.end(), others.begin(), others.end() );
    auto selected = std::vector<ports::listed_target>{};
    for ( auto const& each : kept )
        selected.push_back( *each.what );
    return selected;
}

}
