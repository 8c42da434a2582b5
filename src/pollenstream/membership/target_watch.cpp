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

/// A target whose load report is older than this is polled.
constexpr auto max_report_age = core::duration( 500ms );
/// A suspect target of a plain service has no load report to poll, so after
/// this time it counts as alive again and the next call is the probe.
constexpr auto plain_suspect_timeout = core::duration( 3s );
/// Targets per instance of a service that is not configured yet.
constexpr auto default_max_targets = std::size_t{ 24 };

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

auto target_watch::apply_listing( ports::instance_listing const& listing )
    -> void
{
    auto by_service =
        std::map<core::service_id, std::vector<ports::listed_target>>{};
    for ( auto const& each : listing.targets )
        by_service[each.service].push_back( each );
    auto kept = std::vector<ports::listed_target>{};
    for ( auto const& [service, targets] : by_service )
    {
        auto const max_targets = holder_.read(
            [&id = service]( profiles::configuration const& c )
            {
                auto const* const known = c.find_service( id );
                return known ? static_cast<std::size_t>(
                                   known->targets_per_instance )
                             : default_max_targets;
            } );
        auto const chosen =
            select_targets( targets, { self_, data_centre_, max_targets } );
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
        auto const is_leaving = each.state == ports::listed_state::leaving;
        if ( is_leaving && known->set_phase( target_phase::leaving, now ) !=
                               target_phase::leaving )
            phase_changes.add();
        // A leaving target that is listed as live again was restarted.
        if ( !is_leaving && known->phase() == target_phase::leaving )
            known->set_phase( target_phase::alive, now );
    }
}

auto target_watch::poll() -> void
{
    auto const now = clock_.now();
    auto chosen = std::shared_ptr<routing::target>{};
    auto const urgency = [now]( routing::target const& t )
    {
        auto const is_suspect = t.phase() == target_phase::suspect;
        return std::tuple( is_suspect, t.probe_age( now ) );
    };
    for ( auto const& each : table_.all() )
    {
        if ( !is_model_target( *each ) )
            reinstate_after_timeout( *each, now );
        else if ( needs_poll( *each, now ) &&
                  ( !chosen || urgency( *each ) > urgency( *chosen ) ) )
            chosen = each;
    }
    if ( chosen )
        poll_target( chosen );
}

auto target_watch::needs_poll( routing::target const& t,
                               core::instant now ) const -> bool
{
    auto const phase = t.phase();
    if ( phase == target_phase::suspect )
        return true;
    return phase != target_phase::gone && t.report_age( now ) > max_report_age;
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

auto target_watch::reinstate_after_timeout( routing::target& t,
                                            core::instant now ) -> void
{
    auto const timed_out = t.phase() == target_phase::suspect &&
                           t.phase_age( now ) > plain_suspect_timeout;
    if ( !timed_out )
        return;
    t.set_phase( target_phase::alive, now );
    phase_changes.add();
}

auto target_watch::poll_target( std::shared_ptr<routing::target> const& polled )
    -> void
{
    polls.add();
    polled->note_probe( clock_.now() );
    auto const self = shared_from_this();
    auto const endpoint = polled->endpoint();
    engines_.load( endpoint,
                   [self, polled]( core::result<ports::load_report> const& r )
                   {
                       self->on_load( polled, r );
                   } );
}

auto target_watch::on_load( std::shared_ptr<routing::target> const& polled,
                            core::result<ports::load_report> const& report )
    -> void
{
    auto const now = clock_.now();
    if ( !report )
    {
        if ( polled->phase() == target_phase::alive )
        {
            polled->set_phase( target_phase::suspect, now );
            phase_changes.add();
        }
        return;
    }
    polled->take_report( report.value(), now );
    policy_.note_cached( polled->identity().id, report.value().cached );
    if ( polled->phase() == target_phase::suspect )
    {
        polled->set_phase( target_phase::alive, now );
        phase_changes.add();
    }
}

}
