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
                        registry_state is_current )
    : context_( context ), group_( group ), probe_( probe ),
      is_current_( std::move( is_current ) )
{
}

auto quarantine::start() -> void
{
    context_.crashes.on_suspected = [this]( auto const& last )
    {
        look_at( last );
    };
    context_.crashes.on_quarantined = [this]( auto content )
    {
        new_.push_back( content );
        // The request that found it out is in the middle of its own end.
        if ( !take_call_ )
            take_call_ = context_.scheduler.call_after( 0ms,
                                                        [this]
                                                        {
                                                            take_new();
                                                        } );
    };
    review();
}

/// A target that has ended refuses connections until it starts again, which
/// takes seconds. Where it cannot be told the breaks are believed.
auto quarantine::look_at( exchange::crashed_run const& last ) -> void
{
    auto const at = context_.loads.find_lifetime( last.target );
    if ( !at || at->gone )
        return context_.crashes.prove( last.content );
    probe_.probe( at->properties.address,
                  [this, last, lives = std::weak_ptr( lives_ )]( auto listens )
                  {
                      if ( lives.expired() )
                          return;
                      if ( listens.value_or( false ) )
                          context_.crashes.note_alive(
                              last.target, context_.scheduler.now() );
                      else
                          context_.crashes.prove( last.content );
                      context_.queue.poke();
                  } );
}

auto quarantine::take_new() -> void
{
    auto const done = std::move( take_call_ );
    for ( auto const content : std::exchange( new_, {} ) )
        hold( content );
}

auto quarantine::hold( exchange::content_id content ) -> void
{
    auto targets = std::string{};
    for ( auto const& run : context_.crashes.crashes_of( content ) )
        targets += ( targets.empty() ? "" : "," ) + run.target.id.str();
    note( content, "quarantined", "broke at " + targets );
    held_.insert( content );
    group_.broadcast_quarantined( content );
    if ( on_changed )
        on_changed( content );
    auto const open = std::vector( context_.open.begin(), context_.open.end() );
    for ( auto* const which : open )
        if ( context_.open.contains( which ) )
            which->on_quarantined( content );
}

auto quarantine::lift_cleared() -> void
{
    for ( auto at = held_.begin(); at != held_.end(); )
    {
        auto const content = *at;
        if ( context_.crashes.is_quarantined( content ) )
        {
            ++at;
            continue;
        }
        at = held_.erase( at );
        note( content, "lifted", "served, or its targets live" );
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
        [this, is_current = is_current_()]( auto const& target )
    {
        auto const at = context_.loads.find_lifetime( target );
        return is_current && at && !at->gone;
    };
    context_.crashes.review( context_.scheduler.now(), is_listed );
    lift_cleared();
}

auto quarantine::note( exchange::content_id content,
                       std::string now,
                       std::string because ) -> void
{
    context_.log.record( exchange::state_change{ "content",
                                                 exchange::to_string( content ),
                                                 std::move( now ),
                                                 std::move( because ),
                                                 {} } );
}

}
