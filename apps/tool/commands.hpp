#ifndef APPS_TOOL_COMMANDS_HPP
#define APPS_TOOL_COMMANDS_HPP

#include "operator_client.hpp"

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace apps::tool
{

/// The command line as docopt read it.
using arguments = std::map<std::string, docopt::value>;

/// Runs the command that the line names and returns the exit status.
auto run_command( arguments const& given ) -> int;

/// `config ...` and `profile ...`.
auto run_config( arguments const& given, operator_client& daemon ) -> int;
auto run_profile( arguments const& given, operator_client& daemon ) -> int;

}

#endif
