#ifndef POLLENSTREAM_CORE_NAME_COUNTS_HPP
#define POLLENSTREAM_CORE_NAME_COUNTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pollenstream::core
{

/// Counts occurrences of names that come from outside the process. To bound
/// memory, only the first `max_names` names have an entry each; all further
/// names share one. Not thread-safe.
class name_counts
{
public:
    static constexpr auto max_names = std::size_t{ 32 };
    /// The entry that all further names share.
    static constexpr auto others = "others";

    /// Counts one occurrence of `name`; true if that gave it a new entry of its
    /// own.
    auto add( std::string const& name ) -> bool
    {
        auto const found = counts_.find( name );
        if ( found != counts_.end() )
        {
            ++found->second;
            return false;
        }
        auto const has_own_entry = counts_.size() < max_names;
        ++counts_[has_own_entry ? name : others];
        return has_own_entry;
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
