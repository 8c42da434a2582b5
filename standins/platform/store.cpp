#include "store.hpp"

#include <algorithm>
#include <base64.hpp>

namespace standins::platform
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto status_ok = 200;
constexpr auto status_not_found = 404;
constexpr auto status_history_gone = 410;
constexpr auto status_conflict = 412;
constexpr auto status_busy = 503;
constexpr auto page_items = std::size_t{ 50 };
/// A page ends with the item that reaches this size, encoded.
constexpr auto page_bytes = std::size_t{ 1'000'000 };
constexpr auto longest_watch = std::int64_t{ 30'000 };

auto decode_percent( std::string const& text ) -> std::string
{
    auto out = std::string{};
    for ( auto i = std::size_t{ 0 }; i < text.size(); ++i )
    {
        if ( text[i] != '%' || i + 2 >= text.size() )
        {
            out += text[i];
            continue;
        }
        constexpr auto hexadecimal = 16;
        out += static_cast<char>(
            std::stoi( text.substr( i + 1, 2 ), nullptr, hexadecimal ) );
        i += 2;
    }
    return out;
}

auto split_query( std::string const& target )
    -> std::map<std::string, std::string>
{
    auto q = std::map<std::string, std::string>{};
    auto const start = target.find( '?' );
    if ( start == std::string::npos )
        return q;
    auto rest = target.substr( start + 1 );
    while ( !rest.empty() )
    {
        auto const end = std::min( rest.find( '&' ), rest.size() );
        auto const part = rest.substr( 0, end );
        auto const equals = std::min( part.find( '=' ), part.size() );
        q[part.substr( 0, equals )] = decode_percent(
            part.substr( std::min( equals + 1, part.size() ) ) );
        rest.erase( 0, end + 1 );
    }
    return q;
}

auto number_in( std::map<std::string, std::string> const& q,
                std::string const& name ) -> std::int64_t
{
    auto const found = q.find( name );
    return found == q.end() || found->second.empty()
               ? 0
               : std::stoll( found->second );
}

}

store::store( ports::scheduler& scheduler, std::uint64_t seed )
    : scheduler_( scheduler ),
      random_( static_cast<std::minstd_rand::result_type>( seed + 1 ) )
{
}

auto store::limits() const -> exchange::caller_limits
{
    return {};
}

auto store::handle( asio::raw_request request,
                    std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<asio::request_in_progress>
{
    if ( faults_.silent )
        return nullptr;
    if ( faults_.busy )
    {
        answer->send_whole( { status_busy, {}, "" } );
        return nullptr;
    }
    if ( faults_.slow <= core::duration( 0 ) )
    {
        serve( request, answer );
        return nullptr;
    }
    auto const id = ++last_later_;
    later_[id] = scheduler_.call_after(
        faults_.slow,
        [this, id, request = std::move( request ), answer]
        {
            auto const done = std::move( later_[id] );
            later_.erase( id );
            serve( request, answer );
        } );
    return nullptr;
}

auto store::reply( answer_ptr const& answer, int status, json const& body )
    -> void
{
    answer->send_whole(
        { status, { { "Content-Type", "application/json" } }, body.dump() } );
}

auto store::serve( asio::raw_request const& request, answer_ptr const& answer )
    -> void
{
    auto const path = request.target.substr( 0, request.target.find( '?' ) );
    auto const q = split_query( request.target );
    auto const body = json::parse( request.body, nullptr, false );
    constexpr auto keep_path = std::string_view( "/v1/kv-keep/" );
    constexpr auto end_path = std::string_view( "/v1/kv-lease-end/" );
    if ( path == "/v1/kv-range" )
        return range( q, answer );
    if ( path == "/v1/kv-watch" )
        return watch( q, answer );
    if ( path == "/v1/kv-txn" )
        return transact( body, answer );
    if ( path == "/v1/kv-lease" )
        return grant( body, answer );
    if ( path.starts_with( keep_path ) )
        return keep( std::stoll( path.substr( keep_path.size() ) ), answer );
    if ( path.starts_with( end_path ) )
    {
        auto const ended =
            end_lease( std::stoll( path.substr( end_path.size() ) ) );
        return reply( answer, ended ? status_ok : status_not_found,
                      json::object() );
    }
    reply( answer, status_not_found, json::object() );
}

auto store::item_json( std::string const& key, item const& i ) const -> json
{
    return { { "key", key },
             { "value", i.value },
             { "revision", i.revision },
             { "created", i.created },
             { "lease", i.lease } };
}

auto store::range( query const& q, answer_ptr const& answer ) -> void
{
    auto const prefix = q.count( "prefix" ) != 0 ? q.at( "prefix" ) : "";
    auto const after = q.count( "after" ) != 0 ? q.at( "after" ) : "";
    auto items = json::array();
    auto bytes = std::size_t{ 0 };
    auto has_more = false;
    for ( auto const& [key, i] : items_ )
    {
        if ( !key.starts_with( prefix ) || ( !after.empty() && key <= after ) )
            continue;
        has_more = items.size() >= page_items || bytes >= page_bytes;
        if ( has_more )
            break;
        bytes += i.value.size();
        items.push_back( item_json( key, i ) );
    }
    reply(
        answer, status_ok,
        { { "items", items }, { "has_more", has_more }, { "at", revision_ } } );
}

auto store::events_after( std::string const& prefix, std::int64_t after ) const
    -> json
{
    auto events = json::array();
    for ( auto const& c : history_ )
    {
        if ( c.revision <= after || !c.key.starts_with( prefix ) )
            continue;
        auto const now = items_.find( c.key );
        if ( now != items_.end() && now->second.revision == c.revision )
            events.push_back( item_json( c.key, now->second ) );
        else if ( now == items_.end() )
            events.push_back( { { "key", c.key },
                                { "revision", c.revision },
                                { "tombstone", true } } );
    }
    return events;
}

auto store::watch( query const& q, answer_ptr const& answer ) -> void
{
    auto const prefix = q.count( "prefix" ) != 0 ? q.at( "prefix" ) : "";
    auto const after = number_in( q, "after" );
    if ( after < history_from_ )
        return reply( answer, status_history_gone, json::object() );
    auto events = events_after( prefix, after );
    if ( !events.empty() )
        return reply( answer, status_ok,
                      { { "events", events }, { "at", revision_ } } );
    auto const wait = std::min( number_in( q, "wait_ms" ), longest_watch );
    auto const at =
        watchers_.insert( watchers_.end(), { prefix, after, answer, {} } );
    at->end = scheduler_.call_after(
        std::chrono::milliseconds( wait ),
        [this, at]
        {
            auto const ended = std::move( *at );
            watchers_.erase( at );
            reply( ended.answer, status_ok,
                   { { "events", json::array() }, { "at", revision_ } } );
        } );
}

auto store::tell_watchers() -> void
{
    for ( auto at = watchers_.begin(); at != watchers_.end(); )
    {
        auto events = events_after( at->prefix, at->after );
        if ( events.empty() || faults_.silent )
        {
            ++at;
            continue;
        }
        reply( at->answer, status_ok,
               { { "events", std::move( events ) }, { "at", revision_ } } );
        at = watchers_.erase( at );
    }
}

auto store::note( std::string const& key ) -> void
{
    history_.push_back( { key, revision_ } );
}

auto store::put( std::string const& key, std::string const& value ) -> void
{
    ++revision_;
    auto& i = items_[key];
    i.value = pollenstream::platform::encode_base64( value );
    i.revision = revision_;
    i.created = i.created == 0 ? revision_ : i.created;
    note( key );
    tell_watchers();
}

auto store::remove( std::string const& key ) -> void
{
    if ( items_.erase( key ) == 0 )
        return;
    ++revision_;
    note( key );
    tell_watchers();
}

auto store::forget() -> void
{
    history_.clear();
    history_from_ = revision_;
    for ( auto& w : watchers_ )
        w.answer->abort();
    watchers_.clear();
}

auto store::set_faults( store_faults faults ) -> void
{
    faults_ = faults;
}

auto store::apply( json const& body ) -> void
{
    ++revision_;
    for ( auto const& put : body.value( "puts", json::array() ) )
    {
        auto const key = put.at( "key" ).get<std::string>();
        auto& i = items_[key];
        i.value = put.at( "value" ).get<std::string>();
        i.lease = put.value( "lease", std::int64_t{ 0 } );
        i.revision = revision_;
        i.created = i.created == 0 ? revision_ : i.created;
        note( key );
    }
    for ( auto const& key : body.value( "remove", json::array() ) )
        if ( items_.erase( key.get<std::string>() ) != 0 )
            note( key.get<std::string>() );
    tell_watchers();
}

auto store::transact( json const& body, answer_ptr const& answer ) -> void
{
    for ( auto const& row : body.value( "expected", json::array() ) )
    {
        auto const found = items_.find( row.at( "key" ).get<std::string>() );
        auto const revision =
            found == items_.end() ? 0 : found->second.revision;
        if ( revision != row.at( "revision" ).get<std::int64_t>() )
            return reply( answer, status_conflict,
                          { { "items", json::array() } } );
    }
    for ( auto const& put : body.value( "puts", json::array() ) )
    {
        auto const lease = put.value( "lease", std::int64_t{ 0 } );
        if ( lease != 0 && leases_.count( lease ) == 0 )
            return reply( answer, status_not_found, json::object() );
    }
    auto const is_lost =
        std::uniform_real_distribution<>( 0, 1 )( random_ ) < faults_.lost;
    if ( is_lost && faults_.lost_late > core::duration( 0 ) )
    {
        auto const id = ++last_later_;
        later_[id] = scheduler_.call_after( faults_.lost_late,
                                            [this, id, body]
                                            {
                                                auto const done =
                                                    std::move( later_[id] );
                                                later_.erase( id );
                                                apply( body );
                                            } );
        return;
    }
    apply( body );
    if ( !is_lost )
        reply( answer, status_ok, { { "revision", revision_ } } );
}

auto store::grant( json const& body, answer_ptr const& answer ) -> void
{
    auto const id = ++last_lease_;
    auto const ms = body.at( "ttl_ms" ).get<std::int64_t>();
    auto& l = leases_[id];
    l.time = std::chrono::milliseconds( ms );
    l.end = scheduler_.call_after( l.time,
                                   [this, id]
                                   {
                                       end_lease( id );
                                   } );
    reply( answer, status_ok, { { "lease", id }, { "ttl_ms", ms } } );
}

auto store::keep( std::int64_t id, answer_ptr const& answer ) -> void
{
    auto const found = leases_.find( id );
    if ( found == leases_.end() )
        return reply( answer, status_not_found, json::object() );
    auto& l = found->second;
    l.end = scheduler_.call_after( l.time,
                                   [this, id]
                                   {
                                       end_lease( id );
                                   } );
    reply( answer, status_ok,
           { { "ttl_ms", core::milliseconds_of( l.time ) } } );
}

auto store::end_lease( std::int64_t id ) -> bool
{
    auto const found = leases_.find( id );
    if ( found == leases_.end() )
        return false;
    auto const ended = std::move( found->second );
    leases_.erase( found );
    auto keys = std::vector<std::string>{};
    for ( auto const& [key, i] : items_ )
        if ( i.lease == id )
            keys.push_back( key );
    for ( auto const& key : keys )
        remove( key );
    return true;
}

}
