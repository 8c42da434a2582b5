#include "losses.hpp"
#include "table.hpp"

#include <cmath>
#include <fstream>
#include <iostream>
#include <unistd.h>

// The `losses` command: reads logs and prints the sums of a loss_account.

namespace apps::tool
{

namespace
{

using web::json::value;

/// Lines read between two reports of progress on a terminal.
constexpr auto lines_per_progress = std::int64_t{ 200'000 };

auto rounded( double number ) -> value
{
    return value( static_cast<std::int64_t>( std::llround( number ) ) );
}

auto percent( double part, double whole ) -> value
{
    constexpr auto hundred = 100.0;
    return rounded( whole == 0 ? 0 : part / whole * hundred );
}

/// Adds a row for each cause in `sums` to `rows`. The rows begin with the
/// members of `start`.
auto add_cause_rows( value& rows, cause_sums const& sums, value const& start )
    -> void
{
    auto all = 0.0;
    for ( auto const& sum : sums )
        all += sum.weight;
    for ( auto i = std::size_t{ 0 }; i < sums.size(); ++i )
    {
        if ( sums.at( i ).requests == 0 )
            continue;
        auto row = start;
        row["cause"] = value( name_of( static_cast<loss_cause>( i ) ) );
        row["requests"] = value( sums.at( i ).requests );
        row["weight"] = rounded( sums.at( i ).weight );
        row["percent"] = percent( sums.at( i ).weight, all );
        rows[rows.size()] = row;
    }
}

auto cause_rows( loss_account const& account ) -> value
{
    auto rows = value::array();
    add_cause_rows( rows, account.by_cause(), value::object() );
    return rows;
}

auto group_rows( loss_account const& account, char const* key ) -> value
{
    auto rows = value::array();
    for ( auto const& group : account.groups().by_lost_weight() )
    {
        auto row = value::object();
        row[key] = value( group.name );
        row["requests"] = value( group.all.requests );
        row["lost"] = value( group.lost.requests );
        row["weight"] = rounded( group.lost.weight );
        row["percent"] = percent( group.lost.weight, account.lost().weight );
        row["lost_percent"] = percent( group.lost.weight, group.all.weight );
        rows[rows.size()] = row;
    }
    return rows;
}

auto group_cause_rows( loss_account const& account, char const* key ) -> value
{
    auto rows = value::array();
    for ( auto const& group : account.groups().by_lost_weight() )
    {
        auto start = value::object();
        start[key] = value( group.name );
        add_cause_rows( rows, group.by_cause, start );
    }
    return rows;
}

auto size_rows( loss_account const& account ) -> value
{
    auto rows = value::array();
    auto at = std::size_t{ 0 };
    for ( auto const& one : account.by_size() )
    {
        if ( one.all.requests == 0 )
            continue;
        auto row = value::object();
        row["size"] = value( one.name );
        row["requests"] = value( one.all.requests );
        row["lost"] = value( one.lost.requests );
        row["lost_percent"] = percent( one.lost.weight, one.all.weight );
        rows[at++] = row;
    }
    return rows;
}

auto prediction_rows( loss_account const& account ) -> value
{
    auto rows = value::array();
    auto at = std::size_t{ 0 };
    for ( auto const& one : account.by_size() )
    {
        auto const later = one.later_than_told->summary();
        if ( later.count == 0 )
            continue;
        auto row = value::object();
        row["size"] = value( one.name );
        row["first_events"] = value( later.count );
        row["p50_ms"] = rounded( later.p50 );
        row["p95_ms"] = rounded( later.p95 );
        row["p99_ms"] = rounded( later.p99 );
        rows[at++] = row;
    }
    return rows;
}

/// What kept processes from serving after their start: the longest time until
/// each thing that they wait for, and the requests refused until they served.
auto start_rows( start_account const& starts ) -> value
{
    auto rows = value::array();
    for ( auto const& [stage, longest] : starts.longest_stages_ms() )
    {
        auto row = value::object();
        row["waited_for"] = value( stage );
        row["longest_ms"] = rounded( longest );
        rows[rows.size()] = row;
    }
    for ( auto const& [reason, requests] : starts.refused() )
    {
        auto row = value::object();
        row["waited_for"] = value( "refused: " + reason );
        row["requests"] = value( requests );
        rows[rows.size()] = row;
    }
    return rows;
}

auto starts_as_json( start_account const& starts ) -> value
{
    auto const served = starts.served_after_ms();
    auto whole = value::object();
    whole["starts"] = value( starts.starts() );
    whole["overdue"] = value( starts.overdue() );
    whole["never_served"] = value( starts.never_served() );
    whole["median_ms"] =
        rounded( served.empty() ? 0 : served[served.size() / 2] );
    whole["longest_ms"] = rounded( served.empty() ? 0 : served.back() );
    whole["before"] = start_rows( starts );
    return whole;
}

auto print_starts( start_account const& starts ) -> void
{
    if ( starts.starts() == 0 )
        return;
    auto const whole = starts_as_json( starts );
    std::cout << '\n'
              << starts.starts() << " starts, " << starts.never_served()
              << " never served; first served after "
              << whole.at( "median_ms" ).serialize() << " ms (median), "
              << whole.at( "longest_ms" ).serialize() << " ms at most; "
              << starts.overdue() << " overdue\n\n";
    print_table( whole.at( "before" ),
                 { "waited_for", "longest_ms", "requests" }, std::cout );
}

auto print_groups( loss_account const& account, char const* key ) -> void
{
    std::cout << '\n';
    print_table(
        group_rows( account, key ),
        { key, "requests", "lost", "weight", "percent", "lost_percent" },
        std::cout );
    std::cout << '\n';
    print_table( group_cause_rows( account, key ),
                 { key, "cause", "requests", "weight", "percent" }, std::cout );
}

/// `key` is null where the sums are not grouped.
auto print( loss_account const& account, char const* key, bool as_json ) -> void
{
    auto const lost = account.lost();
    if ( as_json )
    {
        auto whole = value::object();
        whole["requests"] = value( account.requests() );
        whole["lost"] = value( lost.requests );
        whole["lost_weight"] = rounded( lost.weight );
        whole["explained"] = value( account.explained_share() );
        whole["unreadable_lines"] = value( account.unreadable() );
        whole["causes"] = cause_rows( account );
        whole["sizes"] = size_rows( account );
        whole["later_than_told"] = prediction_rows( account );
        whole["starts"] = starts_as_json( account.starts() );
        if ( key )
        {
            whole["by"] = value( key );
            whole["groups"] = group_rows( account, key );
            whole["group_causes"] = group_cause_rows( account, key );
        }
        std::cout << whole.serialize() << '\n';
        return;
    }
    std::cout << account.requests() << " requests, " << lost.requests
              << " late, refused or failed, weight " << lost.weight << "; "
              << account.explained_share() * 100 << "% of it explained; "
              << account.unreadable() << " lines passed over\n\n";
    print_table( cause_rows( account ),
                 { "cause", "requests", "weight", "percent" }, std::cout );
    if ( key )
        print_groups( account, key );
    std::cout << '\n';
    print_table( size_rows( account ),
                 { "size", "requests", "lost", "lost_percent" }, std::cout );
    std::cout << "\nfirst events later than told\n\n";
    print_table( prediction_rows( account ),
                 { "size", "first_events", "p50_ms", "p95_ms", "p99_ms" },
                 std::cout );
    print_starts( account.starts() );
}

auto read_all( std::istream& log,
               std::string const& name,
               loss_account& account ) -> void
{
    auto const shows_progress = ::isatty( STDERR_FILENO ) == 1;
    auto lines = std::int64_t{ 0 };
    for ( auto text = std::string{}; std::getline( log, text ); )
    {
        account.take( text );
        if ( shows_progress && ++lines % lines_per_progress == 0 )
            std::cerr << '\r' << name << ": " << lines << " lines"
                      << std::flush;
    }
    if ( shows_progress && lines >= lines_per_progress )
        std::cerr << '\n';
}

}

auto run_losses( std::vector<std::string> const& files,
                 std::string const& key,
                 bool as_json ) -> int
{
    auto const grouped_by = loss_key_of( key );
    if ( !key.empty() && !grouped_by )
    {
        std::cerr << "--by is workspace, data-centre or kind, not " << key
                  << '\n';
        return 1;
    }
    auto account = loss_account( grouped_by );
    if ( files.empty() )
        read_all( std::cin, "standard input", account );
    for ( auto const& name : files )
    {
        auto log = std::ifstream( name );
        if ( !log )
        {
            std::cerr << name << ": cannot be read\n";
            return 1;
        }
        read_all( log, name, account );
    }
    account.finish();
    print( account, key.empty() ? nullptr : key.c_str(), as_json );
    return 0;
}

}
