#ifndef POLLENSTREAM_MEMBERSHIP_TARGET_SELECTION_HPP
#define POLLENSTREAM_MEMBERSHIP_TARGET_SELECTION_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/ports/instance_list.hpp>

#include <cstddef>
#include <vector>

namespace pollenstream::membership
{

/// Who chooses, and how many targets of a service it may watch.
struct selection_request
{
    core::instance_id self;
    core::data_centre_id data_centre;
    std::size_t most{ 0 };
};

/// The targets of one service that an instance uses. A fleet of hundreds of
/// instances cannot each watch a thousand targets, so that each takes a
/// subset: those of its own place first, by rendezvous hashing, so that the
/// subsets of all instances cover all targets evenly.
auto select_targets( std::vector<ports::listed_target> const& of_service,
                     selection_request const& wanted )
    -> std::vector<ports::listed_target>;

}

#endif
