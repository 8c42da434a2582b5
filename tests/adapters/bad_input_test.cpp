#include <pollenstream/adapters/http/chat_request.hpp>
#include <pollenstream/adapters/http/configuration_text_codec.hpp>
#include <pollenstream/adapters/http/data_line_splitter.hpp>
#include <pollenstream/adapters/http/engine_codec.hpp>
#include <pollenstream/adapters/http/list_http_client.hpp>
#include <pollenstream/adapters/ini/ini_reader.hpp>
#include <pollenstream/profiles/configuration.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
namespace ini = pollenstream::adapters::ini;
namespace ports = pollenstream::ports;

namespace
{

/// Replaces, removes or repeats bytes at one to four random positions.
auto mutate( std::string text, std::mt19937_64& random ) -> std::string
{
    auto const changes = 1 + random() % 4;
    for ( auto i = std::uint64_t{ 0 }; i < changes && !text.empty(); ++i )
    {
        auto const at = random() % text.size();
        switch ( random() % 3 )
        {
        case 0:
            text[at] = static_cast<char>( random() % 256 );
            break;
        case 1:
            text.erase( at, 1 + random() % 8 );
            break;
        default:
            text.insert( at, text.substr( at, random() % 16 ) );
        }
    }
    return text;
}

template <class Read>
auto read_mutations( std::string const& valid_text, Read const& read ) -> void
{
    constexpr auto mutation_count = 2'000;
    auto random = std::mt19937_64( 1 );
    for ( auto i = 0; i < mutation_count; ++i )
        read( mutate( valid_text, random ) );
}

}

TEST_CASE( "malformed input does not crash a parser", "[bad-input]" )
{
    SECTION( "chat request body" )
    {
        read_mutations(
            R"({"model":"m","stream":true,"max_tokens":5,"messages":[)"
            R"({"role":"user","content":"hello \u00e4"}]})",
            []( std::string const& text )
            {
                static_cast<void>( http::read_chat_request( text ) );
            } );
    }
    SECTION( "engine event" )
    {
        read_mutations(
            R"({"r":"a.1.2","a":1,"p":0,"t":"word","load":{"backlog":[1,2,3],)"
            R"("requests":1,"cached":[{"tokens":1024,"hash":"ff"}]}})",
            []( std::string const& text )
            {
                static_cast<void>( http::read_engine_event( text ) );
            } );
    }
    SECTION( "configuration head" )
    {
        auto const codec = http::configuration_text_codec();
        read_mutations(
            R"({"revision":3,"documents":{"a.ini":"00ff"},"changes":[)"
            R"({"id":"c","revision":3,"author":"x","documents":["a.ini"]}]})",
            [&]( std::string const& text )
            {
                static_cast<void>( codec.read_head( text ) );
            } );
    }
    SECTION( "configuration document" )
    {
        read_mutations(
            "[service s]\nkind = model\n\n[profile p]\nservice = s\n"
            "retries = 2\nplaces = a, b\n\n[workspace w]\nshare = 3\n",
            []( std::string const& text )
            {
                auto found = core::findings{};
                auto whole = pollenstream::profiles::configuration{};
                pollenstream::profiles::read_configuration(
                    ini::read_text( "f", text, found ), whole, found );
            } );
    }
    SECTION( "instance list" )
    {
        read_mutations(
            R"({"instances":[{"id":"i","place":"p","callers":"1.2.3.4:1",)"
            R"("peers":"1.2.3.4:2"}],"targets":[{"id":"t","service":"s",)"
            R"("address":"1.2.3.4:3","state":"leaving"}]})",
            []( std::string const& text )
            {
                auto status = std::error_code{};
                auto const json = web::json::value::parse( text, status );
                if ( !status )
                    static_cast<void>( http::read_listing( json ) );
            } );
    }
}

TEST_CASE( "an error in a chat request names its JSON path", "[bad-input]" )
{
    auto const detail_of = []( std::string const& text )
    {
        return http::read_chat_request( text ).error().detail;
    };
    CHECK( detail_of( "{}" ).find( "$.messages" ) == 0 );
    CHECK( detail_of( R"({"messages":[{"role":"user"}]})" ) ==
           "$.messages[0].content is required" );
    CHECK( detail_of( R"({"messages":[],"max_tokens":-1})" ) ==
           "$.max_tokens is out of range" );
    CHECK( detail_of( R"({"messages":1})" ) == "$.messages is not an array" );
    CHECK( detail_of( std::string( 1'000'000, '[' ) ) ==
           "the JSON is nested too deep" );
}

TEST_CASE( "data lines are independent of how the stream is split",
           "[streams]" )
{
    auto const stream = std::string( ": note\ndata: one\r\n\ndata:two\n\n"
                                     "event: error\ndata: {\"x\":1}\n\n" );
    auto const expected = std::vector<std::string>{ "one", "two", "{\"x\":1}" };
    rc::check( "random split points",
               [&]( std::vector<std::uint8_t> const& chunk_sizes )
               {
                   auto splitter = http::data_line_splitter( 1'000 );
                   auto seen = std::vector<std::string>{};
                   auto rest = std::string_view( stream );
                   auto const add_chunk = [&]( std::size_t count )
                   {
                       for ( auto& line :
                             splitter.add( rest.substr( 0, count ) ) )
                           seen.push_back( std::move( line ) );
                       rest.remove_prefix( std::min( count, rest.size() ) );
                   };
                   for ( auto const chunk_size : chunk_sizes )
                       add_chunk( chunk_size % 16 );
                   add_chunk( rest.size() );
                   RC_ASSERT( seen == expected );
               } );
    auto splitter = http::data_line_splitter( 10 );
    splitter.add( std::string( 11, 'x' ) );
    CHECK( splitter.has_failed() );
}

TEST_CASE( "engine requests survive a round trip through JSON", "[codec]" )
{
    auto request = ports::engine_request{};
    request.request = core::request_id( "i.1.2" );
    request.attempt = core::attempt_number( 3 );
    request.owner = { core::instance_id( "i" ), core::incarnation( 1 ) };
    request.priority = pollenstream::profiles::priority::urgent;
    request.prompt = std::make_shared<std::string const>( "text \"quoted\"" );
    request.prompt_tokens = core::token_count( 4 );
    request.prefixes = { { 1'024, 0xfedcba9876543210ULL } };
    request.delivered = "so far";
    request.from_position = 7;
    request.max_tokens = core::token_count( 9 );
    request.time_left = core::duration( 1'234'567 );
    request.spans = { core::reservation_id( "r/0" ) };
    auto const read = http::read_engine_request( http::to_json( request ) );
    REQUIRE( read );
    auto const& r = read.value();
    CHECK( r.request == request.request );
    CHECK( r.attempt == request.attempt );
    CHECK( r.owner.incarnation == request.owner.incarnation );
    CHECK( r.priority == request.priority );
    CHECK( *r.prompt == *request.prompt );
    CHECK( r.prefixes == request.prefixes );
    CHECK( r.delivered == request.delivered );
    CHECK( r.from_position == request.from_position );
    CHECK( r.time_left == request.time_left );
    CHECK( r.spans == request.spans );
}
