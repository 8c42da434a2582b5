#include <pollenstream/peers/cbor.hpp>
#include <pollenstream/peers/peer_limits.hpp>
#include <pollenstream/peers/peer_message.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using nlohmann::json;

/// Number of the message layout, to be raised with each change of it. Messages
/// of another layout are ignored.
constexpr auto layout = 11;

auto ref_to_json( exchange::target_ref const& ref ) -> json
{
    return json::array( { ref.id.str(), ref.lifetime.count() } );
}

auto ref_from_json( json const& object ) -> exchange::target_ref
{
    return { core::target_id( object.at( 0 ).get<std::string>() ),
             core::target_lifetime( object.at( 1 ).get<std::int64_t>() ) };
}

auto parts_to_json( std::vector<exchange::work_part> const& all ) -> json
{
    auto parts = json::array();
    // Prefill times are sent in tenths of a millisecond.
    for ( auto const& part : all )
        parts.push_back(
            json::array( { part.target.str(),
                           static_cast<std::int64_t>( part.prefill_ms * 10 ),
                           part.memory_tokens, part.lifetime.count() } ) );
    return parts;
}

auto parts_from_json( json const& array ) -> std::vector<exchange::work_part>
{
    auto parts = std::vector<exchange::work_part>{};
    for ( auto const& part : array )
        parts.push_back(
            { core::target_id( part.at( 0 ).get<std::string>() ),
              part.at( 1 ).get<double>() / 10, part.at( 2 ).get<std::int64_t>(),
              core::target_lifetime( part.at( 3 ).get<std::int64_t>() ) } );
    return parts;
}

/// Clamps an age to one hour, because a message from another instance can
/// contain any number.
auto age_ms_from_json( json const& number ) -> std::int64_t
{
    constexpr auto max_age_ms = std::int64_t{ 3'600'000 };
    return std::clamp( number.get<std::int64_t>(), std::int64_t{ 0 },
                       max_age_ms );
}

auto ms_from_json( json const& number ) -> core::duration
{
    return std::chrono::milliseconds( number.get<std::int64_t>() );
}

auto work_to_json( exchange::open_work const& work ) -> json
{
    return json::array( { work.serial, work.context_tokens,
                          work.tolerated_gap_ms, work.prefilling,
                          work.is_suspect, work.reserves,
                          core::milliseconds_of( work.sent_ago ),
                          parts_to_json( work.parts ) } );
}

auto work_from_json( json const& object ) -> exchange::open_work
{
    auto work = exchange::open_work{};
    work.serial = object.at( 0 ).get<std::uint64_t>();
    work.context_tokens = object.at( 1 ).get<std::int64_t>();
    work.tolerated_gap_ms = object.at( 2 ).get<std::int64_t>();
    work.prefilling = object.at( 3 ).get<bool>();
    work.is_suspect = object.at( 4 ).get<bool>();
    work.reserves = object.at( 5 ).get<bool>();
    work.sent_ago =
        std::chrono::milliseconds( age_ms_from_json( object.at( 6 ) ) );
    work.parts = parts_from_json( object.at( 7 ) );
    return work;
}

auto suspects_to_json( exchange::suspect_list const& suspects ) -> json
{
    auto array = json::array();
    for ( auto const id : suspects )
        array.push_back( id.count() );
    return array;
}

/// Sorts the suspects, because a message can contain them in any order.
auto suspects_from_json( json const& array ) -> exchange::suspect_list
{
    auto suspects = exchange::suspect_list{};
    for ( auto const& id : array )
        suspects.emplace_back( id.get<std::int64_t>() );
    std::sort( suspects.begin(), suspects.end() );
    return suspects;
}

auto placement_request_to_json( exchange::placement_request const& request )
    -> json
{
    auto const& d = request.demand;
    // The coordinator may choose neither kind of target, so that they share one
    // list on the wire.
    auto excluded = json::array();
    for ( auto const& id : d.tried )
        excluded.push_back( id.str() );
    for ( auto const& id : d.paused )
        excluded.push_back( id.str() );
    auto parts = json::array();
    for ( auto const part : request.shared_parts )
        parts.push_back( part.count() );
    return json::array( { request.serial, request.attempt.str(),
                          d.service.str(), d.prompt_tokens, d.output_tokens,
                          core::milliseconds_of( d.latency_objective ),
                          core::milliseconds_of( d.gap_objective ),
                          core::milliseconds_of( d.min_gap_objective ),
                          core::milliseconds_of( d.waited ),
                          core::milliseconds_of( d.time_left ),
                          core::milliseconds_of( d.patience_left ),
                          std::move( excluded ), request.priority,
                          request.may_be_refused, request.content.count(),
                          std::move( parts ), request.continues_trial } );
}

auto placement_request_from_json( json const& object )
    -> exchange::placement_request
{
    auto request = exchange::placement_request{};
    auto& d = request.demand;
    auto at = std::size_t{ 0 };
    request.serial = object.at( at++ ).get<std::uint64_t>();
    request.attempt =
        exchange::attempt_id( object.at( at++ ).get<std::string>() );
    d.service = core::service_id( object.at( at++ ).get<std::string>() );
    d.prompt_tokens = object.at( at++ ).get<std::int64_t>();
    d.output_tokens = object.at( at++ ).get<std::int64_t>();
    d.latency_objective = ms_from_json( object.at( at++ ) );
    d.gap_objective = ms_from_json( object.at( at++ ) );
    d.min_gap_objective = ms_from_json( object.at( at++ ) );
    d.waited = ms_from_json( object.at( at++ ) );
    d.time_left = ms_from_json( object.at( at++ ) );
    d.patience_left = ms_from_json( object.at( at++ ) );
    for ( auto const& id : object.at( at++ ) )
        d.tried.emplace_back( id.get<std::string>() );
    request.priority = object.at( at++ ).get<int>();
    request.may_be_refused = object.at( at++ ).get<bool>();
    request.content =
        exchange::content_id( object.at( at++ ).get<std::int64_t>() );
    for ( auto const& part : object.at( at++ ) )
        request.shared_parts.emplace_back( part.get<std::int64_t>() );
    request.continues_trial = object.at( at++ ).get<bool>();
    return request;
}

auto answer_to_json( placement_answer const& a ) -> json
{
    return json::array(
        { a.serial, static_cast<int>( a.decision ), parts_to_json( a.parts ),
          static_cast<std::int64_t>( a.first_event_ms ), a.needs_reservation,
          a.waiting, a.reason, a.retry_after_ms, a.basis.requests,
          a.basis.prefilling, static_cast<std::int64_t>( a.basis.backlog_ms ),
          a.basis.limit_wait_ms, a.is_suspect, a.is_trial } );
}

auto answer_from_json( json const& object ) -> placement_answer
{
    auto a = placement_answer{};
    a.serial = object.at( 0 ).get<std::uint64_t>();
    a.decision = static_cast<placement_decision>(
        std::clamp( object.at( 1 ).get<int>(), 0,
                    static_cast<int>( placement_decision::not_ready ) ) );
    a.parts = parts_from_json( object.at( 2 ) );
    a.first_event_ms = object.at( 3 ).get<double>();
    a.needs_reservation = object.at( 4 ).get<bool>();
    a.waiting = object.at( 5 ).get<std::int64_t>();
    a.reason = object.at( 6 ).get<std::string>();
    a.retry_after_ms = object.at( 7 ).get<std::int64_t>();
    a.basis = {
        object.at( 8 ).get<std::int64_t>(), object.at( 9 ).get<std::int64_t>(),
        object.at( 10 ).get<double>(), object.at( 11 ).get<std::int64_t>() };
    a.is_suspect = object.at( 12 ).get<bool>();
    a.is_trial = object.at( 13 ).get<bool>();
    return a;
}

auto ejected_to_json( ejected_target const& e ) -> json
{
    return json::array( { ref_to_json( e.target ), e.duration_ms } );
}

auto ejected_from_json( json const& object ) -> ejected_target
{
    return { ref_from_json( object.at( 0 ) ),
             object.at( 1 ).get<std::int64_t>() };
}

auto failed_to_json( failed_target const& f ) -> json
{
    auto const turned_away = f.failure == exchange::target_failure::turned_away;
    return json::array( { ref_to_json( f.target ), turned_away } );
}

auto failed_from_json( json const& object ) -> failed_target
{
    return { ref_from_json( object.at( 0 ) ),
             object.at( 1 ).get<bool>() ? exchange::target_failure::turned_away
                                        : exchange::target_failure::failed };
}

auto limit_to_json( limit_update const& l ) -> json
{
    auto const rate = l.per_second ? json( *l.per_second ) : json();
    return json::array( { ref_to_json( l.target ), rate, l.request_age_ms,
                          l.answer_age_ms, l.unreported_ages_ms } );
}

auto limit_from_json( json const& object ) -> limit_update
{
    auto limit = limit_update{};
    limit.target = ref_from_json( object.at( 0 ) );
    if ( auto const& rate = object.at( 1 ); !rate.is_null() )
        limit.per_second = rate.get<double>();
    limit.request_age_ms = age_ms_from_json( object.at( 2 ) );
    limit.answer_age_ms = age_ms_from_json( object.at( 3 ) );
    for ( auto const& age : object.at( 4 ) )
        limit.unreported_ages_ms.push_back( age_ms_from_json( age ) );
    return limit;
}

auto crash_to_json( crash_update const& c ) -> json
{
    return json::array(
        { suspects_to_json( c.suspects ), ref_to_json( c.target ), c.age_ms } );
}

auto crash_from_json( json const& object ) -> crash_update
{
    return { suspects_from_json( object.at( 0 ) ),
             ref_from_json( object.at( 1 ) ),
             age_ms_from_json( object.at( 2 ) ) };
}

auto quarantine_to_json( quarantine_update const& q ) -> json
{
    auto crashes = json::array();
    for ( auto const& crash : q.crashes )
        crashes.push_back(
            json::array( { ref_to_json( crash.target ), crash.age_ms } ) );
    return json::array( { suspects_to_json( q.suspects ), std::move( crashes ),
                          q.trial_step, q.trial_age_ms, q.has_crash_times } );
}

auto quarantine_from_json( json const& object ) -> quarantine_update
{
    auto q = quarantine_update{};
    q.suspects = suspects_from_json( object.at( 0 ) );
    for ( auto const& crash : object.at( 1 ) )
        q.crashes.push_back( { ref_from_json( crash.at( 0 ) ),
                               age_ms_from_json( crash.at( 1 ) ) } );
    q.trial_step =
        std::max( std::int64_t{ 0 }, object.at( 2 ).get<std::int64_t>() );
    q.trial_age_ms = age_ms_from_json( object.at( 3 ) );
    q.has_crash_times = object.at( 4 ).get<bool>();
    return q;
}

auto silent_to_json( silent_instance const& s ) -> json
{
    return json::array( { s.id.str(), s.incarnation.count(), s.unheard_ms } );
}

auto silent_from_json( json const& object ) -> silent_instance
{
    return { core::instance_id( object.at( 0 ).get<std::string>() ),
             core::incarnation( object.at( 1 ).get<std::int64_t>() ),
             age_ms_from_json( object.at( 2 ) ) };
}

template <typename T, typename Write>
auto list_to_json( std::vector<T> const& items, Write write ) -> json
{
    auto array = json::array();
    for ( auto const& item : items )
        array.push_back( write( item ) );
    return array;
}

template <typename T, typename Read>
auto list_from_json( json const& array, std::vector<T>& items, Read read )
    -> void
{
    for ( auto const& item : array )
        items.push_back( read( item ) );
}

/// Numbers of the lists on the wire. Empty lists are left out, because most
/// messages have only one that is not empty.
enum list_number : std::uint8_t
{
    list_work,
    list_prefill_ended,
    list_ended,
    list_served,
    list_undecided,
    list_placement_requests,
    list_answers,
    list_failed,
    list_ejected,
    list_silent,
    list_known_ips,
    list_crashes,
    list_cleared,
    list_leaving_targets,
    list_quarantined,
    list_limits,
    list_handover_key, ///< one number
};

auto lists_to_json( peer_message const& m ) -> json
{
    auto lists = json::array();
    auto const add = [&lists]( list_number number, json list )
    {
        if ( !list.empty() )
            lists.push_back( json::array( { number, std::move( list ) } ) );
    };
    add( list_work, list_to_json( m.work, work_to_json ) );
    add( list_prefill_ended, m.prefill_ended );
    add( list_ended, m.ended );
    add( list_served, m.served );
    add( list_undecided, m.undecided );
    add( list_placement_requests,
         list_to_json( m.placement_requests, placement_request_to_json ) );
    add( list_answers, list_to_json( m.answers, answer_to_json ) );
    add( list_failed, list_to_json( m.failed, failed_to_json ) );
    add( list_ejected, list_to_json( m.ejected, ejected_to_json ) );
    add( list_silent, list_to_json( m.silent, silent_to_json ) );
    add( list_known_ips, m.known_ips );
    add( list_crashes, list_to_json( m.crashes, crash_to_json ) );
    add( list_quarantined, list_to_json( m.quarantined, quarantine_to_json ) );
    add( list_leaving_targets, list_to_json( m.leaving_targets, ref_to_json ) );
    add( list_limits, list_to_json( m.limits, limit_to_json ) );
    add( list_cleared, suspects_to_json( m.cleared ) );
    if ( m.handover_key != core::handover_key{} )
        add( list_handover_key, json::array( { m.handover_key.count() } ) );
    return lists;
}

auto read_list( peer_message& m, list_number number, json const& list ) -> void
{
    using serials = std::vector<std::uint64_t>;
    switch ( number )
    {
    case list_work:
        return list_from_json( list, m.work, work_from_json );
    case list_prefill_ended:
        m.prefill_ended = list.get<serials>();
        return;
    case list_ended:
        m.ended = list.get<serials>();
        return;
    case list_served:
        m.served = list.get<serials>();
        return;
    case list_undecided:
        m.undecided = list.get<serials>();
        return;
    case list_placement_requests:
        return list_from_json( list, m.placement_requests,
                               placement_request_from_json );
    case list_answers:
        return list_from_json( list, m.answers, answer_from_json );
    case list_failed:
        return list_from_json( list, m.failed, failed_from_json );
    case list_ejected:
        return list_from_json( list, m.ejected, ejected_from_json );
    case list_silent:
        return list_from_json( list, m.silent, silent_from_json );
    case list_known_ips:
        m.known_ips = list.get<std::vector<std::string>>();
        return;
    case list_crashes:
        return list_from_json( list, m.crashes, crash_from_json );
    case list_quarantined:
        return list_from_json( list, m.quarantined, quarantine_from_json );
    case list_leaving_targets:
        return list_from_json( list, m.leaving_targets, ref_from_json );
    case list_limits:
        return list_from_json( list, m.limits, limit_from_json );
    case list_cleared:
        m.cleared = suspects_from_json( list );
        return;
    case list_handover_key:
        m.handover_key = core::handover_key( list.at( 0 ).get<std::int64_t>() );
        return;
    }
}

auto to_json( peer_message const& m ) -> json
{
    return json::array(
        { layout, m.sender.str(), m.incarnation.count(), m.ip,
          m.data_centre.str(), m.callers, m.known_until.count(), m.capacity,
          m.uptime_ms, m.ready, m.leaving, m.cut_from_targets,
          m.answered_age_ms, m.complete, m.store_served_ms, m.store_age_ms,
          lists_to_json( m ),
          json::binary( { m.update.begin(), m.update.end() } ) } );
}

/// False if a text that is remembered for the sender is too long.
auto has_short_names( peer_message const& m ) -> bool
{
    auto const is_long = []( std::string const& address )
    {
        return address.size() > max_address_bytes;
    };
    return m.sender.str().size() <= max_peer_name_bytes &&
           m.data_centre.str().size() <= max_peer_name_bytes &&
           !is_long( m.ip ) && !is_long( m.callers ) &&
           std::none_of( m.known_ips.begin(), m.known_ips.end(), is_long );
}

auto from_json( json const& object ) -> peer_message
{
    auto m = peer_message{};
    auto at = std::size_t{ 1 };
    m.sender = core::instance_id( object.at( at++ ).get<std::string>() );
    m.incarnation = core::incarnation( object.at( at++ ).get<std::int64_t>() );
    m.ip = object.at( at++ ).get<std::string>();
    m.data_centre =
        core::data_centre_id( object.at( at++ ).get<std::string>() );
    m.callers = object.at( at++ ).get<std::string>();
    m.known_until =
        ports::store_revision( object.at( at++ ).get<std::int64_t>() );
    m.capacity = object.at( at++ ).get<std::int64_t>();
    m.uptime_ms = object.at( at++ ).get<std::int64_t>();
    m.ready = object.at( at++ ).get<bool>();
    m.leaving = object.at( at++ ).get<bool>();
    m.cut_from_targets = object.at( at++ ).get<bool>();
    m.answered_age_ms = age_ms_from_json( object.at( at++ ) );
    m.complete = object.at( at++ ).get<bool>();
    m.store_served_ms = object.at( at++ ).get<std::int64_t>();
    m.store_age_ms = object.at( at++ ).get<std::int64_t>();
    for ( auto const& list : object.at( at++ ) )
        read_list( m, list.at( 0 ).get<list_number>(), list.at( 1 ) );
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
    auto const parsed = parse_cbor( bytes );
    if ( parsed.has_error() )
        return parsed.error();
    try
    {
        auto const& object = parsed.value();
        if ( !object.is_array() || object.at( 0 ) != layout )
            return core::error{ core::error_code::malformed,
                                "peer message has another layout" };
        auto message = from_json( object );
        if ( !has_short_names( message ) )
            return core::error{ core::error_code::malformed,
                                "an id or address is too long" };
        return message;
    }
    catch ( json::exception const& e )
    {
        return core::error{ core::error_code::malformed, e.what() };
    }
}

}
