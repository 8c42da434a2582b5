#include <pollenstream/observation/histogram.hpp>

#include <sstream>

namespace pollenstream::observation
{

auto histogram::add( core::duration elapsed ) -> void
{
    auto const seconds = core::seconds_of( elapsed );
    auto bucket = std::size_t{ 0 };
    while ( bucket < upper_bounds.size() && seconds > upper_bounds[bucket] )
        ++bucket;
    ++counts_[bucket];
    sum_ += seconds;
    ++count_;
}

auto histogram::text( std::string const& name, std::string const& labels ) const
    -> std::string
{
    auto out = std::ostringstream{};
    auto cumulative = std::uint64_t{ 0 };
    for ( auto i = std::size_t{ 0 }; i < upper_bounds.size(); ++i )
    {
        cumulative += counts_[i];
        out << name << "_bucket{" << labels << "le=\"" << upper_bounds[i]
            << "\"} " << cumulative << '\n';
    }
    out << name << "_bucket{" << labels << "le=\"+Inf\"} " << count_ << '\n'
        << name << "_sum{" << labels << "} " << sum_ << '\n'
        << name << "_count{" << labels << "} " << count_ << '\n';
    return out.str();
}

}
