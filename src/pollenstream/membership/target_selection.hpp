#ifndef POLLENSTREAM_MEMBERSHIP_TARGET_SELECTION_HPP
#define POLLENSTREAM_MEMBERSHIP_TARGET_SELECTION_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/ports/instance_list.hpp>

#include <cstddef>
#include <vector>

namespace pollenstream::membership
{

/// The instance that selects, and how many targets of a service it may use.
struct selection_request
{
    core::instance_id self;
    core::data_centre_id data_centre;
    std::size_t max_targets{ 0 };
};

/// The subset of a service's targets that an instance uses, because hundreds
/// of instances cannot each watch a thousand targets. At least three quarters
/// come from the own data centre if it has enough. Both parts are chosen by
/// rendezvous hashing, so that the subsets of all instances together cover all
/// targets evenly.
auto select_targets( std::vector<ports::listed_target> const& candidates,
                     selection_request const& request )
    -> std::vector<ports::listed_target>;

}

#endif
