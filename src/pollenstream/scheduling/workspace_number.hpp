#ifndef POLLENSTREAM_SCHEDULING_WORKSPACE_NUMBER_HPP
#define POLLENSTREAM_SCHEDULING_WORKSPACE_NUMBER_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/strong.hpp>

namespace pollenstream::scheduling
{

/// Identifies a workspace in messages between instances in fewer bytes than its
/// id: the low 32 bits of the id's stable hash, 0 for requests without a
/// workspace. Two workspaces with the same number share one share.
using workspace_number = core::strong_number<struct workspace_number_tag>;

/// The number of a workspace; 0 for an empty id.
auto number_of( core::workspace_id const& id ) -> workspace_number;

}

#endif
