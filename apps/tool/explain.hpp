#ifndef APPS_TOOL_EXPLAIN_HPP
#define APPS_TOOL_EXPLAIN_HPP

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace apps::tool
{

/// One line of a gateway's log as names and values.
using log_line = std::map<std::string, std::string>;

/// Reads `name=value name="two words"`; what is no such pair is passed over.
auto read_log_line( std::string const& text ) -> log_line;

/// One request's story over all instances.
struct explanation
{
    std::vector<std::string> lines; ///< in the order of their times
    std::string cause;              ///< one sentence
};

/// The lines about request `id` in `logs`, and what became of it.
auto explain( std::string const& id, std::vector<std::istream*> const& logs )
    -> explanation;

/// `explain ID [FILE...]`; reads standard input where no file is named.
/// Returns the exit status: 0 found, 1 not found or a file unreadable.
auto run_explain( std::string const& id, std::vector<std::string> const& files )
    -> int;

}

#endif
