#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <caller_handler.hpp>
#include <handover_handler.hpp>
#include <string>
#include <vector>

using namespace tests;
namespace asio = pollenstream::adapters::asio;
namespace gateway = pollenstream::gateway;

namespace
{

constexpr auto own_key = core::handover_key( 77 );

/// Counts what the handler of the records gets.
class counting_handler : public asio::request_handler
{
public:
    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        return exchange::limits_without_body();
    }
    auto handle( asio::raw_request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override
    {
        ++requests;
        answer->send_whole( { 404, {}, "" } );
        return nullptr;
    }

    int requests{ 0 };
};

struct instance_port
{
    ~instance_port()
    {
        for ( auto const& open : in_progress )
            if ( open )
                open->on_caller_gone();
    }
    auto send( asio::raw_request request ) -> std::shared_ptr<recorded_channel>
    {
        auto answer = std::make_shared<recorded_channel>();
        in_progress.push_back( handler.handle( std::move( request ), answer ) );
        return answer;
    }

    exchange_fixture f;
    counting_handler records;
    gateway::handover_handler handler{ f.context, own_key, records };
    std::vector<std::shared_ptr<asio::request_in_progress>> in_progress;
};

auto handed_over( std::string const& key ) -> asio::raw_request
{
    auto request = asio::raw_request{};
    request.method = "POST";
    request.target = "/safe/a";
    request.fields = { { "Host", "host" },
                       { "Api-Key", "key" },
                       { "Handover-Key", key },
                       { "Handover-From", "n1" },
                       { "Handover-Waited-Ms", "5" },
                       { "Handover-Targets", "2" } };
    return request;
}

auto is_marked( recorded_channel const& answer ) -> bool
{
    return answer.header( "Handover-Refused" ) == "1";
}

}

TEST_CASE( "an instance takes a request over that bears its key",
           "[gateway][handover]" )
{
    auto port = instance_port{};
    CHECK( port.handler.needs_body( handed_over( "77" ) ) );
    port.send( handed_over( "77" ) );
    auto const& counters = port.f.context.counters;
    CHECK( counters.taken_over.value() == 1 );
    CHECK( counters.requests.value() == 0 );
    CHECK( port.f.targets.all.size() == 1 );
    CHECK( port.handler.open() == 1 );
}

// Guards against strangers who claim to be an instance.
TEST_CASE( "a request with another key is refused, and its body is not read",
           "[gateway][handover]" )
{
    auto port = instance_port{};
    auto const* const key = GENERATE( "78", "", "0", "77x", "-77" );
    CHECK_FALSE( port.handler.needs_body( handed_over( key ) ) );
    auto const answer = port.send( handed_over( key ) );
    CHECK( answer->whole.status == 403 );
    CHECK( is_marked( *answer ) );
    CHECK( port.f.targets.all.empty() );
    CHECK( port.f.context.counters.taken_over.value() == 0 );
}

TEST_CASE( "a caller who bears the key of an instance is a caller",
           "[gateway][handover]" )
{
    auto f = exchange_fixture{};
    auto callers = gateway::caller_handler( f.context );
    auto const open = callers.handle( handed_over( "77" ),
                                      std::make_shared<recorded_channel>() );
    CHECK( f.context.counters.requests.value() == 1 );
    CHECK( f.context.counters.taken_over.value() == 0 );
    open->on_caller_gone();
}

TEST_CASE( "requests for records go to their handler", "[gateway][handover]" )
{
    auto port = instance_port{};
    auto request = asio::raw_request{};
    request.target = "/records";
    CHECK( port.send( std::move( request ) )->whole.status == 404 );
    CHECK( port.records.requests == 1 );
}

TEST_CASE( "an instance refuses more requests of others than it may have open",
           "[gateway][handover]" )
{
    auto port = instance_port{};
    constexpr auto most = 256;
    for ( auto i = 0; i < most; ++i )
        port.send( handed_over( "77" ) );
    CHECK_FALSE( port.handler.needs_body( handed_over( "77" ) ) );
    auto const answer = port.send( handed_over( "77" ) );
    CHECK( answer->whole.status == 503 );
    CHECK( is_marked( *answer ) );
    for ( auto const& open : port.in_progress )
        if ( open )
            open->on_caller_gone();
    port.in_progress.clear();
    // Its attempts keep a request alive.
    port.f.targets.all.clear();
    CHECK( port.handler.open() == 0 );
}

TEST_CASE( "an instance without a configuration takes nothing over",
           "[gateway][handover]" )
{
    auto port = instance_port{};
    port.f.context.configuration = nullptr;
    CHECK_FALSE( port.handler.needs_body( handed_over( "77" ) ) );
    auto const answer = port.send( handed_over( "77" ) );
    CHECK( answer->whole.status == 503 );
    CHECK( is_marked( *answer ) );
}
