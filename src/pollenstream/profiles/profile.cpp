#include <pollenstream/profiles/profile.hpp>

namespace pollenstream::profiles
{

auto time_limit( profile const& p, core::token_count prompt ) -> core::duration
{
    constexpr auto tokens_per_part = 1000;
    return p.time_base +
           p.time_per_1k_tokens * prompt.count() / tokens_per_part;
}

}
