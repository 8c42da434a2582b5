#include <pollenstream/core/finding.hpp>

#include <sstream>
#include <utility>

namespace pollenstream::core
{

auto findings::add( text_place place, std::string message ) -> void
{
    all_.push_back( finding{ std::move( place ), std::move( message ) } );
}

auto findings::empty() const noexcept -> bool
{
    return all_.empty();
}

auto findings::all() const noexcept -> std::vector<finding> const&
{
    return all_;
}

auto findings::report() const -> std::string
{
    auto out = std::ostringstream{};
    for ( auto const& each : all_ )
    {
        out << each.place.file << ':' << each.place.line << ": ";
        if ( !each.place.key.empty() )
            out << each.place.key << ": ";
        out << each.message << '\n';
    }
    return out.str();
}

}
