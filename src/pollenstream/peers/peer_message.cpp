#include <pollenstream/peers/peer_message.hpp>

#include <nlohmann/json.hpp>

namespace pollenstream::peers
{

namespace
{

using nlohmann::json;

/// Raised with each change of the layout; others are passed over.
constexpr auto layout = 5;

auto work_to_json( exchange::open_work const& work ) -> json
{
    auto parts = json::array();
    for ( auto const& part : work.parts )
        parts.push_back( json::array(
            { part.target.str(), static_cast<std::int64_t>( part.read_ms * 10 ),
              part.memory_tokens, part.lifetime.count() } ) );
    return json::array( { work.serial, work.context_tokens,
                          work.tolerated_gap_ms, work.reading,
                          std::move( parts ) } );
}

auto work_from_json( json const& object ) -> exchange::open_work
{
    auto work = exchange::open_work{};
    work.serial = object.at( 0 ).get<std::uint64_t>();
    work.context_tokens = object.at( 1 ).get<std::int64_t>();
    work.tolerated_gap_ms = object.at( 2 ).get<std::int64_t>();
    work.reading = object.at( 3 ).get<bool>();
    for ( auto const& part : object.at( 4 ) )
        work.parts.push_back(
            { core::target_id( part.at( 0 ).get<std::string>() ),
              part.at( 1 ).get<double>() / 10, part.at( 2 ).get<std::int64_t>(),
              core::target_lifetime( part.at( 3 ).get<std::int64_t>() ) } );
    return work;
}

auto to_json( peer_message const& m ) -> json
{
    auto work = json::array();
    for ( auto const& w : m.work )
        work.push_back( work_to_json( w ) );
    auto shunned = json::array();
    for ( auto const& s : m.shunned )
        shunned.push_back( json::array(
            { s.target.id.str(), s.target.lifetime.count(), s.time_ms } ) );
    return json::array(
        { layout,
          m.sender.str(),
          m.incarnation.count(),
          m.ip,
          m.place.str(),
          m.callers,
          m.known_until.count(),
          m.ready,
          m.leaving,
          m.complete,
          std::move( work ),
          m.reading_ended,
          m.ended,
          std::move( shunned ),
          m.known_ips,
          m.store_served_ms,
          m.store_age_ms,
          m.wide_waiting,
          m.wide_due_ms ? json( *m.wide_due_ms ) : json(),
          json::binary( { m.update.begin(), m.update.end() } ) } );
}

auto from_json( json const& object ) -> peer_message
{
    auto m = peer_message{};
    auto at = std::size_t{ 1 };
    m.sender = core::instance_id( object.at( at++ ).get<std::string>() );
    m.incarnation = core::incarnation( object.at( at++ ).get<std::int64_t>() );
    m.ip = object.at( at++ ).get<std::string>();
    m.place = core::place_id( object.at( at++ ).get<std::string>() );
    m.callers = object.at( at++ ).get<std::string>();
    m.known_until =
        ports::store_revision( object.at( at++ ).get<std::int64_t>() );
    m.ready = object.at( at++ ).get<bool>();
    m.leaving = object.at( at++ ).get<bool>();
    m.complete = object.at( at++ ).get<bool>();
    for ( auto const& w : object.at( at++ ) )
        m.work.push_back( work_from_json( w ) );
    m.reading_ended = object.at( at++ ).get<std::vector<std::uint64_t>>();
    m.ended = object.at( at++ ).get<std::vector<std::uint64_t>>();
    for ( auto const& s : object.at( at++ ) )
        m.shunned.push_back(
            { { core::target_id( s.at( 0 ).get<std::string>() ),
                core::target_lifetime( s.at( 1 ).get<std::int64_t>() ) },
              s.at( 2 ).get<std::int64_t>() } );
    m.known_ips = object.at( at++ ).get<std::vector<std::string>>();
    m.store_served_ms = object.at( at++ ).get<std::int64_t>();
    m.store_age_ms = object.at( at++ ).get<std::int64_t>();
    m.wide_waiting = object.at( at++ ).get<std::int64_t>();
    auto const& due = object.at( at++ );
    if ( !due.is_null() )
        m.wide_due_ms = due.get<std::int64_t>();
    auto const& update = object.at( at++ ).get_binary();
    m.update.assign( update.begin(), update.end() );
    return m;
}

}

auto encode( peer_message const& message ) -> std::string
{
    auto bytes = std::string{};
    json::to_cbor( to_json( message ), bytes );
    return bytes;
}

auto decode( std::string_view bytes ) -> core::result<peer_message>
{
    try
    {
        auto const object = json::from_cbor( bytes );
        if ( !object.is_array() || object.at( 0 ) != layout )
            return core::error{ core::error_code::malformed,
                                "other layout of peer message" };
        return from_json( object );
    }
    catch ( json::exception const& e )
    {
        return core::error{ core::error_code::malformed, e.what() };
    }
}

}
