#include <catch2/catch.hpp>

#include <exchange_headers.hpp>
#include <handover_headers.hpp>
#include <sstream>
#include <string>

namespace platform = pollenstream::platform;
namespace exchange = pollenstream::exchange;
namespace core = pollenstream::core;
namespace asio = pollenstream::adapters::asio;

using namespace std::chrono_literals;

namespace
{

constexpr auto key = core::handover_key( 123'456'789 );
constexpr auto now = core::instant( 100s );

auto sample_request() -> exchange::caller_request
{
    auto request = exchange::caller_request{};
    request.id = exchange::attempt_id( "a1" );
    request.method = "POST";
    request.target = "/chat/x?y=1";
    request.host = "host";
    request.key = "secret";
    request.headers = { { "Attempt-Id", "a1" }, { "Token-Usage", "1000,100" } };
    request.body = "body";
    return request;
}

auto sample_handover() -> exchange::outgoing_handover
{
    auto handover = exchange::outgoing_handover{};
    handover.request =
        std::make_shared<exchange::caller_request>( sample_request() );
    handover.last_event = 7;
    handover.time_left = 3s;
    handover.origin = { core::instance_id( "n1" ), 500ms, 2 };
    return handover;
}

/// Parses the head that was encoded, as the other instance reads it.
auto parse( std::string const& head ) -> asio::raw_request
{
    auto raw = asio::raw_request{};
    auto in = std::istringstream( head );
    in >> raw.method >> raw.target;
    auto line = std::string{};
    std::getline( in, line );
    while ( std::getline( in, line ) && line != "\r" )
    {
        auto const colon = line.find( ':' );
        raw.fields.push_back(
            { line.substr( 0, colon ),
              line.substr( colon + 2, line.size() - colon - 3 ) } );
    }
    raw.body = "body";
    return raw;
}

auto sample_raw() -> asio::raw_request
{
    return parse( platform::encode_handover( sample_handover(), key ) );
}

auto replace_field( asio::raw_request& raw,
                    std::string const& name,
                    std::string const& value ) -> void
{
    for ( auto& f : raw.fields )
        if ( f.name == name )
            f.value = value;
}

}

TEST_CASE(
    "a request that is handed over arrives with all that its caller sent",
    "[platform][handover]" )
{
    auto const raw = sample_raw();
    CHECK( platform::proves_handover( raw, key ) );
    auto const decoded = platform::decode_handover( raw, now );
    REQUIRE( decoded.has_value() );
    auto const& request = decoded.value();
    CHECK( request.id.str() == "a1" );
    CHECK( request.method == "POST" );
    CHECK( request.target == "/chat/x?y=1" );
    CHECK( request.host == "host" );
    CHECK( request.key == "secret" );
    CHECK( request.body == "body" );
    CHECK( request.last_event == 7 );
    CHECK( request.prompt->prompt_tokens == 1'000 );
    REQUIRE( request.handed_over );
    CHECK( request.handed_over->from.str() == "n1" );
    CHECK( request.handed_over->max_targets == 2 );
    CHECK( request.received == now - 500ms );
    CHECK( request.received + *request.time_limit == now + 3s );
}

// Guards against a caller who says that its request comes from an instance.
TEST_CASE( "a request without this process' key is not taken for one of an "
           "instance",
           "[platform][handover]" )
{
    auto raw = sample_raw();
    CHECK( platform::claims_handover( raw ) );
    CHECK_FALSE( platform::proves_handover( raw, core::handover_key( 1 ) ) );
    CHECK_FALSE( platform::proves_handover( raw, core::handover_key{} ) );
    SECTION( "another key" )
    {
        replace_field( raw, "Handover-Key", "123456788" );
    }
    SECTION( "no number" )
    {
        replace_field( raw, "Handover-Key", "123456789x" );
    }
    SECTION( "a zero" )
    {
        replace_field( raw, "Handover-Key", "0" );
    }
    SECTION( "the key beside another one" )
    {
        raw.fields.push_back( { "Handover-Key", "1" } );
    }
    CHECK_FALSE( platform::proves_handover( raw, key ) );
}

TEST_CASE( "headers between instances do not reach targets",
           "[platform][handover]" )
{
    auto const decoded = platform::decode_request( sample_raw(), now );
    REQUIRE( decoded.has_value() );
    CHECK_FALSE( decoded.value().handed_over );
    for ( auto const& f : decoded.value().headers )
        CHECK_FALSE( f.name.starts_with( "Handover" ) );
}

TEST_CASE( "a handover with numbers out of their range is malformed",
           "[platform][handover]" )
{
    auto raw = sample_raw();
    auto const* const name =
        GENERATE( "Handover-Waited-Ms", "Handover-Targets", "Handover-From" );
    auto const* const value = GENERATE( "", "-1", "99999999999999999999", "x" );
    if ( std::string( name ) == "Handover-From" && *value != '\0' )
        return;
    replace_field( raw, name, value );
    CHECK( platform::decode_handover( raw, now ).has_error() );
}

TEST_CASE( "an answer tells whether the instance has taken the request",
           "[platform][handover]" )
{
    auto const mark = platform::handover_refused_header();
    CHECK( platform::decode_answer( { 503, { mark } } ).handover_refused );
    CHECK_FALSE( platform::decode_answer( { 503, {} } ).handover_refused );
}

// Guards against a second run of a call whose target says what only an instance
// may say.
TEST_CASE( "a target's word that a request was not taken is not passed on",
           "[platform][handover]" )
{
    auto const* const name = GENERATE( "Handover-Refused", "handover-refused" );
    auto const head = platform::decode_answer(
        { 200, { { name, "1" }, { "X-Kept", "1" } } } );
    REQUIRE( head.headers.size() == 1 );
    CHECK( head.headers.front().name == "X-Kept" );
}
