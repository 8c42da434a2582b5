#include <pollenstream/routing/baseline_policies.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/routing/predicted_policy.hpp>

#include <array>

namespace pollenstream::routing
{

namespace
{

using maker = auto( * )( std::uint64_t seed ) -> std::unique_ptr<target_policy>;

struct named_maker
{
    std::string_view name;
    maker make;
};

template <class Policy>
auto make_baseline( std::uint64_t seed ) -> std::unique_ptr<target_policy>
{
    return std::make_unique<Policy>( seed );
}

/// `predicted` with the option `Off` switched off; null leaves all on.
template <bool predicted_options::*Off>
auto make_predicted( std::uint64_t seed ) -> std::unique_ptr<target_policy>
{
    auto options = predicted_options{};
    options.seed = seed;
    if constexpr ( Off != nullptr )
        options.*Off = false;
    return std::make_unique<predicted_policy>( options );
}

constexpr auto makers = std::array{
    named_maker{ "random", make_baseline<random_policy> },
    named_maker{ "round_robin", make_baseline<round_robin_policy> },
    named_maker{ "least_requests", make_baseline<least_requests_policy> },
    named_maker{ "two_choices", make_baseline<two_choices_policy> },
    named_maker{ "predicted", make_predicted<nullptr> },
    named_maker{ "predicted-no_backlog",
                 make_predicted<&predicted_options::use_backlog> },
    named_maker{ "predicted-no_clear_share",
                 make_predicted<&predicted_options::use_clear_share> },
    named_maker{ "predicted-no_affinity",
                 make_predicted<&predicted_options::use_affinity> },
    named_maker{ "predicted-no_spread",
                 make_predicted<&predicted_options::use_spread> },
};

}

auto policy_names() -> std::vector<std::string_view>
{
    auto names = std::vector<std::string_view>{};
    for ( auto const& each : makers )
        names.push_back( each.name );
    return names;
}

auto make_policy( std::string_view name, std::uint64_t seed )
    -> std::unique_ptr<target_policy>
{
    for ( auto const& each : makers )
    {
        if ( each.name == name )
            return each.make( seed );
    }
    return nullptr;
}

}
