#include <pollenstream/membership/target_selection.hpp>
#include <pollenstream/membership/target_watch.hpp>

#include <map>
#include <tuple>
#include <utility>

namespace pollenstream::membership
{

namespace
{

using namespace std::chrono_literals;
using routing::target_phase;

/// A report older than this is asked for anew.
constexpr auto old_report = core::duration( 500ms );
/// Plain services have no load report to probe with: after this time the next
/// call is the probe.
constexpr auto plain_suspicion = core::duration( 3s );
/// Targets per instance where a service is not configured yet.
constexpr auto default_most = std::size_t{ 24 };

}

target_watch::target_watch( core::instance_id self,
                            core::data_centre_id data_centre,
                            state::configuration_holder& holder,
                            routing::target_table& table,
                            routing::target_policy& policy,
                            ports::engine_client& engines,
                            ports::clock const& clock )
    : self_( std::move( self ) ), data_centre_( std::move( data_centre ) ),
      holder_( holder ), table_( table ), policy_( policy ),
      engines_( engines ), clock_( clock )
{
}

auto target_watch::take_listing( ports::instance_listing const& listing )
    -> void
{
    auto by_service =
        std::map<core::service_id, std::vector<ports::listed_target>>{};
    for ( auto const& each : listing.targets )
        by_service[each.service].push_back( each );
    auto kept = std::vector<ports::listed_target>{};
    for ( auto const& [service, targets] : by_service )
    {
        auto const most = holder_.read(
            [&id = service]( profiles::configuration const& c )
            {
                auto const* const known = c.find_service( id );
                return known ? static_cast<std::size_t>(
                                   known->targets_per_instance )
                             : default_most;
            } );
        auto const chosen =
            select_targets( targets, { self_, data_centre_, most } );
        kept.insert( kept.end(), chosen.begin(), chosen.end() );
    }
    auto identities = std::vector<routing::target_identity>{};
    for ( auto const& each : kept )
        identities.push_back(
            { each.id, each.service, each.data_centre, each.address } );
    auto const now = clock_.now();
    table_.replace( identities, now );
    for ( auto const& each : kept )
    {
        auto const known = table_.find( each.id );
        if ( !known )
            continue;
        auto const leaves = each.state == ports::listed_state::leaving;
        if ( leaves && known->set_phase( target_phase::leaving, now ) !=
                           target_phase::leaving )
            phase_changes.add();
        // A target that the list calls live again was started anew.
        if ( !leaves && known->phase() == target_phase::leaving )
            known->set_phase( target_phase::alive, now );
    }
}

auto target_watch::poll() -> void
{
    auto const now = clock_.now();
    auto chosen = std::shared_ptr<routing::target>{};
    auto const order = [now]( routing::target const& t )
    {
        auto const is_suspect = t.phase() == target_phase::suspect;
        return std::tuple( is_suspect, t.probe_age( now ) );
    };
    for ( auto const& each : table_.all() )
    {
        if ( !is_model_target( *each ) )
            forgive_later( *each, now );
        else if ( is_due( *each, now ) &&
                  ( !chosen || order( *each ) > order( *chosen ) ) )
            chosen = each;
    }
    if ( chosen )
        poll_one( chosen );
}

auto target_watch::is_due( routing::target const& t, core::instant now ) const
    -> bool
{
    auto const phase = t.phase();
    if ( phase == target_phase::suspect )
        return true;
    return phase != target_phase::gone && t.report_age( now ) > old_report;
}

auto target_watch::is_model_target( routing::target const& t ) const -> bool
{
    return holder_.read(
        [&]( profiles::configuration const& c )
        {
            auto const* const known = c.find_service( t.identity().service );
            return known && known->kind == profiles::service_kind::model;
        } );
}

auto target_watch::forgive_later( routing::target& t, core::instant now )
    -> void
{
    auto const is_over = t.phase() == target_phase::suspect &&
                         t.phase_age( now ) > plain_suspicion;
    if ( !is_over )
        return;
    t.set_phase( target_phase::alive, now );
    phase_changes.add();
}

auto target_watch::poll_one( std::shared_ptr<routing::target> const& which )
    -> void
{
    polls.add();
    which->note_probe( clock_.now() );
    auto const self = shared_from_this();
    auto const endpoint = which->endpoint();
    engines_.load( endpoint,
                   [self, which]( core::result<ports::load_report> const& r )
                   {
                       self->on_load( which, r );
                   } );
}

auto target_watch::on_load( std::shared_ptr<routing::target> const& which,
                            core::result<ports::load_report> const& report )
    -> void
{
    auto const now = clock_.now();
    if ( !report )
    {
        if ( which->phase() == target_phase::alive )
        {
            which->set_phase( target_phase::suspect, now );
            phase_changes.add();
        }
        return;
    }
    which->take_report( report.value(), now );
    policy_.note_cached( which->identity().id, report.value().cached );
    if ( which->phase() == target_phase::suspect )
    {
        which->set_phase( target_phase::alive, now );
        phase_changes.add();
    }
}

}
