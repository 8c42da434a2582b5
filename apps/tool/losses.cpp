#include "losses.hpp"

#include "table.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iostream>
#include <unistd.h>
#include <utility>

namespace apps::tool
{

namespace
{

/// Requests that may be open at once in all logs together; about 300 bytes
/// each.
constexpr auto most_open = std::size_t{ 200'000 };
/// Largest size class first; a request of weight w counts as placing counts it.
constexpr auto tokens_per_weight = 10'000.0;
/// An ask for targets that took longer than this was not answered at once.
constexpr auto late_ask_ms = 50.0;
constexpr auto lines_per_progress = std::int64_t{ 200'000 };
constexpr auto first_own_failure = 400.0;

struct size_class
{
    char const* name;
    double below; ///< tokens
};

/// Sizes that differ in how they are placed: read at once, read beside short
/// ones, read in parts, over one engine's memory.
constexpr auto size_classes = std::array{
    size_class{ "plain call", 1 },
    size_class{ "under 8k tokens", 8'000 },
    size_class{ "8k to 24k", 24'000 },
    size_class{ "24k to 75k", 75'000 },
    size_class{ "75k to 150k", 150'000 },
    size_class{ "150k to 260k", 260'000 },
    size_class{ "260k to 400k", 400'000 },
    size_class{ "400k and more", 1e18 },
};

auto text_of( log_line const& line, char const* name ) -> std::string
{
    auto const found = line.find( name );
    return found == line.end() ? std::string{} : found->second;
}

auto number_of( log_line const& line, char const* name )
    -> std::optional<double>
{
    auto const text = text_of( line, name );
    auto value = 0.0;
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars( text.data(), end, value );
    if ( read.ec != std::errc{} || read.ptr != end )
        return std::nullopt;
    return value;
}

auto cause_of_refusal( std::string const& reason ) -> loss_cause
{
    if ( reason == "limited" )
        return loss_cause::target_limit;
    if ( reason == "drained" )
        return loss_cause::place_drained;
    if ( reason == "no_configuration" )
        return loss_cause::no_configuration;
    if ( reason == "stopping" || reason == "process_ends" )
        return loss_cause::stopping;
    if ( reason == "turned_away" || reason == "not_reached" ||
         reason == "no_targets" || reason == "not_run_after_failure" )
        return loss_cause::turned_away;
    if ( reason.starts_with( "no_room" ) || reason == "too_large" ||
         reason == "deadline" )
        return loss_cause::no_room;
    return loss_cause::unknown;
}

auto cause_of_failure( std::string const& error ) -> loss_cause
{
    // "reservation expired at" ends a request that ran: its target was lost.
    if ( error.starts_with( "reservation: " ) )
        return loss_cause::memory_not_there;
    if ( error.starts_with( "status" ) )
        return loss_cause::target_failed;
    if ( error.starts_with( "not run" ) )
        return loss_cause::turned_away;
    return error == "silent" ? loss_cause::target_silent
                             : loss_cause::target_lost;
}

/// Ends that the configuration or the caller asked for; nothing is lost. A call
/// whose time limit ends before its objective is one: it asks which limit is in
/// force, and is not owed an answer.
auto is_no_loss( std::string const& outcome,
                 double status,
                 double total_ms,
                 double objective_ms ) -> bool
{
    constexpr auto unauthorized = 401.0;
    constexpr auto not_found = 404.0;
    constexpr auto timed_out = 504.0;
    return outcome == "caller_gone" || status == unauthorized ||
           status == not_found ||
           ( status == timed_out && total_ms < objective_ms );
}

}

loss_account::loss_account( std::optional<loss_key> key ) : key_( key )
{
    for ( auto const& c : size_classes )
        by_size_.push_back(
            { c.name,
              {},
              {},
              std::make_shared<pollenstream::metrics::distribution>() } );
}

auto loss_account::open( std::string const& id ) -> story&
{
    auto const [at, is_new] = open_.try_emplace( id );
    if ( is_new )
        at->second.number = ++last_number_;
    if ( open_.size() <= most_open )
        return at->second;
    auto const oldest =
        std::min_element( open_.begin(), open_.end(),
                          []( auto const& a, auto const& b )
                          {
                              return a.second.number < b.second.number;
                          } );
    count( oldest->second, loss_cause::not_finished );
    open_.erase( oldest );
    return open_[id];
}

auto loss_account::take( std::string const& text ) -> void
{
    if ( text.find( "event=" ) == std::string::npos )
    {
        ++unreadable_;
        return;
    }
    auto const line = read_log_line( text );
    auto const event = text_of( line, "event" );
    auto const id = text_of( line, "id" );
    if ( event == "belief" )
        return;
    if ( id.empty() )
    {
        ++unreadable_;
        return;
    }
    if ( event == "late_expected" )
    {
        note_group( line, open( id ) );
    }
    else if ( event == "placed" )
    {
        auto& told = open( id );
        note_group( line, told );
        told.prompt = number_of( line, "prompt" ).value_or( 0 );
        told.waited_ms = number_of( line, "waited_ms" );
        told.predicted_ms = number_of( line, "predicted_ms" );
        told.asked_ms = number_of( line, "asked_ms" );
        told.limit_ms = number_of( line, "limit_ms" ).value_or( 0 );
    }
    else if ( event == "attempt_failed" &&
              text_of( line, "decision" ) != "go_back" )
    {
        open( id ).failure = cause_of_failure( text_of( line, "error" ) );
    }
    else if ( event == "refused" )
    {
        auto& told = open( id );
        note_group( line, told );
        told.failure = cause_of_refusal( text_of( line, "reason" ) );
    }
    else if ( event == "ended" )
    {
        take_end( line, id );
    }
}

auto loss_account::take_end( log_line const& line, std::string const& id )
    -> void
{
    auto const outcome = text_of( line, "outcome" );
    auto const status = number_of( line, "status" );
    auto const total = number_of( line, "total_ms" );
    auto const first = number_of( line, "first_ms" );
    auto const gap = number_of( line, "gap_ms" );
    auto const objective = number_of( line, "objective_ms" );
    auto const gap_objective = number_of( line, "gap_objective_ms" );
    if ( outcome.empty() || !status || !total || !first || !gap )
    {
        ++unreadable_;
        return;
    }
    auto told = open( id );
    open_.erase( id );
    note_group( line, told );
    auto const prompt = number_of( line, "prompt" ).value_or( told.prompt );
    told.prompt = prompt;
    if ( is_no_loss( outcome, *status, *total, objective.value_or( 0 ) ) )
        return;
    if ( outcome != "served" || *status >= first_own_failure )
        return count( told,
                      told.failure.value_or( cause_of_refusal( outcome ) ) );
    auto const reached = *first > 0 ? *first : *total;
    if ( prompt > 0 && told.waited_ms && told.predicted_ms && !told.failure )
        row_of( prompt ).later_than_told->add( reached - *told.waited_ms -
                                               *told.predicted_ms );
    auto const is_late = objective && *objective > 0 && reached > *objective;
    if ( !is_late )
        return count( told, gap_objective && *gap_objective > 0 &&
                                    *gap > *gap_objective
                                ? std::optional( loss_cause::long_pause )
                                : std::nullopt );
    if ( told.failure )
        return count( told, told.failure );
    if ( told.limit_ms > 0 && reached - told.limit_ms <= *objective )
        return count( told, loss_cause::target_limit );
    if ( prompt == 0 )
        return count( told, loss_cause::late_call );
    if ( !told.waited_ms || !told.predicted_ms )
        return count( told, loss_cause::unknown );
    auto const predicted = *told.waited_ms + *told.predicted_ms;
    if ( predicted <= *objective )
        return count( told, loss_cause::slower_than_told );
    if ( *told.predicted_ms > *objective )
        return count( told, loss_cause::late_as_predicted );
    auto const late_answer = told.asked_ms.value_or( 0 ) > late_ask_ms;
    count( told, late_answer && *told.waited_ms < *objective / 2
                     ? loss_cause::late_ask
                     : loss_cause::late_by_waiting );
}

auto loss_account::row_of( double prompt ) -> size_row&
{
    auto const at = std::find_if( size_classes.begin(), size_classes.end() - 1,
                                  [prompt]( auto const& c )
                                  {
                                      return prompt < c.below;
                                  } );
    return by_size_.at( static_cast<std::size_t>( at - size_classes.begin() ) );
}

/// Later lines take precedence: the group is that of the line that ends the
/// request if this line has the key.
auto loss_account::note_group( log_line const& line, story& told ) const -> void
{
    if ( !key_ )
        return;
    auto const found = line.find( field_of( *key_ ) );
    if ( found != line.end() )
        told.group = found->second;
}

auto loss_account::count( story const& told, std::optional<loss_cause> lost )
    -> void
{
    ++requests_;
    auto const weight = 1 + told.prompt / tokens_per_weight;
    if ( key_ )
        groups_.add( told.group, weight, lost );
    auto& row = row_of( told.prompt );
    auto const add = [weight]( loss_sum& sum )
    {
        ++sum.requests;
        sum.weight += weight;
    };
    add( row.all );
    if ( !lost )
        return;
    add( row.lost );
    add( by_cause_.at( static_cast<std::size_t>( *lost ) ) );
}

auto loss_account::finish() -> void
{
    for ( auto const& [id, told] : std::exchange( open_, {} ) )
        count( told, loss_cause::not_finished );
}

auto loss_account::lost() const -> loss_sum
{
    auto sum = loss_sum{};
    for ( auto const& one : by_cause_ )
    {
        sum.requests += one.requests;
        sum.weight += one.weight;
    }
    return sum;
}

auto loss_account::explained_share() const -> double
{
    auto const all = lost().weight;
    return all == 0 ? 1 : 1 - of( loss_cause::unknown ).weight / all;
}

namespace
{

using web::json::value;

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
