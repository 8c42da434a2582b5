#include <pollenstream/profiles/profile.hpp>

namespace pollenstream::profiles
{

auto time_limit( profile const& p, core::token_count prompt ) -> core::duration
{
    constexpr auto thousand_tokens = 1000;
    return p.time_base +
           p.time_per_1k_tokens * prompt.count() / thousand_tokens;
}

}
