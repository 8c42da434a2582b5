#include <pollenstream/adapters/http/engine_codec.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using web::json::value;

/// Upper bound on the prefix marks read from one message.
constexpr auto max_marks = std::size_t{ 256 };

auto microseconds_of( core::duration d ) -> std::int64_t
{
    return d.count();
}

auto to_json( ports::memory_owner const& owner ) -> value
{
    auto json = value::object();
    json["instance"] = value::string( owner.instance.str() );
    json["incarnation"] = value::number( owner.incarnation.count() );
    return json;
}

auto read_owner( value const& parent ) -> ports::memory_owner
{
    if ( !parent.is_object() || !parent.has_object_field( "owner" ) )
        return {};
    auto fields = json_fields( parent.at( "owner" ), "$.owner" );
    auto owner = ports::memory_owner{};
    owner.instance = core::instance_id( fields.text( "instance", {} ) );
    owner.incarnation = core::incarnation( fields.integer( "incarnation", 0 ) );
    return owner;
}

// Hashes are sent as hexadecimal text: JSON numbers do not guarantee 64 bits.
auto hash_text( std::uint64_t hash ) -> std::string
{
    constexpr auto hexadecimal = 16;
    auto digits = std::string( hexadecimal, '0' );
    auto const [end, status] = std::to_chars(
        digits.data(), digits.data() + digits.size(), hash, hexadecimal );
    digits.resize( static_cast<std::size_t>( end - digits.data() ) );
    return digits;
}

auto read_hash( std::string const& digits ) -> std::uint64_t
{
    constexpr auto hexadecimal = 16;
    auto hash = std::uint64_t{ 0 };
    std::from_chars( digits.data(), digits.data() + digits.size(), hash,
                     hexadecimal );
    return hash;
}

auto marks_to_json( core::prefix_chain const& marks ) -> value
{
    auto json = value::array( marks.size() );
    for ( auto i = std::size_t{ 0 }; i < marks.size(); ++i )
    {
        json[i]["tokens"] = value::number( marks[i].tokens );
        json[i]["hash"] = value::string( hash_text( marks[i].hash ) );
    }
    return json;
}

auto read_marks( web::json::array const& json ) -> core::prefix_chain
{
    auto marks = core::prefix_chain{};
    for ( auto const& each : json )
    {
        if ( marks.size() == max_marks )
            break;
        auto fields = json_fields( each, "$.marks" );
        marks.push_back( { fields.integer( "tokens", 0 ),
                           read_hash( fields.text( "hash", {} ) ) } );
    }
    return marks;
}

}

auto to_json( ports::engine_request const& request ) -> value
{
    auto json = value::object();
    json["request"] = value::string( request.request.str() );
    json["attempt"] = value::number( request.attempt.count() );
    json["owner"] = to_json( request.owner );
    json["model"] = value::string( request.model.str() );
    json["priority"] =
        value::string( std::string( name_of( request.priority ) ) );
    json["prompt"] = value::string( request.prompt ? *request.prompt : "" );
    json["prompt_tokens"] = value::number( request.prompt_tokens.count() );
    json["prefixes"] = marks_to_json( request.prefixes );
    json["delivered"] = value::string( request.delivered );
    json["from"] = value::number( request.from_position );
    json["max_tokens"] = value::number( request.max_tokens.count() );
    json["time_left_us"] =
        value::number( microseconds_of( request.time_left ) );
    auto spans = value::array( request.spans.size() );
    for ( auto i = std::size_t{ 0 }; i < request.spans.size(); ++i )
        spans[i] = value::string( request.spans[i].str() );
    json["spans"] = std::move( spans );
    return json;
}

auto read_engine_request( value const& json )
    -> core::result<ports::engine_request>
{
    auto fields = json_fields( json, "$" );
    auto r = ports::engine_request{};
    r.request = core::request_id( fields.required_text( "request" ) );
    r.attempt = core::attempt_number( fields.integer( "attempt", 1 ) );
    r.owner = read_owner( json );
    r.model = core::model_id( fields.text( "model", {} ) );
    r.priority = profiles::parse_priority( fields.text( "priority", "normal" ) )
                     .value_or( profiles::priority::normal );
    r.prompt =
        std::make_shared<std::string const>( fields.text( "prompt", {} ) );
    r.prompt_tokens = core::token_count( fields.integer( "prompt_tokens", 1 ) );
    r.prefixes = read_marks( fields.array( "prefixes" ) );
    r.delivered = fields.text( "delivered", {} );
    r.from_position = fields.integer( "from", 0 );
    r.max_tokens = core::token_count( fields.integer( "max_tokens", 1 ) );
    r.time_left = core::duration( fields.integer( "time_left_us", 0 ) );
    for ( auto const& each : fields.array( "spans" ) )
    {
        if ( each.is_string() )
            r.spans.emplace_back( each.as_string() );
    }
    auto const status = fields.status();
    if ( !status )
        return status.error();
    return r;
}

auto to_json( ports::load_report const& report ) -> value
{
    auto json = value::object();
    auto backlog = value::array( report.backlog.size() );
    for ( auto i = std::size_t{ 0 }; i < report.backlog.size(); ++i )
        backlog[i] = value::number( report.backlog[i] );
    json["backlog"] = std::move( backlog );
    json["requests"] = value::number( report.requests );
    json["memory_used"] = value::number( report.memory_used );
    json["memory_total"] = value::number( report.memory_total );
    json["prefill_rate"] = value::number( report.prefill_rate );
    json["decode_rate"] = value::number( report.decode_rate );
    json["step_seconds"] = value::number( report.step_seconds );
    json["cached"] = marks_to_json( report.cached );
    json["age_us"] = value::number( microseconds_of( report.age ) );
    return json;
}

auto read_load_report( value const& json ) -> core::result<ports::load_report>
{
    auto fields = json_fields( json, "$.load" );
    auto r = ports::load_report{};
    auto slot = std::size_t{ 0 };
    for ( auto const& each : fields.array( "backlog" ) )
    {
        auto const is_count = each.is_number() && each.as_number().is_int64();
        if ( slot == r.backlog.size() || !is_count )
            break;
        r.backlog[slot++] = each.as_number().to_int64();
    }
    r.requests = fields.integer( "requests", 0 );
    r.memory_used = fields.integer( "memory_used", 0 );
    r.memory_total = fields.integer( "memory_total", 0 );
    r.prefill_rate = fields.real( "prefill_rate", 0 );
    r.decode_rate = fields.real( "decode_rate", 0 );
    r.step_seconds = fields.real( "step_seconds", 0 );
    r.cached = read_marks( fields.array( "cached" ) );
    r.age = core::duration(
        std::max( std::int64_t{ 0 }, fields.integer( "age_us", 0 ) ) );
    auto const status = fields.status();
    if ( !status )
        return status.error();
    return r;
}

auto to_json( ports::reservation_request const& reservation ) -> value
{
    auto json = value::object();
    json["reservation"] = value::string( reservation.id.str() );
    json["owner"] = to_json( reservation.owner );
    json["tokens"] = value::number( reservation.tokens.count() );
    json["time_to_live_us"] =
        value::number( microseconds_of( reservation.time_to_live ) );
    return json;
}

auto read_reservation_request( value const& json )
    -> core::result<ports::reservation_request>
{
    auto fields = json_fields( json, "$" );
    auto r = ports::reservation_request{};
    r.id = core::reservation_id( fields.required_text( "reservation" ) );
    r.owner = read_owner( json );
    r.tokens = core::token_count( fields.integer( "tokens", 0 ) );
    r.time_to_live = core::duration( fields.integer( "time_to_live_us", 0 ) );
    auto const status = fields.status();
    if ( !status )
        return status.error();
    return r;
}

auto to_json( std::vector<ports::held_memory> const& held ) -> value
{
    auto json = value::array( held.size() );
    for ( auto i = std::size_t{ 0 }; i < held.size(); ++i )
    {
        json[i]["owner"] = to_json( held[i].owner );
        json[i]["request"] = value::string( held[i].request.str() );
        json[i]["reservation"] = value::string( held[i].reservation.str() );
        json[i]["tokens"] = value::number( held[i].tokens.count() );
    }
    return json;
}

auto read_held_memory( value const& json )
    -> core::result<std::vector<ports::held_memory>>
{
    if ( !json.is_array() )
        return core::error{ core::error_code::malformed, "$ is not an array" };
    auto held = std::vector<ports::held_memory>{};
    for ( auto const& each : json.as_array() )
    {
        auto fields = json_fields( each, "$[]" );
        auto one = ports::held_memory{};
        one.owner = read_owner( each );
        one.request = core::request_id( fields.text( "request", {} ) );
        one.reservation =
            core::reservation_id( fields.text( "reservation", {} ) );
        one.tokens = core::token_count( fields.integer( "tokens", 0 ) );
        held.push_back( std::move( one ) );
    }
    return held;
}

auto to_json( ports::engine_event const& event ) -> value
{
    auto json = value::object();
    json["r"] = value::string( event.request.str() );
    json["a"] = value::number( event.attempt.count() );
    json["p"] = value::number( event.position );
    if ( event.last )
        json["last"] = value::boolean( true );
    else
        json["t"] = value::string( event.text );
    if ( event.load )
        json["load"] = to_json( *event.load );
    return json;
}

auto read_engine_event( std::string const& text )
    -> core::result<ports::engine_event>
{
    auto const json = parse_json( text );
    if ( !json )
        return json.error();
    auto fields = json_fields( json.value(), "$" );
    auto event = ports::engine_event{};
    event.request = core::request_id( fields.required_text( "r" ) );
    event.attempt = core::attempt_number( fields.integer( "a", 0 ) );
    event.position = fields.integer( "p", -1 );
    event.last = fields.flag( "last", false );
    event.text = fields.text( "t", {} );
    auto const status = fields.status();
    if ( !status )
        return status.error();
    if ( !json.value().has_field( "load" ) )
        return event;
    auto const load = read_load_report( json.value().at( "load" ) );
    if ( load )
        event.load = load.value();
    return event;
}

}
