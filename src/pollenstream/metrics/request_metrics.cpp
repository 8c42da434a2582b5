#include <pollenstream/metrics/request_metrics.hpp>

namespace pollenstream::metrics
{

namespace
{

constexpr auto upper_bounds =
    std::array<std::int64_t, length_class_count - 1>{ 1'024, 10'240, 102'400 };
constexpr auto names = std::array<std::string_view, length_class_count>{
    "up_to_1k", "up_to_10k", "up_to_100k", "above_100k" };

auto index_of( length_class which ) -> std::size_t
{
    return static_cast<std::size_t>( which );
}

}

auto class_of( core::token_count tokens ) -> length_class
{
    auto index = std::size_t{ 0 };
    while ( index < upper_bounds.size() &&
            tokens.count() > upper_bounds[index] )
        ++index;
    return static_cast<length_class>( index );
}

auto name_of( length_class which ) -> std::string_view
{
    return names[index_of( which )];
}

auto named_counters::add( std::string const& name ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    ++counts_[name];
}

auto named_counters::values() const -> std::map<std::string, std::uint64_t>
{
    auto const lock = std::scoped_lock( mutex_ );
    return counts_;
}

auto request_metrics::add_first_token( core::token_count prompt,
                                       core::duration elapsed ) -> void
{
    first_token_[index_of( class_of( prompt ) )].add(
        core::seconds_of( elapsed ) );
}

auto request_metrics::first_token( length_class which ) const
    -> distribution const&
{
    return first_token_[index_of( which )];
}

}
