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
    context_.crashes.on_confirmation_needed = [this]( auto const& last )
    {
        probe_target( last );
    };
    context_.crashes.on_quarantined = [this]( auto content )
    {
        new_contents_.push_back( content );
        // This can be called while a request for the content is ending, so
        // that the requests are ended from a call of their own.
        if ( !quarantine_call_ )
            quarantine_call_ =
                context_.scheduler.call_after( 0ms,
                                               [this]
                                               {
                                                   quarantine_new();
                                               } );
    };
    review();
}

/// A target that has ended refuses connections until it has started again,
/// which takes seconds. The content is quarantined as well if its target is not
/// known any more, or if the probe cannot tell.
auto quarantine::probe_target( exchange::crashed_run const& last ) -> void
{
    auto const at = context_.loads.find_lifetime( last.target );
    if ( !at || at->gone )
        return context_.crashes.confirm( last.content );
    probe_.probe(
        at->properties.address,
        [this, last, alive = std::weak_ptr( alive_token_ )]( auto listens )
        {
            if ( alive.expired() )
                return;
            if ( listens.value_or( false ) )
                context_.crashes.note_alive( last.target,
                                             context_.scheduler.now() );
            else
                context_.crashes.confirm( last.content );
            context_.queue.schedule_round();
        } );
}

auto quarantine::quarantine_new() -> void
{
    auto const done = std::move( quarantine_call_ );
    for ( auto const content : std::exchange( new_contents_, {} ) )
        begin_quarantine( content );
}

auto quarantine::begin_quarantine( exchange::content_id content ) -> void
{
    auto targets = std::string{};
    for ( auto const& run : context_.crashes.crashes_of( content ) )
        targets += ( targets.empty() ? "" : "," ) + run.target.id.str();
    log_change( content, "quarantined", "attempts broke off at " + targets );
    quarantined_.insert( content );
    group_.broadcast_quarantined( content );
    if ( on_changed )
        on_changed( content );
    // A call of `on_quarantined` can end other exchanges.
    auto const open = std::vector( context_.open.begin(), context_.open.end() );
    for ( auto* const which : open )
        if ( context_.open.contains( which ) )
            which->on_quarantined( content );
}

auto quarantine::lift_ended_quarantines() -> void
{
    for ( auto at = quarantined_.begin(); at != quarantined_.end(); )
    {
        auto const content = *at;
        if ( context_.crashes.is_quarantined( content ) )
        {
            ++at;
            continue;
        }
        at = quarantined_.erase( at );
        log_change(
            content, "lifted",
            "it was served, its targets are alive, or its crashes are old" );
        if ( on_changed )
            on_changed( content );
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
    lift_ended_quarantines();
}

auto quarantine::log_change( exchange::content_id content,
                             std::string state,
                             std::string reason ) -> void
{
    context_.log.record( exchange::state_change{ "content",
                                                 exchange::to_string( content ),
                                                 std::move( state ),
                                                 std::move( reason ),
                                                 {} } );
}

}
