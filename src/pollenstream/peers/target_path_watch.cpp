#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/peers/target_path_watch.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

constexpr auto check_period = core::duration( 50ms );
/// Between two rounds of probes. Longer than a probe takes at most.
constexpr auto min_probe_period = core::duration( 450ms );
constexpr auto max_probes_per_round = std::size_t{ 3 };

auto name_of( exchange::path_state state ) -> char const*
{
    switch ( state )
    {
    case exchange::path_state::sound:
        return "sound";
    case exchange::path_state::doubtful:
        return "doubtful";
    case exchange::path_state::cut:
        return "cut";
    }
    return "";
}

}

target_path_watch::target_path_watch( exchange::exchange_context& context,
                                      peer_group& group,
                                      exchange::target_probe& probe )
    : context_( context ), group_( group ), probe_( probe ),
      checks_( context.scheduler,
               check_period,
               [this]
               {
                   check();
               } )
{
}

auto target_path_watch::start() -> void
{
    context_.path.on_changed = [this]( auto state )
    {
        on_state( state );
    };
    group_.on_peer_cut = [this]
    {
        quiet_probes_.hasten( context_.scheduler.now(), population(),
                              context_.random );
    };
    checks_.start();
}

auto target_path_watch::check() -> void
{
    auto const now = context_.scheduler.now();
    auto& path = context_.path;
    group_.set_last_target_answer( path.last_answer() );
    path.update( now, group_.fleet_answered_at(),
                 std::max<std::size_t>( 1, probes_per_round_ ) );
    if ( path.state() == exchange::path_state::sound )
        probe_if_quiet();
    else if ( now >= next_probes_at_ )
        probe_targets();
}

auto target_path_watch::on_state( exchange::path_state state ) -> void
{
    context_.log.record( exchange::state_change{
        "path", "targets", name_of( state ),
        "a target last answered any instance at the given age",
        context_.scheduler.now() - group_.fleet_answered_at() } );
    group_.set_cut_from_targets( state == exchange::path_state::cut );
    switch ( state )
    {
    case exchange::path_state::sound:
        doubtful_rounds_ = 0;
        return context_.queue.schedule_round();
    case exchange::path_state::doubtful:
        return probe_targets();
    case exchange::path_state::cut:
        return begin_cut();
    }
}

auto target_path_watch::begin_cut() -> void
{
    context_.loads.forget_failures();
    context_.crashes.forget_since( context_.path.doubtful_since() );
    // Refusing one can end other exchanges.
    auto const open = std::vector( context_.open.begin(), context_.open.end() );
    for ( auto* const which : open )
        if ( context_.open.contains( which ) )
            which->on_cut_from_targets();
}

auto target_path_watch::usable_targets() const
    -> std::vector<std::shared_ptr<exchange::target_entry>>
{
    auto usable = std::vector<std::shared_ptr<exchange::target_entry>>{};
    for ( auto const& [id, target] : context_.loads.all() )
        if ( target->takes_work() )
            usable.push_back( target );
    return usable;
}

auto target_path_watch::population() const -> probe_population
{
    return { group_.size(), context_.loads.all().size() };
}

auto target_path_watch::targets_to_probe( std::size_t count )
    -> std::vector<std::shared_ptr<exchange::target_entry>>
{
    auto chosen = usable_targets();
    std::shuffle( chosen.begin(), chosen.end(), context_.random );
    chosen.resize( std::min( chosen.size(), count ) );
    return chosen;
}

auto target_path_watch::probe_targets() -> void
{
    next_probes_at_ = context_.scheduler.now() + probe_period();
    ++doubtful_rounds_;
    auto const targets = targets_to_probe( max_probes_per_round );
    probes_per_round_ = targets.size();
    for ( auto const& target : targets )
        probe( *target, &target_path_watch::on_probe_failed );
}

/// While no instance reaches targets, all of them probe: less and less often.
auto target_path_watch::probe_period() const -> core::duration
{
    if ( context_.path.is_cut() )
        return min_probe_period;
    return min_probe_period * ( 1 << std::min( doubtful_rounds_, 3 ) );
}

/// Without requests, nothing else tells of a cut.
auto target_path_watch::probe_if_quiet() -> void
{
    auto const is_due = quiet_probes_.is_due( context_.scheduler.now(),
                                              context_.path.last_answer(),
                                              population(), context_.random );
    if ( !is_due )
        return;
    for ( auto const& target : targets_to_probe( 1 ) )
        probe( *target, &target_path_watch::on_quiet_probe_failed );
}

auto target_path_watch::probe(
    exchange::target_entry const& target,
    void ( target_path_watch::*on_failed )( core::instant ) ) -> void
{
    context_.counters.path_probes.add();
    probe_.probe( target.properties.address,
                  [this, on_failed, began = context_.scheduler.now(),
                   alive = std::weak_ptr( alive_token_ )]( auto listens )
                  {
                      if ( alive.expired() )
                          return;
                      if ( listens.value_or( false ) )
                          context_.path.note_answer( context_.scheduler.now() );
                      else
                          ( this->*on_failed )( began );
                  } );
}

auto target_path_watch::on_probe_failed( core::instant /*began*/ ) -> void
{
    context_.path.note_failed_probe();
}

auto target_path_watch::on_quiet_probe_failed( core::instant began ) -> void
{
    if ( context_.path.last_answer() < began )
        context_.path.note_failed_quiet_probe( context_.scheduler.now() );
}

}
