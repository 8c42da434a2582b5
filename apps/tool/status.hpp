#ifndef APPS_TOOL_STATUS_HPP
#define APPS_TOOL_STATUS_HPP

#include <cpprest/json.h>

#include <ostream>

namespace apps::tool
{

/// Prints the state dump of a gateway for people: a line on the instance, one
/// on the store, a line for each invariant that was violated, and tables of
/// targets and of other instances.
auto print_status( web::json::value const& state, std::ostream& out ) -> void;

}

#endif
