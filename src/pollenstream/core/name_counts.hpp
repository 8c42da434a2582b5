#ifndef POLLENSTREAM_CORE_NAME_COUNTS_HPP
#define POLLENSTREAM_CORE_NAME_COUNTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pollenstream::core
{

/// Counts by names that others choose: a bounded number of them, and all
/// others together. Used by one thread.
class name_counts
{
public:
    static constexpr auto max_names = std::size_t{ 32 };
    /// Under which names are counted that have no place any more.
    static constexpr auto others = "others";

    /// Counts `name` once; true where it is seen for the first time and has a
    /// place of its own.
    auto add( std::string const& name ) -> bool
    {
        auto const found = counts_.find( name );
        if ( found != counts_.end() )
        {
            ++found->second;
            return false;
        }
        auto const has_place = counts_.size() < max_names;
        ++counts_[has_place ? name : others];
        return has_place;
    }
    [[nodiscard]] auto all() const
        -> std::map<std::string, std::uint64_t> const&
    {
        return counts_;
    }

private:
    std::map<std::string, std::uint64_t> counts_;
};

}

#endif
