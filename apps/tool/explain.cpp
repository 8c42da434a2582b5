#include "explain.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>

namespace apps::tool
{

namespace
{

struct story_line
{
    std::string time;
    std::string text;
    log_line fields;
};

auto value_of( log_line const& line, std::string const& name ) -> std::string
{
    auto const found = line.find( name );
    return found == line.end() ? std::string{} : found->second;
}

/// What the lines of an attempt that failed say, for the sentence.
auto failures_in( std::vector<story_line> const& story ) -> std::string
{
    auto text = std::string{};
    for ( auto const& line : story )
    {
        if ( value_of( line.fields, "event" ) != "attempt_failed" )
            continue;
        auto const target = value_of( line.fields, "target" );
        auto const is_return = value_of( line.fields, "decision" ) == "go_back";
        text += ( text.empty() ? "" : ", then " ) +
                ( is_return ? "back to " + target : target + " failed" ) +
                " (" + value_of( line.fields, "error" ) + ")";
    }
    return text;
}

/// The instances that took the request over, as a part of the sentence.
auto handovers_in( std::vector<story_line> const& story ) -> std::string
{
    auto text = std::string{};
    for ( auto const& line : story )
        if ( value_of( line.fields, "event" ) == "handed_over" )
            text += "; handed over to " + value_of( line.fields, "to" ) +
                    " after " + value_of( line.fields, "waited_ms" ) + " ms (" +
                    value_of( line.fields, "because" ) + ")";
    return text;
}

/// How long it waited for a target's limit, for the sentence.
auto limit_in( log_line const& placed ) -> std::string
{
    auto const waited = value_of( placed, "limit_ms" );
    return waited.empty() ? ""
                          : ", " + waited + " ms of it for a target's limit";
}

/// Who chose the targets, and how long that took, for the sentence.
auto decision_in( std::vector<story_line> const& story ) -> std::string
{
    auto text = std::string{};
    for ( auto const& line : story )
    {
        auto const by = value_of( line.fields, "decided_by" );
        if ( !by.empty() )
            text = "; targets chosen by " + by + " in " +
                   value_of( line.fields, "asked_ms" ) + " ms" +
                   limit_in( line.fields );
    }
    return text;
}

/// What the `late_expected` line of the request says, as a part of a sentence.
auto lateness_in( std::vector<story_line> const& story ) -> std::string
{
    for ( auto const& line : story )
    {
        if ( value_of( line.fields, "event" ) != "late_expected" )
            continue;
        auto const predicted = value_of( line.fields, "predicted_ms" );
        return "; expected to be late after waiting " +
               value_of( line.fields, "waited_ms" ) + " ms" +
               ( predicted.empty() ? std::string( " without a target" )
                                   : ", as its first event was predicted in " +
                                         predicted + " ms" ) +
               ", with an objective of " +
               value_of( line.fields, "objective_ms" ) +
               " ms; reason: " + value_of( line.fields, "reason" );
    }
    return {};
}

/// The data centres that operators had drained at a time, by the state changes
/// that all logs tell of.
class drain_history
{
public:
    auto note( log_line const& line ) -> void
    {
        if ( value_of( line, "what" ) == "data_centre" )
            changes_.emplace( value_of( line, "time" ), line );
    }

    /// The data centres that were drained at `time`, for the sentence.
    [[nodiscard]] auto text_at( std::string const& time ) const -> std::string
    {
        // Each instance logs a change when it learns of it; the first one tells
        // since when.
        auto since = std::map<std::string, std::string>{};
        for ( auto const& [at, change] : changes_ )
        {
            if ( at > time )
                break;
            auto const name = value_of( change, "name" );
            if ( value_of( change, "now" ) == "drained" )
                since.try_emplace( name, at );
            else
                since.erase( name );
        }
        auto text = std::string{};
        for ( auto const& [name, at] : since )
        {
            text += "; left out: data centre " + name;
            text += ", drained since " + at;
        }
        return text;
    }

private:
    std::multimap<std::string, log_line> changes_; ///< by time
};

/// Why suspects were quarantined, by the state changes that all logs tell of.
class quarantine_history
{
public:
    auto note( log_line const& line ) -> void
    {
        if ( value_of( line, "now" ) == "quarantined" )
            begins_.emplace( value_of( line, "name" ), line );
    }

    /// Cause of the quarantine for which the request was refused, for the
    /// sentence.
    [[nodiscard]] auto text_for( std::vector<story_line> const& story ) const
        -> std::string
    {
        for ( auto const& line : story )
        {
            auto const name = value_of( line.fields, "quarantine" );
            if ( name.empty() )
                continue;
            auto const found = begins_.find( name );
            return "; not sent because of " + name +
                   ( found == begins_.end()
                         ? std::string( ", quarantined before these logs" )
                         : ", quarantined since " +
                               value_of( found->second, "time" ) + " as " +
                               value_of( found->second, "because" ) );
        }
        return {};
    }

private:
    std::map<std::string, log_line> begins_; ///< the first, by suspects
};

auto cause_of( std::vector<story_line> const& story ) -> std::string
{
    if ( story.empty() )
        return "no line tells of this request";
    auto const failures = failures_in( story );
    for ( auto at = story.rbegin(); at != story.rend(); ++at )
    {
        auto const event = value_of( at->fields, "event" );
        // The answer of the caller's own instance is what its caller got.
        if ( !value_of( at->fields, "handed_over_by" ).empty() )
            continue;
        if ( event == "refused" )
            return "refused with " + value_of( at->fields, "status" ) +
                   " after " + value_of( at->fields, "waited_ms" ) + " ms as " +
                   value_of( at->fields, "reason" ) + " with " +
                   value_of( at->fields, "waiting" ) +
                   " waiting at this instance" +
                   ( failures.empty() ? "" : "; before that " + failures );
        if ( event != "ended" )
            continue;
        auto const outcome = value_of( at->fields, "outcome" );
        if ( outcome == "served" )
            return "served with " + value_of( at->fields, "status" ) + " in " +
                   value_of( at->fields, "total_ms" ) +
                   " ms, first event after " +
                   value_of( at->fields, "first_ms" ) + " ms, longest pause " +
                   value_of( at->fields, "gap_ms" ) + " ms" +
                   ( failures.empty() ? "" : "; " + failures );
        if ( value_of( at->fields, "status" ) != "503" )
            return "ended as " + outcome + " with status " +
                   value_of( at->fields, "status" ) + " after " +
                   value_of( at->fields, "total_ms" ) + " ms at " +
                   value_of( at->fields, "target" ) +
                   ( failures.empty() ? "" : ": " + failures );
    }
    return "still open at the end of these logs";
}

auto read_story( std::string const& id,
                 std::vector<std::istream*> const& logs,
                 drain_history& drains,
                 quarantine_history& quarantines ) -> std::vector<story_line>
{
    auto story = std::vector<story_line>{};
    auto text = std::string{};
    for ( auto* const log : logs )
        while ( std::getline( *log, text ) )
        {
            if ( text.find( "what=data_centre" ) != std::string::npos )
                drains.note( read_log_line( text ) );
            if ( text.find( "now=quarantined" ) != std::string::npos )
                quarantines.note( read_log_line( text ) );
            if ( text.find( id ) == std::string::npos )
                continue;
            auto fields = read_log_line( text );
            if ( value_of( fields, "id" ) == id )
                story.push_back( { value_of( fields, "time" ), text, fields } );
        }
    std::stable_sort( story.begin(), story.end(),
                      []( auto const& a, auto const& b )
                      {
                          return a.time < b.time;
                      } );
    return story;
}

}

auto read_log_line( std::string const& text ) -> log_line
{
    auto line = log_line{};
    auto at = std::size_t{ 0 };
    while ( at < text.size() )
    {
        auto const equals = text.find( '=', at );
        if ( equals == std::string::npos )
            break;
        auto const blank = text.rfind( ' ', equals );
        auto const from =
            blank == std::string::npos || blank < at ? at : blank + 1;
        auto const quoted = equals + 1 < text.size() && text[equals + 1] == '"';
        auto const start = equals + ( quoted ? 2 : 1 );
        auto const end =
            std::min( text.find( quoted ? '"' : ' ', start ), text.size() );
        line[text.substr( from, equals - from )] =
            text.substr( start, end - start );
        at = end + 1;
    }
    return line;
}

auto explain( std::string const& id, std::vector<std::istream*> const& logs )
    -> explanation
{
    auto drains = drain_history{};
    auto quarantines = quarantine_history{};
    auto const story = read_story( id, logs, drains, quarantines );
    auto result = explanation{};
    for ( auto const& line : story )
        result.lines.push_back( line.text );
    result.cause = cause_of( story ) + handovers_in( story ) +
                   quarantines.text_for( story ) + decision_in( story ) +
                   lateness_in( story );
    if ( !story.empty() )
        result.cause += drains.text_at( story.back().time );
    return result;
}

auto run_explain( std::string const& id, std::vector<std::string> const& files )
    -> int
{
    auto opened = std::vector<std::unique_ptr<std::ifstream>>{};
    auto logs = std::vector<std::istream*>{};
    for ( auto const& name : files )
    {
        opened.push_back( std::make_unique<std::ifstream>( name ) );
        if ( !*opened.back() )
        {
            std::cerr << name << ": cannot be read\n";
            return 1;
        }
        logs.push_back( opened.back().get() );
    }
    if ( logs.empty() )
        logs.push_back( &std::cin );
    auto const result = explain( id, logs );
    for ( auto const& line : result.lines )
        std::cout << line << '\n';
    std::cout << "cause: " << result.cause << '\n';
    return result.lines.empty() ? 1 : 0;
}

}
