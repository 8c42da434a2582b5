#include <catch2/catch.hpp>

#include <base64.hpp>
#include <exchange_headers.hpp>
#include <registry_records.hpp>
#include <settings_file.hpp>

using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace platform = pollenstream::platform;
namespace exchange = pollenstream::exchange;
namespace asio = pollenstream::adapters::asio;

namespace
{

auto const valid_settings =
    std::string( "node_name=n1\n"
                 "zone=hall\n"
                 "listen_addresses.front=10.1.0.4:80\n"
                 "listen_addresses.ready=10.1.0.4:81\n"
                 "listen_addresses.directory=10.1.0.4:82\n"
                 "internal_port_range=7340,7355\n"
                 "seed_nodes=10.1.0.4:89,10.2.0.9:89\n"
                 "platform.address=10.9.0.1:99\n"
                 "bounds.retry_budget_slack=102\n"
                 "something.new=1\n" );

auto request_with( exchange::header_list fields ) -> asio::raw_request
{
    auto raw = asio::raw_request{ "POST", "/a/b?c=d", {}, "body" };
    raw.fields = { { "Host", "Some.Host:80" },
                   { "Attempt-Id", "id1" },
                   { "Deadline-Ms", "600" } };
    for ( auto& f : fields )
        raw.fields.push_back( std::move( f ) );
    return raw;
}

auto value_of( std::string const& text, std::string const& name ) -> std::string
{
    auto const at = text.find( "\r\n" + name + ": " );
    if ( at == std::string::npos )
        return {};
    auto const from = at + name.size() + 4;
    return text.substr( from, text.find( "\r\n", from ) - from );
}

}

TEST_CASE( "settings are parsed and unknown names ignored", "[platform]" )
{
    auto found = core::findings{};
    auto const s = platform::read_settings( "f", valid_settings, found );
    CHECK( found.empty() );
    CHECK( s.callers == core::address{ "10.1.0.4", 80 } );
    CHECK( s.peers == core::address{ "10.1.0.4", 7340 } );
    CHECK( s.seed_ips == std::vector<std::string>{ "10.2.0.9" } );
    CHECK( s.retry_constant == 102 );
    CHECK( s.grace_period == 8s );
}

TEST_CASE( "each error of a settings file is reported with its line",
           "[platform]" )
{
    auto found = core::findings{};
    platform::read_settings( "f",
                             valid_settings + "bounds.grace_period_s=soon\n"
                                              "no equals sign\n"
                                              "listen_addresses.ready=x\n",
                             found );
    REQUIRE( found.all().size() == 3 );
    auto lines = std::vector<int>{};
    for ( auto const& finding : found.all() )
        lines.push_back( finding.place.line );
    std::sort( lines.begin(), lines.end() );
    CHECK( lines == std::vector<int>{ 11, 12, 13 } );
    auto missing = core::findings{};
    platform::read_settings( "f", "", missing );
    CHECK( missing.all().size() >= 5 );
}

TEST_CASE( "base64 round-trips, and invalid text is an error", "[platform]" )
{
    for ( auto const* text : { "", "a", "ab", "abc", "abcd" } )
    {
        auto const encoded = platform::encode_base64( text );
        CHECK( encoded.size() % 4 == 0 );
        auto const decoded_text = platform::decode_base64( encoded );
        REQUIRE( decoded_text.has_value() );
        CHECK( decoded_text.value() == text );
    }
    CHECK( platform::encode_base64( "node-1" ) == "bm9kZS0x" );
    CHECK( platform::decode_base64( "abc" ).has_error() );
    CHECK( platform::decode_base64( "a$cd" ).has_error() );
}

TEST_CASE( "the parts of a prompt are decoded without the last one",
           "[platform][headers]" )
{
    auto const parts_of = []( std::vector<std::string> const& values )
    {
        auto fields = exchange::header_list{ { "Token-Usage", "1460,80" } };
        for ( auto const& value : values )
            fields.push_back( { "Prompt-Prefix", value } );
        auto const decoded = platform::decode_request(
            request_with( std::move( fields ) ), core::instant( 1s ) );
        REQUIRE( decoded.has_value() );
        auto ids = std::vector<std::string>{};
        for ( auto const id : decoded.value().prompt->shared_parts )
            ids.push_back( exchange::to_string( id ) );
        return ids;
    };
    using ids = std::vector<std::string>;
    CHECK( parts_of( {} ).empty() );
    CHECK( parts_of( { "" } ).empty() );
    CHECK( parts_of( { "5c1e07a2:800" } ).empty() );
    CHECK( parts_of( { "5c1e07a2:800,91BD3f06:410,e4402b7d:250" } ) ==
           ids{ "5c1e07a2", "91bd3f06" } );
    CHECK( parts_of( { "a:1, b:2", "c:3" } ) == ids{ "a", "b" } );
    CHECK( parts_of( { "a:1,a:1,A:2,b:3" } ) == ids{ "a" } );
    // Invalid entries are left out and the request is accepted.
    CHECK( parts_of( { "x:1,,:5,-1:2,a,c:9,b:" } ) == ids{ "a", "c" } );
    auto const long_id = std::string( 64, 'f' );
    CHECK( parts_of( { long_id + ":1,a:1" } ).size() == 1 );
    CHECK( parts_of( { long_id + ":1,a:1" } ) !=
           parts_of( { long_id + "0:1,a:1" } ) );
    auto many = std::string{};
    for ( auto i = 0; i < 5'000; ++i )
        many += std::to_string( i ) + ":1,";
    CHECK( parts_of( { many } ).size() == exchange::max_shared_parts );
}

TEST_CASE( "a caller's request is decoded and its other headers are forwarded",
           "[platform][headers]" )
{
    auto decoded =
        platform::decode_request( request_with( { { "Token-Usage", "1460,80" },
                                                  { "Last-Event-Id", "12" },
                                                  { "X-Other", "kept" } } ),
                                  core::instant( 1s ) );
    REQUIRE( decoded.has_value() );
    auto const& r = decoded.value();
    CHECK( r.host == "some.host" );
    CHECK( r.time_limit == core::duration( 600ms ) );
    CHECK( r.last_event == 12 );
    REQUIRE( r.prompt );
    CHECK( r.prompt->prompt_tokens == 1460 );
    auto directions = exchange::target_directions{};
    directions.target = core::target_id( "i-1" );
    directions.time_left = 450ms;
    directions.last_event = 14;
    directions.helpers = { { { "10.0.0.1", 80 }, core::reservation_id( "t" ) },
                           { { "10.0.0.2", 80 }, {} } };
    auto const text = platform::header_encoder().encode_head( r, directions );
    CHECK( text.starts_with( "POST /a/b?c=d HTTP/1.1\r\n" ) );
    CHECK( value_of( text, "Attempt-Id" ) == "id1" );
    CHECK( value_of( text, "Token-Usage" ) == "1460,80" );
    CHECK( value_of( text, "X-Other" ) == "kept" );
    CHECK( value_of( text, "Deadline-Ms" ) == "450" );
    CHECK( value_of( text, "Expect-Instance" ) == "i-1" );
    CHECK( value_of( text, "Last-Event-Id" ) == "14" );
    CHECK( value_of( text, "Helpers" ) == "10.0.0.1:80/t,10.0.0.2:80" );
    CHECK( value_of( text, "Content-Length" ) == "4" );
    CHECK( text.ends_with( "\r\n\r\n" ) );
    CHECK( r.body == "body" );
}

TEST_CASE( "headers that only the system may set are dropped from requests",
           "[platform][headers]" )
{
    auto decoded = platform::decode_request(
        request_with( { { "Tenant", "other" },
                        { "tenant", "again" },
                        { "Helpers", "10.0.0.1:80" },
                        { "Expect-Instance", "x" },
                        { "Expect-Version", "3" },
                        { "Request-Urgency", "0" },
                        { "Api-Key", "secret" },
                        { "Connection", "close, X-Hop" },
                        { "X-Hop", "gone" },
                        { "Keep-Alive", "timeout=5" },
                        { "Transfer-Encoding", "chunked" } } ),
        core::instant( 1s ) );
    REQUIRE( decoded.has_value() );
    CHECK( decoded.value().key == "secret" );
    auto directions = exchange::target_directions{};
    directions.target = core::target_id( "i-1" );
    directions.time_left = 1s;
    directions.workspace = core::workspace_id( "ws" );
    auto const text =
        platform::header_encoder().encode_head( decoded.value(), directions );
    CHECK( text.find( "secret" ) == std::string::npos );
    CHECK( text.find( "other" ) == std::string::npos );
    CHECK( text.find( "again" ) == std::string::npos );
    CHECK( text.find( "Helpers" ) == std::string::npos );
    CHECK( text.find( "X-Hop" ) == std::string::npos );
    CHECK( text.find( "Urgency" ) == std::string::npos );
    CHECK( text.find( "chunked" ) == std::string::npos );
    CHECK( value_of( text, "Tenant" ) == "ws" );
    CHECK( value_of( text, "Expect-Instance" ) == "i-1" );
}

TEST_CASE( "ambiguous requests are malformed", "[platform][headers]" )
{
    auto const is_malformed = []( exchange::header_list fields )
    {
        return platform::decode_request( request_with( std::move( fields ) ),
                                         core::instant( 1s ) )
            .has_error();
    };
    CHECK( is_malformed( { { "Host", "other" } } ) );
    CHECK( is_malformed( { { "attempt-id", "other" } } ) );
    CHECK( is_malformed( { { "Api-Key", "a" }, { "Api-Key", "b" } } ) );
    CHECK( is_malformed( { { "Token-Usage", "many" } } ) );
    auto absolute = request_with( {} );
    absolute.target = "http://elsewhere/";
    CHECK(
        platform::decode_request( absolute, core::instant( 1s ) ).has_error() );
}

TEST_CASE( "the limit of an answer is the lowest non-negative number it states",
           "[platform][headers][limit]" )
{
    auto const head_of = []( std::vector<std::string> const& texts )
    {
        auto fields = exchange::header_list{};
        for ( auto const& text : texts )
            fields.push_back( { "server-limit", text } );
        return platform::decode_answer( { 200, std::move( fields ) } );
    };
    CHECK_FALSE( head_of( {} ).limit );
    CHECK_FALSE( head_of( {} ).has_invalid_limit );
    CHECK( head_of( { " 1.3 " } ).limit == 1.3 );
    CHECK( head_of( { "0" } ).limit == 0.0 );
    CHECK( head_of( { "1e300" } ).limit == 1e300 );
    CHECK( head_of( { "2", "2" } ).limit == 2.0 );
    CHECK_FALSE( head_of( { "2", "2" } ).has_invalid_limit );
    CHECK( head_of( { "2", "1", "3" } ).limit == 1.0 );
    CHECK( head_of( { "2", "1" } ).has_invalid_limit );
    CHECK( head_of( { "soon", "1" } ).limit == 1.0 );
    for ( auto const* text :
          { "", "-1", "soon", "nan", "inf", "1e999", "1 a second", "1,5" } )
    {
        CHECK_FALSE( head_of( { text } ).limit );
        CHECK( head_of( { text } ).has_invalid_limit );
    }
}

TEST_CASE( "unknown headers of answers are listed by name",
           "[platform][headers]" )
{
    auto const head = platform::decode_answer( { 200,
                                                 { { "Server-Seal", "x" },
                                                   { "content-type", "a/b" },
                                                   { "Keep-Alive", "5" },
                                                   { "Server-Mood", "1" },
                                                   { "X y\"", "1" } } } );
    CHECK( head.unknown_headers ==
           std::vector<std::string>{ "server-mood", "x_y_" } );
    CHECK( head.headers.size() == 4 );
}

TEST_CASE( "the head of a target's answer is decoded", "[platform][headers]" )
{
    auto const head = platform::decode_answer( { 503,
                                                 { { "Not-Executed", "1" },
                                                   { "Instance-Load", "3,1,8" },
                                                   { "Connection", "close" },
                                                   { "At-Server", "i-9" } } } );
    CHECK( head.proves_not_run );
    REQUIRE( head.load );
    CHECK( head.load->waiting == 1 );
    CHECK( head.failed_target == "i-9" );
    for ( auto const& h : head.headers )
        CHECK( h.name != "Connection" );
    auto const leaving =
        platform::decode_answer( { 200, { { "server-leaving", "1" } } } );
    CHECK( leaving.announces_leaving );
    CHECK( leaving.headers.size() == 1 );
    CHECK_FALSE( head.announces_leaving );
    auto const retry_after_of = []( int status, std::string const& text )
    {
        return platform::decode_answer(
                   { status, { { "Retry-After", text } } } )
            .requested_pause;
    };
    CHECK( retry_after_of( 503, "2" ) == 2s );
    CHECK( retry_after_of( 503, " 0.25 " ) == 250ms );
    CHECK( retry_after_of( 429, "2" ) == 0s );
    for ( auto const* text : { "", "-1", "soon", "nan", "2 s" } )
        CHECK( retry_after_of( 503, text ) == 0s );
    CHECK( retry_after_of( 503, "1e99" ) == 1h );
    auto const misdirected = platform::decode_answer( { 421, {} } );
    CHECK( misdirected.wrong_target );
    CHECK( misdirected.proves_not_run );
    auto const internal_error = platform::decode_answer( { 500, {} } );
    CHECK_FALSE( internal_error.proves_not_run );
    auto const id = exchange::attempt_id( "a" );
    for ( auto const position :
          { asio::answer_position::first, asio::answer_position::later } )
    {
        CHECK( platform::answers_attempt(
            { 200, { { "Attempt-Id", "a" } }, {} }, id, position ) );
        CHECK_FALSE( platform::answers_attempt(
            { 200, { { "attempt-id", "b" } }, {} }, id, position ) );
    }
}

TEST_CASE( "the operators' configuration is decoded", "[platform]" )
{
    auto const records = platform::registry_records{};
    auto const text = std::string( R"({"version":7,"routes":[
        {"name":"r1","host":"h","prefix":"/a/","kind":"streaming",
         "timeout_ms":10000,"target_latency_ms":300,"priority":1,
         "traffic_split":[{"service":"s1","weight":90},
                          {"service":"s2","weight":10}],
         "max_attempts":2,"public":false,"stream_resumption":true,
         "target_gap_ms":200},
        {"name":"r2","host":"h","prefix":"/b/","kind":"something",
         "timeout_ms":600,"service":"s2","max_attempts":1}],
      "services":[{"name":"s1","max_connections":424,"inference_engine":
         {"slots":16,"kv_capacity":450000,"stride":46,"step_ms":0.9,
          "read_per_s":256000.0,"pairs_per_m":0.09,"chunk":2048},
          "cold_start_s":3.0,"cold_per_s":26.0},
         {"name":"s2","cold_start_s":0.0,"cold_per_s":0.0}],
      "limits":{"max_header_bytes":100,"max_body_bytes":200,
                "header_timeout_ms":3000,"idle_timeout_ms":15000},
      "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":2}]})" );
    auto const read = records.read_configuration( text );
    REQUIRE( read.has_value() );
    auto const& c = *read.value();
    CHECK( c.version == core::revision( 7 ) );
    CHECK( c.routes[0].is_idempotent() );
    CHECK( c.routes[0].services.size() == 2 );
    // A request of an unknown kind must not be retried.
    CHECK_FALSE( c.routes[1].is_idempotent() );
    CHECK( c.find_service( core::service_id( "s1" ) )->engine->slots == 16 );
    CHECK( c.find_service( core::service_id( "s1" ) )
               ->engine->prefill_tokens_per_ms == Approx( 256 ) );
    CHECK( c.find_service( core::service_id( "s1" ) )->warm_up_rate == 26.0 );
    CHECK_FALSE( c.find_service( core::service_id( "s2" ) )->warm_up_rate );
    CHECK( c.limits.max_header_bytes == 100 );
    REQUIRE( c.find_workspace( "k2" ) != nullptr );
    CHECK( c.find_workspace( "k2" )->priority == 2 );
    CHECK( c.min_gap_objective( core::service_id( "s1" ) ) == 200ms );
    CHECK( records.read_configuration( "{}" ).has_error() );
    CHECK( records.read_configuration( "no json" ).has_error() );
}

TEST_CASE( "a target's entry is decoded, and an invalid one is an error",
           "[platform]" )
{
    auto const records = platform::registry_records{};
    auto const read = records.read_target(
        "servers/i-1", R"({"service":"s","address":"10.1.0.1:80",
                           "zone":"z","version":"v1","slots":6,
                           "state":"draining","cold_remaining_ms":0,
                           "sequence":1,"born":1790000000000})" );
    REQUIRE( read.has_value() );
    CHECK( read.value().id == core::target_id( "i-1" ) );
    CHECK( read.value().leaving );
    CHECK( read.value().slots == 6 );
    CHECK( read.value().lifetime == core::target_lifetime( 1790000000000 ) );
    CHECK( records.read_target( "servers/i-1", "{}" ).has_error() );
    CHECK( records
               .read_target( "servers/i-1",
                             R"({"service":"s","address":"nowhere"})" )
               .has_error() );
}

TEST_CASE( "a quarantine record round-trips", "[platform][crash]" )
{
    auto const records = platform::registry_records();
    auto const at = core::instant( 5s );
    auto const content = exchange::suspect_of( exchange::content_id( 3 ) );
    auto const part = exchange::suspect_of( exchange::prompt_part_id( 0xfa ) );
    auto const group = exchange::quarantined_group{
        { content, part },
        { { core::target_id( "i-1" ), at },
          { { core::target_id( "i-2" ), core::target_lifetime( 9 ) }, at } },
        exchange::trial_schedule( core::instant( 1s ), 3 ) };
    for ( auto const& suspects :
          { exchange::suspect_list{ content }, group.suspects } )
        CHECK( records.kind_of( records.quarantine_key( suspects ) ) ==
               pollenstream::registry::record_kind::quarantine );
    CHECK( records.quarantine_key( { part } ) ==
           "pollenstream/quarantine/part-fa" );
    CHECK( records.quarantine_key( group.suspects ) !=
           records.quarantine_key( { content } ) );
    auto many = exchange::suspect_list{};
    for ( auto i = 0; i < 40; ++i )
        many.push_back( exchange::suspect_of( exchange::content_id( i ) ) );
    CHECK( records.quarantine_key( many ).size() <= 200 );
    auto const read =
        records.read_quarantine( records.write_quarantine( group ), at );
    REQUIRE( read.has_value() );
    CHECK( read.value().suspects == group.suspects );
    REQUIRE( read.value().crashes.size() == 2 );
    CHECK( read.value().crashes[1].target == group.crashes[1].target );
    CHECK( read.value().crashes[1].at == at );
    CHECK( read.value().trials.step() == 3 );
    CHECK( read.value().trials.since() == at );
    CHECK_FALSE( read.value().has_crash_times );
    auto const ended = records.read_quarantine(
        records.write_quarantine( { group.suspects, {} } ), at );
    CHECK( ended.value().suspects == group.suspects );
    CHECK( ended.value().crashes.empty() );
    for ( auto const* text : { "", "7", "[[]]", "[7]", "{", "[[1,2]]", "{}",
                               R"({"suspects":[],"targets":[]})",
                               R"({"suspects":["x"],"targets":[]})",
                               R"({"suspects":[1],"targets":[[1,2]]})" } )
        CHECK( records.read_quarantine( text, at ).has_error() );
}
