#include <catch2/catch.hpp>

#include <exchange_headers.hpp>

namespace platform = pollenstream::platform;
namespace exchange = pollenstream::exchange;

namespace
{

auto head_with( exchange::header_list fields ) -> exchange::answer_head
{
    return platform::decode_answer( { 200, std::move( fields ) } );
}

}

// Guards against an answer that counts as a target's own although its digest is
// empty or one of several.
TEST_CASE( "an answer has a digest if it states exactly one",
           "[platform][headers][digest]" )
{
    CHECK( head_with( { { "server-seal", "3e1b" } } ).has_seal );
    CHECK_FALSE( head_with( {} ).has_seal );
    CHECK_FALSE( head_with( { { "Server-Seal", "" } } ).has_seal );
    CHECK_FALSE( head_with( { { "Server-Seal", " \t" } } ).has_seal );
    for ( auto const* second : { "3e1b", "other", "" } )
        CHECK_FALSE( head_with( { { "Server-Seal", "3e1b" },
                                  { "Server-Seal", second } } )
                         .has_seal );
}

// Guards against passing on a body that is not the target's own.
TEST_CASE( "an answer with a content coding is recognized",
           "[platform][headers]" )
{
    CHECK( head_with( { { "content-encoding", "gzip" } } ).has_coding );
    CHECK_FALSE(
        head_with( { { "Content-Encoding", "identity" } } ).has_coding );
    CHECK_FALSE( head_with( {} ).has_coding );
}

TEST_CASE( "a content coding is recognized in each of several fields",
           "[platform][headers]" )
{
    CHECK( head_with( { { "Content-Encoding", "gzip" },
                        { "Content-Encoding", "identity" } } )
               .has_coding );
    CHECK( head_with( { { "Content-Encoding", "identity" },
                        { "content-encoding", " gzip " } } )
               .has_coding );
    CHECK_FALSE( head_with( { { "Content-Encoding", "identity" },
                              { "Content-Encoding", " Identity" } } )
                     .has_coding );
}

TEST_CASE( "an answer of another type is no stream of events",
           "[platform][headers]" )
{
    auto const is_stream = []( std::string const& type )
    {
        return head_with( { { "content-type", type } } ).is_event_stream;
    };
    CHECK( is_stream( "text/event-stream" ) );
    CHECK( is_stream( "Text/Event-Stream; charset=utf-8" ) );
    CHECK( head_with( {} ).is_event_stream );
    CHECK_FALSE( is_stream( "text/html" ) );
    CHECK_FALSE( is_stream( "" ) );
}
