#include <pollenstream/profiles/configuration.hpp>
#include <pollenstream/profiles/section_reader.hpp>

#include <array>

namespace pollenstream::profiles
{

namespace
{

using namespace std::chrono_literals;

constexpr auto default_time_base = core::duration( 30s );
constexpr auto default_time_per_1k = core::duration( 200ms );
constexpr auto max_retries = 10;
constexpr auto default_output_tokens = 256;
constexpr auto max_output_tokens = 1'000'000;
constexpr auto max_share = 10'000;
constexpr auto max_rate = 1'000'000'000;
constexpr auto max_targets_per_instance = 10'000;
constexpr auto default_targets_per_instance = 24;

auto read_service( section_reader& reader, std::string const& name ) -> service
{
    auto s = service{};
    s.id = core::service_id( name );
    auto const kind = reader.text( "kind", "model" );
    if ( kind == "plain" )
        s.kind = service_kind::plain;
    else if ( kind != "model" )
        reader.report_error( "kind",
                             "'" + kind + "' is neither model nor plain" );
    s.model = core::model_id( reader.text( "model", name ) );
    s.checks_fencing = reader.flag( "checks_fencing", false );
    s.targets_per_instance =
        reader.number( "targets_per_instance", default_targets_per_instance, 1,
                       max_targets_per_instance );
    return s;
}

auto read_profile( section_reader& reader, std::string const& name ) -> profile
{
    auto p = profile{};
    p.id = core::profile_id( name );
    p.service = core::service_id( reader.required_text( "service" ) );
    auto const priority_name = reader.text( "priority", "normal" );
    auto const parsed_priority = parse_priority( priority_name );
    if ( !parsed_priority )
        reader.report_error( "priority",
                             "'" + priority_name +
                                 "' is not urgent, normal or bulk" );
    p.request_priority = parsed_priority.value_or( priority::normal );
    p.first_token_goal = reader.milliseconds( "first_token_ms", 0ms );
    p.time_base = reader.milliseconds( "time_base_ms", default_time_base );
    p.time_per_1k_tokens =
        reader.milliseconds( "time_per_1k_tokens_ms", default_time_per_1k );
    if ( p.time_base <= 0ms )
        reader.report_error( "time_base_ms", "must be above 0" );
    p.retries = reader.number( "retries", 1, 0, max_retries );
    p.idempotent = reader.flag( "idempotent", true );
    p.max_output = core::token_count( reader.number(
        "max_output_tokens", default_output_tokens, 1, max_output_tokens ) );
    p.workspace_requests_per_second =
        reader.number( "workspace_requests_per_second", 0, 0, max_rate );
    for ( auto const& data_centre : reader.words( "places" ) )
        p.data_centres.emplace_back( data_centre );
    return p;
}

auto read_workspace( section_reader& reader, std::string const& name )
    -> workspace
{
    auto w = workspace{};
    w.id = core::workspace_id( name );
    w.share = reader.number( "share", 1, 1, max_share );
    w.requests_per_second =
        reader.number( "requests_per_second", 0, 0, max_rate );
    w.tokens_per_second = reader.number( "tokens_per_second", 0, 0, max_rate );
    return w;
}

/// Reads one section into the matching map of the configuration. Returns false
/// if the map already has an entry of that name, which is then kept.
using section_handler = auto( * )( section_reader&,
                                   std::string const& name,
                                   configuration& into ) -> bool;

struct section_kind
{
    std::string_view kind;
    section_handler read;
};

/// The section kinds of a configuration.
constexpr auto section_kinds = std::array{
    section_kind{ "service",
                  []( section_reader& r,
                      std::string const& name,
                      configuration& into ) -> bool
                  {
                      auto s = read_service( r, name );
                      return into.services.emplace( s.id, s ).second;
                  } },
    section_kind{ "profile",
                  []( section_reader& r,
                      std::string const& name,
                      configuration& into ) -> bool
                  {
                      auto p = read_profile( r, name );
                      return into.profiles.emplace( p.id, p ).second;
                  } },
    section_kind{ "workspace",
                  []( section_reader& r,
                      std::string const& name,
                      configuration& into ) -> bool
                  {
                      auto w = read_workspace( r, name );
                      return into.workspaces.emplace( w.id, w ).second;
                  } },
};

auto find_section_kind( std::string_view kind ) -> section_kind const*
{
    for ( auto const& each : section_kinds )
    {
        if ( each.kind == kind )
            return &each;
    }
    return nullptr;
}

}

auto configuration::find_profile( core::profile_id const& id ) const
    -> profile const*
{
    auto const it = profiles.find( id );
    return it == profiles.end() ? nullptr : &it->second;
}

auto configuration::find_service( core::service_id const& id ) const
    -> service const*
{
    auto const it = services.find( id );
    return it == services.end() ? nullptr : &it->second;
}

auto configuration::workspace_or_default( core::workspace_id const& id ) const
    -> workspace
{
    auto const it = workspaces.find( id );
    if ( it != workspaces.end() )
        return it->second;
    auto w = workspace{};
    w.id = id;
    return w;
}

auto read_configuration( document const& input,
                         configuration& into,
                         core::findings& found ) -> void
{
    for ( auto const& section : input.sections )
    {
        auto const location =
            core::text_place{ input.file, section.line, section.kind };
        auto const* const kind = find_section_kind( section.kind );
        if ( !kind )
        {
            found.add( location, "is not service, profile or workspace" );
            continue;
        }
        if ( section.name.empty() )
            found.add( location, "needs a name: [" + section.kind + " NAME]" );
        auto reader = section_reader( input.file, section, found );
        if ( !kind->read( reader, section.name, into ) )
            found.add( location, "'" + section.name + "' stands twice" );
        reader.report_unexpected_keys();
    }
}

auto check_references( configuration const& config,
                       std::string const& file,
                       core::findings& found ) -> void
{
    for ( auto const& [id, p] : config.profiles )
    {
        auto const location =
            core::text_place{ file, 0, "profile." + id.str() };
        auto const* const used_service = config.find_service( p.service );
        if ( !used_service )
            found.add( location,
                       "its service '" + p.service.str() + "' has no section" );
        if ( used_service && used_service->kind == service_kind::model &&
             !p.idempotent )
            found.add( location, "a model's answers are idempotent" );
    }
}

}
