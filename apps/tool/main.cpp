#include "commands.hpp"
#include "exit_status.hpp"
#include "explain.hpp"
#include "losses.hpp"

#include <cstdlib>
#include <iostream>

namespace
{

constexpr auto usage =
    R"(pollenstream - the operators' and callers' command-line tool.

Usage:
  pollenstream config (check | apply) [options] FILE...
  pollenstream config (show | history) [options]
  pollenstream profile (list | show NAME | remove NAME) [options]
  pollenstream profile (put | diff) [options] PROFILES
  pollenstream (instances | targets | dump | drain) [options]
  pollenstream entry [options]
  pollenstream send [options] [PROMPT]
  pollenstream call [options] SERVICE PATH
  pollenstream status [options]
  pollenstream explain ID [FILE...]
  pollenstream losses [options] [FILE...]
  pollenstream (-h | --help)
  pollenstream --version

Options:
  --operators=A      A daemon's address for operators [default: 127.0.0.1:8082].
  --metrics=A        A gateway's metrics address [default: 127.0.0.1:9464].
  --token=T          Operators' token; else POLLENSTREAM_TOKEN.
  --json             Print JSON instead of tables and texts.
  --by=KEY           Group losses by workspace, data-centre or kind.
  --change-id=ID     Name of the change, to ask again with.
  --based-on=N       Refuse the change if another came after revision N.
  --wait             Wait until the change is in force on all instances.
  --entry=A          Any daemon's address for callers [default: 127.0.0.1:8080].
  --workspace=W      Workspace that the request belongs to.
  --profile=P        Profile to serve the request with.
  --place=P          Place of the caller.
  --file=F           Read the prompt from a file.
  --pad-tokens=N     Lengthen the prompt to about N tokens [default: 0].
  --body=B           Body of a plain call.
  --key=K            Key of a non-idempotent plain call.
  -h --help          Show this text.
  --version          Show the version.

Exit status: 0 done, 1 failed, 2 findings, 3 conflict, 4 unknown (ask again
with the same change id), 5 refused (nothing ran), 6 no daemon answered.
)";

}

auto main( int argc, char** argv ) -> int
{
    auto given = docopt::docopt( usage, { argv + 1, argv + argc }, true,
                                 "pollenstream 0.1.0" );
    auto const* const token = std::getenv( "POLLENSTREAM_TOKEN" );
    if ( !given.at( "--token" ) && token )
        given["--token"] = docopt::value( std::string( token ) );
    try
    {
        if ( given.at( "explain" ).asBool() )
            return apps::tool::run_explain( given.at( "ID" ).asString(),
                                            given.at( "FILE" ).asStringList() );
        if ( given.at( "losses" ).asBool() )
            return apps::tool::run_losses( given.at( "FILE" ).asStringList(),
                                           given.at( "--by" )
                                               ? given.at( "--by" ).asString()
                                               : std::string{},
                                           given.at( "--json" ).asBool() );
        return apps::tool::run_command( given );
    }
    catch ( std::exception const& failure )
    {
        std::cerr << failure.what() << '\n';
        return apps::tool::exit_unreachable;
    }
}
