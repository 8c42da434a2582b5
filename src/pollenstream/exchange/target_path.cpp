#include <pollenstream/exchange/target_path.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Targets that have to fail, or be silent, without an answer of any target.
constexpr auto targets_for_doubt = std::size_t{ 2 };
/// Time for which all targets are silent before their silence is doubtful. An
/// engine prefills a long prompt silently for about as long.
constexpr auto silence_for_doubt = core::duration( 600ms );
/// Between the beginnings of two doubts, as each costs some connections. Many
/// targets that fail while others answer raise one after the other.
constexpr auto min_doubt_period = core::duration( 500ms );
/// Allowance for the delay of the message that tells of an answer.
constexpr auto message_delay = core::duration( 100ms );
/// Reports are held back no longer than this while the path is sound, and no
/// longer than `max_doubt` while it is doubtful.
constexpr auto max_hold = core::duration( 1s );
constexpr auto max_doubt = core::duration( 2s );

}

auto target_path::note_sent( core::target_id const& target, core::instant now )
    -> void
{
    unanswered_.try_emplace( target, now );
}

auto target_path::note_answer( core::instant now ) -> void
{
    last_answer_ = now;
    failed_.clear();
    unanswered_.clear();
    failed_probes_ = 0;
    set_state( path_state::sound );
    if ( !held_reports_.empty() )
        release_reports( now );
}

auto target_path::note_failure( core::target_id const& target,
                                core::instant now ) -> void
{
    failed_.insert( target );
    if ( failed_.size() >= targets_for_doubt )
        begin_doubt( now );
}

auto target_path::report_when_sound( core::instant now,
                                     std::function<void()> report ) -> void
{
    if ( state_ != path_state::cut )
        held_reports_.push_back( { now, std::move( report ) } );
}

auto target_path::update( core::instant now,
                          core::instant fleet_answered_at,
                          std::size_t probes_needed ) -> void
{
    if ( state_ == path_state::sound && is_silent( now ) )
        begin_doubt( now );
    auto const others_reach =
        fleet_answered_at > doubtful_since() + message_delay;
    if ( state_ == path_state::doubtful && failed_probes_ >= probes_needed &&
         others_reach )
    {
        held_reports_.clear();
        set_state( path_state::cut );
    }
    release_reports( now -
                     ( state_ == path_state::sound ? max_hold : max_doubt ) );
}

auto target_path::is_silent( core::instant now ) const -> bool
{
    auto const silent =
        std::count_if( unanswered_.begin(), unanswered_.end(),
                       [now]( auto const& entry )
                       {
                           return now - entry.second >= silence_for_doubt;
                       } );
    return static_cast<std::size_t>( silent ) >= targets_for_doubt;
}

auto target_path::begin_doubt( core::instant since ) -> void
{
    auto const is_too_soon =
        doubtful_since_ && since - *doubtful_since_ < min_doubt_period;
    if ( state_ != path_state::sound || is_too_soon )
        return;
    doubtful_since_ = since;
    failed_probes_ = 0;
    set_state( path_state::doubtful );
}

auto target_path::set_state( path_state next ) -> void
{
    if ( std::exchange( state_, next ) != next && on_changed )
        on_changed( next );
}

/// Runs the held reports from `until` and before.
auto target_path::release_reports( core::instant until ) -> void
{
    auto const later = std::find_if( held_reports_.begin(), held_reports_.end(),
                                     [until]( auto const& held )
                                     {
                                         return held.at > until;
                                     } );
    auto due = std::vector<held_report>(
        std::make_move_iterator( held_reports_.begin() ),
        std::make_move_iterator( later ) );
    held_reports_.erase( held_reports_.begin(), later );
    for ( auto const& held : due )
        held.run();
}

}
