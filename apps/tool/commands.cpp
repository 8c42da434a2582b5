#include "commands.hpp"

#include "caller.hpp"
#include "exit_status.hpp"
#include "status.hpp"
#include "table.hpp"
#include <pollenstream/adapters/ini/ini_reader.hpp>

#include <iostream>
#include <optional>
#include <utility>

namespace apps::tool
{

namespace
{

auto address_of( arguments const& given, std::string const& name )
    -> std::optional<core::address>
{
    auto const parsed = core::parse_address( given.at( name ).asString() );
    if ( parsed )
        return parsed.value();
    std::cerr << name << ": " << parsed.error().detail << '\n';
    return std::nullopt;
}

auto text_or( arguments const& given,
              std::string const& name,
              std::string const& fallback ) -> std::string
{
    auto const& value = given.at( name );
    return value ? value.asString() : fallback;
}

/// A prompt of about `tokens` tokens, for trials.
auto padded( std::string prompt, long tokens ) -> std::string
{
    constexpr auto bytes_per_token = std::size_t{ 4 };
    auto const wanted = static_cast<std::size_t>( tokens ) * bytes_per_token;
    prompt.reserve( wanted );
    for ( auto line = 1; prompt.size() < wanted; ++line )
        prompt += "\nline " + std::to_string( line ) + " of the record";
    return prompt;
}

auto read_prompt( arguments const& given ) -> std::optional<std::string>
{
    auto prompt = text_or( given, "PROMPT", {} );
    if ( given.at( "--file" ) )
    {
        auto found = core::findings{};
        prompt = pollenstream::adapters::ini::load_file(
            given.at( "--file" ).asString(), found );
        if ( !found.empty() )
        {
            std::cerr << found.report();
            return std::nullopt;
        }
    }
    return padded( std::move( prompt ), given.at( "--pad-tokens" ).asLong() );
}

auto run_caller( arguments const& given ) -> int
{
    auto const entry = address_of( given, "--entry" );
    if ( !entry )
        return exit_findings;
    auto options = caller_options{};
    options.entry = *entry;
    options.workspace = text_or( given, "--workspace", {} );
    options.profile = text_or( given, "--profile", {} );
    options.data_centre = text_or( given, "--place", {} );
    options.json = given.at( "--json" ).asBool();
    if ( given.at( "entry" ).asBool() )
    {
        for ( auto const& each : ask_entry( options ) )
            std::cout << core::to_string( each ) << '\n';
        return exit_ok;
    }
    if ( given.at( "call" ).asBool() )
        return call_service( options, given.at( "SERVICE" ).asString(),
                             given.at( "PATH" ).asString(),
                             text_or( given, "--body", "{}" ),
                             text_or( given, "--key", {} ) );
    auto const prompt = read_prompt( given );
    return prompt ? send_prompt( options, *prompt ) : exit_findings;
}

auto print_view( operator_client& daemon,
                 std::string const& path,
                 std::vector<std::string> const& columns,
                 bool as_json ) -> int
{
    auto const json = daemon.get( path );
    if ( !json )
    {
        std::cerr << json.error().detail << '\n';
        return exit_unreachable;
    }
    if ( as_json || columns.empty() )
        std::cout << json.value().serialize() << '\n';
    else
        print_table( json.value(), columns, std::cout );
    return exit_ok;
}

auto drain( operator_client& daemon ) -> int
{
    auto const reply = daemon.post( "/v1/drain", web::json::value::object() );
    if ( reply )
    {
        std::cout << "draining; the daemon ends when its requests have\n";
        return exit_ok;
    }
    std::cerr << reply.error().detail << '\n';
    return exit_unreachable;
}

}

/// State of a gateway, from its metrics address.
auto run_status( arguments const& given ) -> int
{
    auto const at = address_of( given, "--metrics" );
    if ( !at )
        return exit_findings;
    auto gateway = operator_client( *at, {} );
    auto const state = gateway.get( "/state" );
    if ( !state )
    {
        std::cerr << state.error().detail << '\n';
        return exit_unreachable;
    }
    if ( given.at( "--json" ).asBool() )
        std::cout << state.value().serialize() << '\n';
    else
        print_status( state.value(), std::cout );
    return exit_ok;
}

auto run_command( arguments const& given ) -> int
{
    auto const is_caller = given.at( "send" ).asBool() ||
                           given.at( "call" ).asBool() ||
                           given.at( "entry" ).asBool();
    if ( is_caller )
        return run_caller( given );
    if ( given.at( "status" ).asBool() )
        return run_status( given );
    auto const at = address_of( given, "--operators" );
    if ( !at )
        return exit_findings;
    auto daemon = operator_client( *at, text_or( given, "--token", {} ) );
    auto const as_json = given.at( "--json" ).asBool();
    if ( given.at( "config" ).asBool() )
        return run_config( given, daemon );
    if ( given.at( "profile" ).asBool() )
        return run_profile( given, daemon );
    if ( given.at( "drain" ).asBool() )
        return drain( daemon );
    if ( given.at( "instances" ).asBool() )
        return print_view(
            daemon, "/v1/instances",
            { "id", "place", "phase", "callers", "peers", "open_requests" },
            as_json );
    if ( given.at( "targets" ).asBool() )
        return print_view( daemon, "/v1/targets",
                           { "id", "service", "place", "phase", "address",
                             "open_requests", "backlog_tokens",
                             "free_memory_tokens" },
                           as_json );
    return print_view( daemon, "/v1/dump", {}, true );
}

}
