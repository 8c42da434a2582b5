#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/peers/quarantine.hpp>

#include <chrono>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

constexpr auto review_period = core::duration( 1s );

}

quarantine::quarantine( exchange::exchange_context& context,
                        peer_group& group,
                        exchange::target_probe& probe,
                        registry_check is_registry_current )
    : context_( context ), group_( group ), probe_( probe ),
      is_registry_current_( std::move( is_registry_current ) )
{
}

auto quarantine::start() -> void
{
    context_.crashes.may_quarantine = [this]
    {
        return group_.coordinator_position().has_value();
    };
    context_.crashes.may_begin_trials = [this]
    {
        return group_.is_warm_coordinator();
    };
    context_.crashes.on_trial = [this]( auto const& group )
    {
        on_trial( group );
    };
    context_.crashes.on_confirmation_needed = [this]( auto const& target )
    {
        probe_target( target );
    };
    context_.crashes.on_changed = [this]
    {
        schedule_update();
    };
    review();
}

/// The history can change while a request is ending, so that requests are ended
/// from a call of their own.
auto quarantine::schedule_update() -> void
{
    if ( !update_call_ )
        update_call_ = context_.scheduler.call_after( 0ms,
                                                      [this]
                                                      {
                                                          update();
                                                      } );
}

/// A target that has ended refuses connections until it has started again,
/// which takes seconds. It counts as ended as well if it is not known any more,
/// or if the probe cannot tell.
auto quarantine::probe_target( exchange::target_ref const& target ) -> void
{
    auto const at = context_.loads.find_lifetime( target );
    if ( !at || at->gone )
        return context_.crashes.note_ended( target );
    probe_.probe(
        at->properties.address,
        [this, target, alive = std::weak_ptr( alive_token_ )]( auto listens )
        {
            if ( alive.expired() )
                return;
            if ( listens.value_or( false ) )
                context_.crashes.note_alive( target, context_.scheduler.now() );
            else
                context_.crashes.note_ended( target );
            context_.queue.schedule_round();
        } );
}

auto quarantine::update() -> void
{
    auto const done = std::move( update_call_ );
    auto has_begun = false;
    for ( auto const& group : context_.crashes.quarantined() )
        if ( quarantined_.insert( group.suspects ).second )
        {
            begin_quarantine( group );
            has_begun = true;
        }
    lift_ended_quarantines();
    if ( has_begun )
        end_requests();
}

auto quarantine::begin_quarantine( exchange::quarantined_group const& group )
    -> void
{
    auto targets = std::string{};
    for ( auto const& crash : group.crashes )
        targets += ( targets.empty() ? "" : "," ) + crash.target.id.str();
    log_change( group.suspects, "quarantined",
                "attempts broke off at " + targets );
    group_.broadcast_quarantined( group );
    if ( on_changed )
        on_changed( group.suspects );
}

/// The other coordinators have to know of a trial before they grant another.
auto quarantine::on_trial( exchange::quarantined_group const& group ) -> void
{
    auto const pause = group.trials.next() - context_.scheduler.now();
    log_change( group.suspects, "trial",
                "the next in " +
                    std::to_string( core::milliseconds_of( pause ) ) + " ms" );
    group_.broadcast_quarantined( group );
    if ( on_changed )
        on_changed( group.suspects );
}

auto quarantine::end_requests() -> void
{
    // Ending one can end other exchanges.
    auto const open = std::vector( context_.open.begin(), context_.open.end() );
    for ( auto* const which : open )
        if ( context_.open.contains( which ) )
            which->on_quarantine_changed();
}

auto quarantine::lift_ended_quarantines() -> void
{
    for ( auto at = quarantined_.begin(); at != quarantined_.end(); )
    {
        auto const suspects = *at;
        if ( context_.crashes.is_group( suspects ) )
        {
            ++at;
            continue;
        }
        at = quarantined_.erase( at );
        log_change( suspects, "lifted",
                    "served, targets alive, another cause, or too old" );
        if ( on_changed )
            on_changed( suspects );
    }
}

auto quarantine::review() -> void
{
    review_call_ = context_.scheduler.call_after( review_period,
                                                  [this]
                                                  {
                                                      review();
                                                  } );
    auto const is_listed =
        [this, is_current = is_registry_current_()]( auto const& target )
    {
        auto const at = context_.loads.find_lifetime( target );
        return is_current && at && !at->gone;
    };
    context_.crashes.prune( context_.scheduler.now(), is_listed );
}

auto quarantine::log_change( exchange::suspect_list const& suspects,
                             std::string state,
                             std::string reason ) -> void
{
    auto const* const what = exchange::prompt_parts_of( suspects ).empty()
                                 ? "content"
                                 : "prompt_part";
    context_.log.record(
        exchange::state_change{ what,
                                exchange::to_string( suspects ),
                                std::move( state ),
                                std::move( reason ),
                                {} } );
}

}
