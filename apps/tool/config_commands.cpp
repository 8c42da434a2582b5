#include "commands.hpp"
#include "exit_status.hpp"
#include "section_editor.hpp"
#include "table.hpp"
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/ini/ini_reader.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <thread>

namespace apps::tool
{

namespace
{

namespace http = pollenstream::adapters::http;
namespace ini = pollenstream::adapters::ini;
using web::json::value;

constexpr auto wait_limit = std::chrono::seconds( 30 );
constexpr auto wait_step = std::chrono::milliseconds( 100 );

/// A change of documents as the tool sends it.
struct change
{
    std::map<std::string, std::string> put;
    std::vector<std::string> remove;
    std::int64_t based_on{ -1 }; ///< -1: on top of whatever is there
    std::string id;
    bool wait{ false };
};

auto new_change_id() -> std::string
{
    auto device = std::random_device{};
    return "change-" + std::to_string( device() ) + "-" +
           std::to_string( device() );
}

auto report_failure( core::error const& why ) -> int
{
    std::cerr << why.detail << '\n';
    auto const unreachable = why.code == core::error_code::unreachable;
    return unreachable ? exit_unreachable : exit_failed;
}

auto print_findings( value const& findings ) -> void
{
    for ( auto const& each : findings.as_array() )
    {
        auto fields = http::json_fields( each, "$" );
        std::cerr << fields.text( "file", {} ) << ':'
                  << fields.integer( "line", 0 ) << ": "
                  << fields.text( "key", {} ) << ": "
                  << fields.text( "message", {} ) << '\n';
    }
}

auto to_json( change const& wanted ) -> value
{
    auto put = value::object();
    for ( auto const& [name, text] : wanted.put )
        put[name] = value::string( text );
    auto remove = value::array( wanted.remove.size() );
    for ( auto i = std::size_t{ 0 }; i < wanted.remove.size(); ++i )
        remove[i] = value::string( wanted.remove[i] );
    auto body = value::object();
    body["change_id"] = value::string( wanted.id );
    auto const* const user = std::getenv( "USER" );
    body["author"] = value::string( user ? user : "operator" );
    body["put"] = put;
    body["remove"] = remove;
    if ( wanted.based_on >= 0 )
        body["based_on"] = value::number( wanted.based_on );
    return body;
}

auto wait_for_reach( operator_client& daemon, std::int64_t revision ) -> int
{
    auto const path =
        "/v1/configuration/reach?revision=" + std::to_string( revision );
    auto const limit = std::chrono::steady_clock::now() + wait_limit;
    for ( ;; )
    {
        auto const reach = daemon.get( path );
        if ( !reach )
            return report_failure( reach.error() );
        auto fields = http::json_fields( reach.value(), "$" );
        auto const asked = fields.integer( "asked", 0 );
        auto const there = fields.integer( "in_force", 0 );
        auto const is_over = std::chrono::steady_clock::now() > limit;
        if ( there == asked || is_over )
        {
            std::cout << "in force on " << there << " of " << asked
                      << " instances\n";
            return there == asked ? exit_ok : exit_failed;
        }
        std::this_thread::sleep_for( wait_step );
    }
}

auto print_conflict( value const& since ) -> void
{
    std::cerr << "changed meanwhile:\n";
    for ( auto const& each : since.as_array() )
    {
        auto fields = http::json_fields( each, "$" );
        std::cerr << "  revision " << fields.integer( "revision", 0 ) << " by "
                  << fields.text( "author", {} ) << ": "
                  << each.at( "documents" ).serialize() << '\n';
    }
}

auto apply( operator_client& daemon, change const& wanted ) -> int
{
    auto const reply =
        daemon.post( "/v1/configuration/apply", to_json( wanted ) );
    if ( !reply )
        return report_failure( reply.error() );
    auto fields = http::json_fields( reply.value(), "$" );
    auto const outcome = fields.text( "outcome", {} );
    auto const revision = fields.integer( "revision", 0 );
    std::cout << outcome << " revision " << revision << " change " << wanted.id
              << '\n';
    if ( outcome == "accepted" )
        return wanted.wait ? wait_for_reach( daemon, revision ) : exit_ok;
    auto const detail = fields.text( "detail", {} );
    if ( !detail.empty() )
        std::cerr << detail << '\n';
    if ( outcome == "faulty" )
    {
        print_findings( reply.value().at( "findings" ) );
        return exit_findings;
    }
    if ( outcome == "conflict" )
    {
        print_conflict( reply.value().at( "since" ) );
        return exit_conflict;
    }
    return outcome == "unknown" ? exit_unknown : exit_refused;
}

auto load_documents( std::vector<std::string> const& files )
    -> std::optional<std::map<std::string, std::string>>
{
    auto found = core::findings{};
    auto documents = std::map<std::string, std::string>{};
    for ( auto const& file : files )
    {
        auto const name = std::filesystem::path( file ).filename().string();
        documents[name] = ini::load_file( file, found );
    }
    if ( found.empty() )
        return documents;
    std::cerr << found.report();
    return std::nullopt;
}

auto change_of( arguments const& given ) -> change
{
    auto wanted = change{};
    auto const& id = given.at( "--change-id" );
    wanted.id = id ? id.asString() : new_change_id();
    wanted.wait = given.at( "--wait" ).asBool();
    auto const& base = given.at( "--based-on" );
    if ( base )
        wanted.based_on = base.asLong();
    return wanted;
}

auto check( operator_client& daemon, arguments const& given ) -> int
{
    auto const documents = load_documents( given.at( "FILE" ).asStringList() );
    if ( !documents )
        return exit_findings;
    auto wanted = change{};
    wanted.put = *documents;
    auto const reply =
        daemon.post( "/v1/configuration/check", to_json( wanted ) );
    if ( !reply )
        return report_failure( reply.error() );
    auto const& findings = reply.value().at( "findings" );
    print_findings( findings );
    if ( findings.size() > 0 )
        return exit_findings;
    std::cout << "no findings\n";
    return exit_ok;
}

auto show( operator_client& daemon, bool as_json ) -> int
{
    auto const shown = show_configuration( daemon );
    if ( !shown )
        return report_failure( shown.error() );
    if ( as_json )
    {
        auto documents = value::object();
        for ( auto const& [name, text] : shown.value().documents )
            documents[name] = value::string( text );
        std::cout << documents.serialize() << '\n';
        return exit_ok;
    }
    std::cout << "# revision " << shown.value().revision << '\n';
    for ( auto const& [name, text] : shown.value().documents )
        std::cout << "# document " << name << '\n' << text << '\n';
    return exit_ok;
}

auto history( operator_client& daemon, bool as_json ) -> int
{
    auto const json = daemon.get( "/v1/configuration" );
    if ( !json )
        return report_failure( json.error() );
    auto const& changes = json.value().at( "changes" );
    if ( as_json )
        std::cout << changes.serialize() << '\n';
    else
        print_table(
            changes,
            { "revision", "unix_seconds", "author", "documents", "id" },
            std::cout );
    return exit_ok;
}

/// The document in which a profile stands, or the one for new profiles.
auto document_of( shown_configuration const& shown, std::string const& header )
    -> std::string
{
    for ( auto const& [name, text] : shown.documents )
    {
        if ( find_section( text, header ) )
            return name;
    }
    return "profiles.ini";
}

auto list_profiles( shown_configuration const& shown ) -> int
{
    auto found = core::findings{};
    for ( auto const& [name, text] : shown.documents )
    {
        for ( auto const& section :
              ini::read_text( name, text, found ).sections )
        {
            if ( section.kind == "profile" )
                std::cout << section.name << "\t" << name << '\n';
        }
    }
    return exit_ok;
}

auto show_profile( shown_configuration const& shown, std::string const& header )
    -> int
{
    auto const name = document_of( shown, header );
    auto const at = shown.documents.find( name );
    auto const section = at == shown.documents.end()
                             ? std::nullopt
                             : find_section( at->second, header );
    if ( !section )
    {
        std::cerr << "no [" << header << "]; see 'profile list'\n";
        return exit_failed;
    }
    std::cout << *section;
    return exit_ok;
}

/// The sections `[profile ...]` of a file, by header.
auto profiles_of_file( std::string const& file )
    -> std::optional<std::map<std::string, std::string>>
{
    auto found = core::findings{};
    auto const text = ini::load_file( file, found );
    auto const document = ini::read_text( file, text, found );
    auto sections = std::map<std::string, std::string>{};
    for ( auto const& each : document.sections )
    {
        auto const header = each.kind + " " + each.name;
        if ( each.kind != "profile" )
            found.add( { file, each.line, each.kind },
                       "only [profile NAME] can be put" );
        else
            sections[header] = *find_section( text, header );
    }
    if ( found.empty() && !sections.empty() )
        return sections;
    std::cerr << found.report();
    return std::nullopt;
}

auto put_profiles( operator_client& daemon,
                   shown_configuration const& shown,
                   arguments const& given ) -> int
{
    auto const sections = profiles_of_file( given.at( "PROFILES" ).asString() );
    if ( !sections )
        return exit_findings;
    auto wanted = change_of( given );
    wanted.based_on = shown.revision;
    auto documents = shown.documents;
    for ( auto const& [header, section] : *sections )
    {
        auto const name = document_of( shown, header );
        auto& text = documents[name];
        text = append_section( remove_section( text, header ), section );
        wanted.put[name] = text;
    }
    return apply( daemon, wanted );
}

auto remove_profile( operator_client& daemon,
                     shown_configuration const& shown,
                     arguments const& given ) -> int
{
    auto const header = "profile " + given.at( "NAME" ).asString();
    auto const name = document_of( shown, header );
    auto const at = shown.documents.find( name );
    if ( at == shown.documents.end() || !find_section( at->second, header ) )
    {
        std::cerr << "no [" << header << "]; see 'profile list'\n";
        return exit_failed;
    }
    auto wanted = change_of( given );
    wanted.based_on = shown.revision;
    wanted.put[name] = remove_section( at->second, header );
    return apply( daemon, wanted );
}

auto diff_profiles( shown_configuration const& shown, std::string const& file )
    -> int
{
    auto const sections = profiles_of_file( file );
    if ( !sections )
        return exit_findings;
    auto differs = false;
    for ( auto const& [header, section] : *sections )
    {
        auto const name = document_of( shown, header );
        auto const at = shown.documents.find( name );
        auto const now = at == shown.documents.end()
                             ? std::nullopt
                             : find_section( at->second, header );
        if ( now == section )
            continue;
        differs = true;
        std::cout << "--- in force [" << header << "]\n"
                  << now.value_or( "(none)\n" ) << "+++ in " << file << '\n'
                  << section;
    }
    return differs ? exit_failed : exit_ok;
}

}

auto run_config( arguments const& given, operator_client& daemon ) -> int
{
    auto const as_json = given.at( "--json" ).asBool();
    if ( given.at( "check" ).asBool() )
        return check( daemon, given );
    if ( given.at( "show" ).asBool() )
        return show( daemon, as_json );
    if ( given.at( "history" ).asBool() )
        return history( daemon, as_json );
    auto const documents = load_documents( given.at( "FILE" ).asStringList() );
    if ( !documents )
        return exit_findings;
    auto wanted = change_of( given );
    wanted.put = *documents;
    return apply( daemon, wanted );
}

auto run_profile( arguments const& given, operator_client& daemon ) -> int
{
    auto const shown = show_configuration( daemon );
    if ( !shown )
        return report_failure( shown.error() );
    if ( given.at( "list" ).asBool() )
        return list_profiles( shown.value() );
    if ( given.at( "put" ).asBool() )
        return put_profiles( daemon, shown.value(), given );
    if ( given.at( "remove" ).asBool() )
        return remove_profile( daemon, shown.value(), given );
    if ( given.at( "diff" ).asBool() )
        return diff_profiles( shown.value(),
                              given.at( "PROFILES" ).asString() );
    return show_profile( shown.value(),
                         "profile " + given.at( "NAME" ).asString() );
}

}
