#include <pollenstream/observation/lost_requests.hpp>

namespace pollenstream::observation
{

namespace
{

constexpr auto first_error_status = 400;
constexpr auto status_unauthorized = 401;
constexpr auto status_not_found = 404;
constexpr auto status_unavailable = 503;
constexpr auto status_timed_out = 504;

/// True for an end that the caller or the configuration asked for. A call whose
/// time limit is shorter than its objective can't be served in time.
auto is_no_loss( exchange::request_ended const& e ) -> bool
{
    return e.outcome == "caller_gone" || e.status == status_unauthorized ||
           e.status == status_not_found ||
           ( e.status == status_timed_out && e.total < e.latency_objective );
}

auto exceeds( core::duration elapsed, core::duration objective ) -> bool
{
    return objective > core::duration( 0 ) && elapsed > objective;
}

auto is_late( exchange::request_ended const& e ) -> bool
{
    auto const reached =
        e.first_event > core::duration( 0 ) ? e.first_event : e.total;
    return exceeds( reached, e.latency_objective ) ||
           exceeds( e.longest_gap, e.gap_objective );
}

}

auto name_of( loss_kind kind ) -> char const*
{
    switch ( kind )
    {
    case loss_kind::late:
        return "late";
    case loss_kind::refused:
        return "refused";
    case loss_kind::failed:
        return "failed";
    case loss_kind::number_of_kinds:
        break;
    }
    return "unnamed";
}

auto loss_of( exchange::request_ended const& e ) -> std::optional<loss_kind>
{
    if ( is_no_loss( e ) )
        return std::nullopt;
    if ( e.outcome == "served" && e.status < first_error_status )
        return is_late( e ) ? std::optional( loss_kind::late ) : std::nullopt;
    // A target's own 503 is relayed as `served` or `target_failed`; any other
    // 503 is a refusal of this gateway.
    auto const is_own = e.outcome != "served" && e.outcome != "target_failed";
    return is_own && e.status == status_unavailable ? loss_kind::refused
                                                    : loss_kind::failed;
}

auto lost_requests::add( core::workspace_id const& workspace, loss_kind kind )
    -> void
{
    auto const name =
        workspace.str().empty() ? std::string( none ) : workspace.str();
    auto const has_own_entry = by_workspace_.size() < max_workspaces ||
                               by_workspace_.count( name ) != 0;
    auto& entry = by_workspace_[has_own_entry ? name : others];
    ++entry.at( static_cast<std::size_t>( kind ) );
}

}
