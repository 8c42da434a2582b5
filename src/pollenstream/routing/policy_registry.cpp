#include <pollenstream/routing/baseline_policies.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/routing/predicted_policy.hpp>

#include <array>

namespace pollenstream::routing
{

namespace
{

using factory = auto( * )( std::uint64_t seed )
                    -> std::unique_ptr<target_policy>;

struct named_factory
{
    std::string_view name;
    factory make;
};

template <class Policy>
auto make_baseline( std::uint64_t seed ) -> std::unique_ptr<target_policy>
{
    return std::make_unique<Policy>( seed );
}

/// Makes the predicted policy with option `Off` switched off; with null, all
/// options stay on.
template <bool predicted_options::*Off>
auto make_predicted( std::uint64_t seed ) -> std::unique_ptr<target_policy>
{
    auto options = predicted_options{};
    options.seed = seed;
    if constexpr ( Off != nullptr )
        options.*Off = false;
    return std::make_unique<predicted_policy>( options );
}

constexpr auto factories = std::array{
    named_factory{ "random", make_baseline<random_policy> },
    named_factory{ "round_robin", make_baseline<round_robin_policy> },
    named_factory{ "least_requests", make_baseline<least_requests_policy> },
    named_factory{ "two_choices", make_baseline<two_choices_policy> },
    named_factory{ "predicted", make_predicted<nullptr> },
    named_factory{ "predicted-no_backlog",
                   make_predicted<&predicted_options::use_backlog> },
    named_factory{ "predicted-no_clear_share",
                   make_predicted<&predicted_options::use_reserved_share> },
    named_factory{ "predicted-no_affinity",
                   make_predicted<&predicted_options::use_affinity> },
    named_factory{ "predicted-no_spread",
                   make_predicted<&predicted_options::use_spread> },
};

}

auto policy_names() -> std::vector<std::string_view>
{
    auto names = std::vector<std::string_view>{};
    for ( auto const& each : factories )
        names.push_back( each.name );
    return names;
}

auto make_policy( std::string_view name, std::uint64_t seed )
    -> std::unique_ptr<target_policy>
{
    for ( auto const& each : factories )
    {
        if ( each.name == name )
            return each.make( seed );
    }
    return nullptr;
}

}
