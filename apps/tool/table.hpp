#ifndef APPS_TOOL_TABLE_HPP
#define APPS_TOOL_TABLE_HPP

#include <cpprest/json.h>

#include <ostream>
#include <string>
#include <vector>

namespace apps::tool
{

/// Prints an array of objects as a table of the members `columns`.
auto print_table( web::json::value const& rows,
                  std::vector<std::string> const& columns,
                  std::ostream& out ) -> void;

}

#endif
