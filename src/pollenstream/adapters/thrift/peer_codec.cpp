#include <pollenstream/adapters/thrift/peer_codec.hpp>

#include <algorithm>
#include <chrono>

namespace pollenstream::adapters::thrift
{

namespace
{

auto to_wire( membership::member const& m ) -> wire::member
{
    auto w = wire::member{};
    w.id = m.id.str();
    w.place = m.data_centre.str();
    w.callers = core::to_string( m.callers );
    w.peers = core::to_string( m.peers );
    w.incarnation = m.incarnation.count();
    w.version = m.version;
    w.phase = static_cast<std::int32_t>( m.phase );
    w.open_requests = m.open_requests;
    return w;
}

auto read_phase( std::int32_t phase ) -> membership::member_phase
{
    auto const last =
        static_cast<std::int32_t>( membership::member_phase::gone );
    return static_cast<membership::member_phase>(
        std::clamp( phase, std::int32_t{ 0 }, last ) );
}

auto from_wire( wire::member const& w ) -> core::result<membership::member>
{
    auto const callers = core::parse_address( w.callers );
    if ( !callers )
        return callers.error();
    auto const peers = core::parse_address( w.peers );
    if ( !peers )
        return peers.error();
    auto m = membership::member{};
    m.id = core::instance_id( w.id );
    m.data_centre = core::data_centre_id( w.place );
    m.callers = callers.value();
    m.peers = peers.value();
    m.incarnation = core::incarnation( w.incarnation );
    m.version = w.version;
    m.phase = read_phase( w.phase );
    m.open_requests = w.open_requests;
    return m;
}

auto read_status( std::int32_t status ) -> ports::answer_status
{
    auto const last =
        static_cast<std::int32_t>( ports::answer_status::unknown );
    if ( status < 0 || status > last )
        return ports::answer_status::unknown;
    return static_cast<ports::answer_status>( status );
}

}

auto to_wire( ports::heartbeat const& h ) -> wire::heartbeat
{
    auto w = wire::heartbeat{};
    w.sender = to_wire( h.sender );
    for ( auto const& each : h.changes )
        w.changes.push_back( to_wire( each ) );
    w.revision = h.revision.count();
    w.configuration_hash = h.fingerprint;
    w.wants_all = h.wants_all;
    return w;
}

auto from_wire( wire::heartbeat const& w ) -> core::result<ports::heartbeat>
{
    auto const sender = from_wire( w.sender );
    if ( !sender )
        return sender.error();
    auto h = ports::heartbeat{};
    h.sender = sender.value();
    for ( auto const& each : w.changes )
    {
        auto const m = from_wire( each );
        if ( m && membership::has_valid_names( m.value() ) )
            h.changes.push_back( m.value() );
    }
    h.revision = core::revision( w.revision );
    h.fingerprint = w.configuration_hash;
    h.wants_all = w.wants_all;
    return h;
}

auto to_wire( ports::peer_configuration const& c ) -> wire::configuration
{
    auto w = wire::configuration{};
    w.revision = c.revision.count();
    w.head = c.head;
    for ( auto const& each : c.documents )
    {
        auto d = wire::document{};
        d.name = each.name;
        d.text = each.text;
        w.documents.push_back( d );
    }
    return w;
}

auto from_wire( wire::configuration const& w ) -> ports::peer_configuration
{
    auto c = ports::peer_configuration{};
    c.revision = core::revision( w.revision );
    c.head = w.head;
    for ( auto const& each : w.documents )
        c.documents.push_back( { each.name, each.text } );
    return c;
}

auto to_wire( ports::forwarded_call const& c ) -> wire::forwarded_call
{
    auto w = wire::forwarded_call{};
    w.service_id = c.service.str();
    w.profile_id = c.profile.str();
    w.workspace_id = c.workspace.str();
    w.ticket = c.ticket;
    w.method = c.call.method;
    w.path = c.call.path;
    w.content_type = c.call.content_type;
    w.body = c.call.body;
    w.time_left_ms = core::milliseconds_of( c.call.time_left );
    return w;
}

auto from_wire( wire::forwarded_call const& w ) -> ports::forwarded_call
{
    auto c = ports::forwarded_call{};
    c.service = core::service_id( w.service_id );
    c.profile = core::profile_id( w.profile_id );
    c.workspace = core::workspace_id( w.workspace_id );
    c.ticket = w.ticket;
    c.call.method = w.method;
    c.call.path = w.path;
    c.call.content_type = w.content_type;
    c.call.body = w.body;
    c.call.time_left = std::chrono::milliseconds( w.time_left_ms );
    return c;
}

auto to_wire( state::call_outcome const& o ) -> wire::forwarded_reply
{
    auto w = wire::forwarded_reply{};
    w.status = static_cast<std::int32_t>( o.status );
    w.http_status = o.reply.status;
    w.content_type = o.reply.content_type;
    w.body = o.reply.body;
    w.reason = o.reason;
    w.detail = o.detail;
    return w;
}

auto from_wire( wire::forwarded_reply const& w ) -> state::call_outcome
{
    auto o = state::call_outcome{};
    o.status = read_status( w.status );
    o.reply.status = w.http_status;
    o.reply.content_type = w.content_type;
    o.reply.body = w.body;
    o.reason = w.reason;
    o.detail = w.detail;
    return o;
}

}
