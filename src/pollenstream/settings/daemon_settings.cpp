#include <pollenstream/profiles/section_reader.hpp>
#include <pollenstream/settings/daemon_settings.hpp>

#include <array>
#include <set>
#include <string_view>

namespace pollenstream::settings
{

namespace
{

using namespace std::chrono_literals;
using profiles::section_reader;

constexpr auto default_body_bytes = std::int64_t{ 16 } * 1024 * 1024;
constexpr auto max_body_bytes = std::int64_t{ 256 } * 1024 * 1024;
constexpr auto megabyte = std::size_t{ 1024 } * 1024;
constexpr auto default_memory_mb = 1'024;
constexpr auto max_memory_mb = 1'048'576;
/// Two such bodies may be received at once, beside all else.
constexpr auto largest_bodies_in_memory = std::size_t{ 4 };
constexpr auto default_threads = 6;
constexpr auto max_threads = 256;
constexpr auto min_threads = 2;
constexpr auto default_polls_per_second = 16;
constexpr auto max_polls_per_second = 1'000;
constexpr auto min_token_length = std::size_t{ 16 };

auto read_instance( section_reader& reader, daemon_settings& into ) -> void
{
    into.id = core::instance_id( reader.required_text( "id" ) );
    if ( into.id.str().find_first_of( ":/ " ) != std::string::npos )
        reader.report_error( "id", "must not contain ':', '/' or blanks" );
    into.data_centre = core::data_centre_id( reader.required_text( "place" ) );
    into.callers = reader.required_address( "callers" );
    into.peers = reader.required_address( "peers" );
    into.operators = reader.required_address( "operators" );
}

auto read_platform( section_reader& reader, daemon_settings& into ) -> void
{
    into.store = reader.required_address( "store" );
    into.list = reader.required_address( "list" );
}

auto read_operators( section_reader& reader, daemon_settings& into ) -> void
{
    into.token = reader.required_text( "token" );
    if ( !into.token.empty() && into.token.size() < min_token_length )
        reader.report_error( "token", "needs at least 16 characters" );
}

auto read_limits( section_reader& reader, daemon_settings& into ) -> void
{
    into.largest_body = static_cast<std::size_t>( reader.number(
        "largest_body_bytes", default_body_bytes, 1024, max_body_bytes ) );
    into.memory = static_cast<std::size_t>( reader.number(
                      "memory_mb", default_memory_mb, 64, max_memory_mb ) ) *
                  megabyte;
    if ( into.largest_body > into.memory / largest_bodies_in_memory )
        reader.report_error( "memory_mb",
                             "is not enough for four of the largest bodies" );
    into.threads = static_cast<int>(
        reader.number( "threads", default_threads, min_threads, max_threads ) );
    into.load_polls_per_second =
        reader.number( "load_polls_per_second", default_polls_per_second, 1,
                       max_polls_per_second );
    into.entry_keep = reader.milliseconds( "entry_keep_ms", 10s );
    into.drain_limit = reader.milliseconds( "drain_limit_ms", 10min );
}

struct section_kind
{
    std::string_view kind;
    auto( *read )( section_reader&, daemon_settings& ) -> void;
    bool is_required;
};

/// The section kinds of the daemon's settings.
constexpr auto section_kinds = std::array{
    section_kind{ "instance", read_instance, true },
    section_kind{ "platform", read_platform, true },
    section_kind{ "operators", read_operators, true },
    section_kind{ "limits", read_limits, false },
};

auto find_section( profiles::document const& input, std::string_view kind )
    -> profiles::document_section const*
{
    for ( auto const& section : input.sections )
    {
        if ( section.kind == kind )
            return &section;
    }
    return nullptr;
}

auto check_section_names( profiles::document const& input,
                          core::findings& found ) -> void
{
    auto seen_kinds = std::set<std::string>{};
    for ( auto const& section : input.sections )
    {
        auto is_known = false;
        for ( auto const& each : section_kinds )
            is_known = is_known || each.kind == section.kind;
        auto const location =
            core::text_place{ input.file, section.line, section.kind };
        if ( !is_known )
            found.add( location, "is not a section of these settings" );
        else if ( !seen_kinds.insert( section.kind ).second )
            found.add( location, "stands twice" );
    }
}

}

auto read_daemon_settings( profiles::document const& input,
                           core::findings& found ) -> daemon_settings
{
    auto result = daemon_settings{};
    check_section_names( input, found );
    for ( auto const& each : section_kinds )
    {
        auto const kind = std::string( each.kind );
        auto const* section = find_section( input, kind );
        auto const empty_section =
            profiles::document_section{ kind, {}, 0, {} };
        if ( !section && each.is_required )
            found.add( { input.file, 0, kind }, "the section is required" );
        if ( !section && each.is_required )
            continue;
        auto reader = section_reader(
            input.file, section ? *section : empty_section, found );
        each.read( reader, result );
        reader.report_unexpected_keys();
    }
    return result;
}

}
