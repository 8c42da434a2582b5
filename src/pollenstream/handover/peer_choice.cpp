#include <pollenstream/handover/peer_choice.hpp>

#include <algorithm>
#include <iterator>

namespace pollenstream::handover
{

namespace
{

auto below_limit( std::vector<candidate> const& all, bool is_near )
    -> std::vector<candidate>
{
    auto found = std::vector<candidate>{};
    std::copy_if( all.begin(), all.end(), std::back_inserter( found ),
                  [is_near]( auto const& c )
                  {
                      return c.is_near == is_near && c.open < max_open_at_peer;
                  } );
    return found;
}

auto draw( std::vector<candidate> const& all, std::minstd_rand& random )
    -> candidate const&
{
    return all[std::uniform_int_distribution<std::size_t>( 0, all.size() - 1 )(
        random )];
}

}

auto choose_peer( std::vector<candidate> const& all, std::minstd_rand& random )
    -> std::optional<core::instance_id>
{
    auto usable = below_limit( all, true );
    if ( usable.empty() )
        usable = below_limit( all, false );
    if ( usable.empty() )
        return std::nullopt;
    auto const& first = draw( usable, random );
    auto const& second = draw( usable, random );
    return second.open < first.open ? second.id : first.id;
}

}
