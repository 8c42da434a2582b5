#include "losses.hpp"

#include <algorithm>
#include <charconv>
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
    if ( reason == "quarantined" )
        return loss_cause::quarantined;
    if ( reason == "cut_from_targets" )
        return loss_cause::cut_from_targets;
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
        return starts_.take( line );
    if ( id.empty() )
    {
        ++unreadable_;
        return;
    }
    // The instance of its caller tells of the request.
    if ( line.contains( "handed_over_by" ) )
        return;
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
    else if ( event == "handed_over" )
    {
        open( id ).failure = loss_cause::cut_from_targets;
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
    if ( is_late )
        return count( told, cause_of_late( told, reached, *objective ) );
    auto const has_long_pause =
        gap_objective && *gap_objective > 0 && *gap > *gap_objective;
    count( told, has_long_pause ? std::optional( loss_cause::long_pause )
                                : std::nullopt );
}

/// Why a request was late that was served `reached` ms after its arrival.
auto loss_account::cause_of_late( story const& told,
                                  double reached,
                                  double objective ) -> loss_cause
{
    if ( told.failure )
        return *told.failure;
    if ( told.limit_ms > 0 && reached - told.limit_ms <= objective )
        return loss_cause::target_limit;
    if ( told.prompt == 0 )
        return loss_cause::late_call;
    if ( !told.waited_ms || !told.predicted_ms )
        return loss_cause::unknown;
    if ( *told.waited_ms + *told.predicted_ms <= objective )
        return loss_cause::slower_than_told;
    if ( *told.predicted_ms > objective )
        return loss_cause::late_as_predicted;
    auto const late_answer = told.asked_ms.value_or( 0 ) > late_ask_ms;
    return late_answer && *told.waited_ms < objective / 2
               ? loss_cause::late_ask
               : loss_cause::late_by_waiting;
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
    row.all.add( weight );
    if ( !lost )
        return;
    row.lost.add( weight );
    by_cause_.at( static_cast<std::size_t>( *lost ) ).add( weight );
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

}
