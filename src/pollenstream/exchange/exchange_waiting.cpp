#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// The part of an exchange's life in which it waits for targets: its turn, the
// engines that it books, and when it is told that it waits in vain.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// A request that waits is refused this much before its caller would leave,
/// so that the caller hears when to come back.
constexpr auto refusal_margin = core::duration( 150ms );
/// Chance of a long prompt that waits to choose an engine in one round of 15
/// ms: with the four or so that wait in a wave, about one of them does.
constexpr auto long_try_chance = 0.3;
/// How much later than expected booked engines are waited for: three passes.
/// What still reads there then has met some trouble.
constexpr auto booking_grace = core::duration( 150ms );
/// Retry-After of a wide prompt in times of the shortest reading that it could
/// have: the engines are then through with what would have been before it.
constexpr auto return_per_reading = 2;

}

/// Instances hear at the same moment that engines have come free. So that not
/// all that wait choose the same ones, wide prompts take turns, and long ones
/// that go to one engine draw lots.
auto exchange::is_own_turn( core::instant now ) -> bool
{
    auto const draw =
        std::uniform_real_distribution<double>( 0, 1 )( shared_.random );
    if ( is_wide_ && !shared_.board.wide().may_choose( due(), draw, now ) )
    {
        not_before_ = now + wide_queue::turn_time;
        return false;
    }
    return is_wide_ || !is_long_ || !waiting_ || draw < long_try_chance;
}

/// True for a wide prompt that cannot be in time any more while others wait
/// that can: it would be kept waiting until its caller leaves. Told at once,
/// the caller comes back while there is time. One that may have run is not
/// refused.
auto exchange::is_hopeless() const -> bool
{
    return is_wide_ && !may_have_run_ && demand_.others_in_time &&
           shared_.chooser.is_too_late( demand_, *service_ );
}

/// True where a wide prompt would be late with `choice` while others wait that
/// can be in time: in a wave engines that serve the oldest first serve all of
/// them late.
auto exchange::yields( placement_choice const& choice ) const -> bool
{
    auto const first =
        demand_.waited + core::duration_of( choice.first_event_ms / 1'000 );
    return is_wide_ && !may_have_run_ && demand_.others_in_time &&
           first > demand_.latency_objective;
}

auto exchange::stop_waiting() -> void
{
    patience_call_.reset();
    if ( std::exchange( waiting_, false ) )
        leave_wide_queue();
}

auto exchange::enter_wide_queue() -> void
{
    if ( !is_wide_ || std::exchange( in_wide_queue_, true ) )
        return;
    shared_.board.wide().enter( due() );
    shared_.announcer.waiting_changed();
}

auto exchange::leave_wide_queue() -> void
{
    if ( !std::exchange( in_wide_queue_, false ) )
        return;
    shared_.board.wide().leave( due() );
    shared_.announcer.waiting_changed();
}

auto exchange::wait_for_room() -> void
{
    shared_.room.add( shared_from_this() );
    begin_waiting();
}

auto exchange::begin_waiting() -> void
{
    waiting_ = true;
    if ( !booking_ )
        enter_wide_queue();
    auto const until = std::min( deadline_, patience_until_ ) - refusal_margin;
    patience_call_ =
        shared_.scheduler.call_after( until - shared_.scheduler.now(),
                                      [this]
                                      {
                                          on_out_of_patience();
                                      } );
}

/// Keeps the targets, which read for others now. An engine reads what came
/// last first: sent at once, the parts would hold up those that read now.
auto exchange::hold_booking( placement_choice choice ) -> void
{
    auto made = booking{};
    made.start = shared_.scheduler.now() +
                 core::duration_of( choice.starts_in_ms / 1'000 );
    made.serial = add_work( choice );
    made.choice = std::move( choice );
    booking_ = std::move( made );
    record_booking( "made" );
    leave_wide_queue();
}

auto exchange::record_booking( std::string now ) -> void
{
    auto const& choice = booking_->choice;
    shared_.log.record( booking_changed{
        request_.id, choice.targets.front()->facts.id, choice.targets.size(),
        std::move( now ), choice.starts_in_ms, choice.first_event_ms,
        shared_.scheduler.now() - request_.received, demand_.prompt_tokens } );
}

/// True where the request has been sent.
auto exchange::keep_booking( core::instant now ) -> bool
{
    auto const usable = is_current( booking_->choice ) &&
                        std::all_of( booking_->choice.targets.begin(),
                                     booking_->choice.targets.end(),
                                     [now]( auto const& t )
                                     {
                                         return t->may_get_work( now );
                                     } );
    if ( !usable )
    {
        drop_booking();
        return try_start();
    }
    if ( !shared_.board.reads_first( shared_.self, booking_->serial ) &&
         now < booking_->start + booking_grace )
        return false;
    stop_waiting();
    begin( booking_->choice );
    return true;
}

auto exchange::drop_booking() -> void
{
    if ( !booking_ )
        return;
    record_booking( "dropped" );
    shared_.board.end_work( shared_.self, booking_->serial,
                            shared_.scheduler.now() );
    shared_.announcer.work_ended( booking_->serial );
    booking_.reset();
    if ( waiting_ && is_wide_ )
        enter_wide_queue();
    shared_.room.poke();
}

auto exchange::on_out_of_patience() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ || !waiting_ )
        return;
    if ( may_have_run_ )
        return fail( status_bad_gateway, "no_room_for_repeat" );
    refuse( status_unavailable, "no_room", predicted_room() );
}

/// When there may be room: the longer the queue, the later, spread so that
/// those who were refused together do not come back together.
auto exchange::predicted_room() const -> core::duration
{
    constexpr auto for_each_waiting = core::duration( 10ms );
    constexpr auto most = core::duration( 1500ms );
    auto const queue =
        std::min( most, for_each_waiting *
                            static_cast<std::int64_t>( shared_.room.size() ) );
    auto const spread = std::uniform_int_distribution<std::int64_t>(
        0, core::duration( 300ms ).count() )( shared_.random );
    auto const reading =
        is_wide_ ? shared_.chooser.shortest_reading( demand_, *service_ ) *
                       return_per_reading
                 : core::duration( 0 );
    return std::max( queue, reading ) + core::duration( spread );
}

}
