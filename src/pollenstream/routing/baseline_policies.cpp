#include <pollenstream/routing/baseline_policies.hpp>
#include <pollenstream/routing/first_token_model.hpp>

#include <algorithm>

namespace pollenstream::routing
{

namespace
{

auto request_count( target const& t ) -> std::int64_t
{
    return std::max( t.open_requests(), t.reported_requests() );
}

}

baseline_policy::baseline_policy( std::uint64_t seed ) : random_( seed ) {}

auto baseline_policy::choose( target_list const& targets,
                              request_shape const& shape,
                              core::instant now )
    -> std::optional<target_choice>
{
    auto usable = target_list{};
    for ( auto const& each : targets )
    {
        if ( can_take( *each, shape ) )
            usable.push_back( each );
    }
    if ( usable.empty() )
        return std::nullopt;
    auto const& chosen = usable[pick( usable )];
    auto const demand =
        prefill_demand{ shape.priority, shape.prompt_tokens,
                        shape.prompt_tokens + shape.output_tokens };
    auto const first_token = core::duration_of(
        predict_first_token_seconds( *chosen, demand, now ) );
    auto const output = core::duration_of(
        predict_decode_seconds( *chosen, shape.output_tokens, now ) );
    return target_choice{ chosen, first_token, first_token + output, 0 };
}

auto baseline_policy::random_index( std::size_t size ) -> std::size_t
{
    auto const lock = std::scoped_lock( mutex_ );
    return std::uniform_int_distribution<std::size_t>( 0, size - 1 )( random_ );
}

auto random_policy::pick( target_list const& usable ) -> std::size_t
{
    return random_index( usable.size() );
}

auto round_robin_policy::pick( target_list const& usable ) -> std::size_t
{
    return next_.fetch_add( 1 ) % usable.size();
}

auto least_requests_policy::pick( target_list const& usable ) -> std::size_t
{
    // Starts at a random index so that ties do not all go to the first target.
    auto const start = random_index( usable.size() );
    auto best = start;
    for ( auto i = std::size_t{ 0 }; i < usable.size(); ++i )
    {
        auto const at = ( start + i ) % usable.size();
        if ( request_count( *usable[at] ) < request_count( *usable[best] ) )
            best = at;
    }
    return best;
}

auto two_choices_policy::pick( target_list const& usable ) -> std::size_t
{
    auto const first = random_index( usable.size() );
    auto const second = random_index( usable.size() );
    auto const first_is_better =
        request_count( *usable[first] ) <= request_count( *usable[second] );
    return first_is_better ? first : second;
}

}
