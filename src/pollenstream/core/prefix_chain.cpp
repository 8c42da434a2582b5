#include <pollenstream/core/prefix_chain.hpp>

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace pollenstream::core
{

namespace
{

constexpr auto shortest_prefix = std::int64_t{ 1024 };
constexpr auto prefix_growth = 4;

struct state_deleter
{
    auto operator()( XXH3_state_t* state ) const -> void
    {
        XXH3_freeState( state );
    }
};

}

auto estimate_tokens( std::string_view prompt ) -> token_count
{
    auto const bytes = static_cast<std::int64_t>( prompt.size() );
    return token_count(
        std::max( std::int64_t{ 1 },
                  ( bytes + bytes_per_token - 1 ) / bytes_per_token ) );
}

auto mark_prefixes( std::string_view prompt ) -> prefix_chain
{
    auto const state =
        std::unique_ptr<XXH3_state_t, state_deleter>( XXH3_createState() );
    XXH3_64bits_reset( state.get() );
    auto chain = prefix_chain{};
    auto const length = estimate_tokens( prompt ).count();
    auto hashed = std::size_t{ 0 };
    for ( auto tokens = shortest_prefix; tokens <= length;
          tokens *= prefix_growth )
    {
        auto const end =
            std::min( prompt.size(),
                      static_cast<std::size_t>( tokens * bytes_per_token ) );
        XXH3_64bits_update( state.get(), prompt.data() + hashed, end - hashed );
        hashed = end;
        chain.push_back( { tokens, XXH3_64bits_digest( state.get() ) } );
    }
    return chain;
}

}
