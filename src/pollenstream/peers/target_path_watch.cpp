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
constexpr auto probe_period = core::duration( 450ms );
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
    checks_.start();
}

auto target_path_watch::check() -> void
{
    auto const now = context_.scheduler.now();
    auto& path = context_.path;
    group_.set_last_target_answer( path.last_answer() );
    path.update( now, group_.fleet_answered_at(),
                 std::max<std::size_t>( 1, probes_per_round_ ) );
    if ( path.state() != exchange::path_state::sound && now >= next_probes_at_ )
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

auto target_path_watch::targets_to_probe()
    -> std::vector<std::shared_ptr<exchange::target_entry>>
{
    auto chosen = std::vector<std::shared_ptr<exchange::target_entry>>{};
    for ( auto const& [id, target] : context_.loads.all() )
        if ( target->takes_work() )
            chosen.push_back( target );
    std::shuffle( chosen.begin(), chosen.end(), context_.random );
    chosen.resize( std::min( chosen.size(), max_probes_per_round ) );
    return chosen;
}

auto target_path_watch::probe_targets() -> void
{
    next_probes_at_ = context_.scheduler.now() + probe_period;
    auto const targets = targets_to_probe();
    probes_per_round_ = targets.size();
    for ( auto const& target : targets )
        probe_.probe(
            target->properties.address,
            [this, alive = std::weak_ptr( alive_token_ )]( auto listens )
            {
                if ( !alive.expired() )
                    on_probed( listens );
            } );
}

auto target_path_watch::on_probed( std::optional<bool> listens ) -> void
{
    if ( listens.value_or( false ) )
        context_.path.note_answer( context_.scheduler.now() );
    else
        context_.path.note_failed_probe();
}

}
