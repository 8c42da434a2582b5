#include "status.hpp"

#include "table.hpp"

namespace apps::tool
{

namespace
{

auto yes_or_no( web::json::value const& value ) -> char const*
{
    return value.as_bool() ? "yes" : "no";
}

auto print_placing( web::json::value const& placing, std::ostream& out ) -> void
{
    out << "prompts are placed by";
    for ( auto const& id : placing.at( "coordinators" ).as_array() )
        out << ' ' << id.as_string();
    out << ", asks waiting here " << placing.at( "asks_waiting" ).serialize()
        << '\n';
}

auto print_drained( web::json::value const& drained, std::ostream& out ) -> void
{
    if ( drained.size() == 0 )
        return;
    out << "drained by the operator:";
    for ( auto const& id : drained.as_array() )
        out << ' ' << id.as_string();
    out << '\n';
}

auto print_violations( web::json::value const& invariants, std::ostream& out )
    -> void
{
    for ( auto const& [name, counts] : invariants.as_object() )
    {
        auto const violations =
            counts.at( "violations" ).as_number().to_int64();
        if ( violations > 0 )
            out << "VIOLATED " << name << ": " << violations << " times\n";
    }
}

}

auto print_status( web::json::value const& state, std::ostream& out ) -> void
{
    out << "instance " << state.at( "instance" ).as_string()
        << ", configuration " << state.at( "configuration" ).serialize()
        << ", open requests " << state.at( "open_requests" ).serialize()
        << ", waiting " << state.at( "waiting_requests" ).serialize()
        << ", stopping " << yes_or_no( state.at( "stopping" ) ) << '\n';
    auto const& store = state.at( "store" );
    out << "store serves " << yes_or_no( store.at( "serves" ) )
        << ", read here " << yes_or_no( store.at( "reads" ) )
        << ", known until " << store.at( "known_until" ).serialize() << '\n';
    if ( state.has_field( "placing" ) )
        print_placing( state.at( "placing" ), out );
    if ( state.has_field( "drained_places" ) )
        print_drained( state.at( "drained_places" ), out );
    print_violations( state.at( "invariants" ), out );
    out << '\n';
    print_table( state.at( "targets" ),
                 { "id", "service", "place", "leaving", "gone", "drained",
                   "may_get_work", "requests", "writers", "backlog_ms",
                   "slowdown", "memory_tokens", "failure_share", "warming_up",
                   "limit", "sent_per_second" },
                 out );
    out << '\n';
    print_table( state.at( "peers" ),
                 { "id", "ip", "alive", "ready", "leaving", "known_until",
                   "heard_ms_ago" },
                 out );
}

}
