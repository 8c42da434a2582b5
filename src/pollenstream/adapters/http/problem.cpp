#include <pollenstream/adapters/http/problem.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

constexpr auto status_bad_gateway = 502;
constexpr auto status_unavailable = 503;

struct reason_status
{
    std::string_view reason;
    int status;
};

/// The reasons that have a specific HTTP status.
constexpr auto reason_statuses = std::array{
    reason_status{ "unknown-profile", 404 },
    reason_status{ "unknown-path", 404 },
    reason_status{ "wrong-method", 405 },
    reason_status{ "no-length", 411 },
    reason_status{ "too-large", 413 },
    reason_status{ "too-long", 413 },
    reason_status{ "bad-request", 400 },
    reason_status{ "bad-ticket", 400 },
    reason_status{ "ticket-required", 428 },
    reason_status{ "workspace-limit", 429 },
    reason_status{ "deadline", 504 },
};

}

auto status_of( ports::answer_end const& end ) -> int
{
    for ( auto const& each : reason_statuses )
    {
        if ( each.reason == end.reason )
            return each.status;
    }
    auto const not_run = end.status == ports::answer_status::not_run;
    return not_run ? status_unavailable : status_bad_gateway;
}

auto problem_json( ports::answer_end const& end ) -> web::json::value
{
    using web::json::value;
    auto json = value::object();
    json["type"] = value::string( "about:blank" );
    json["title"] = value::string( end.reason );
    json["status"] = value::number( status_of( end ) );
    json["detail"] = value::string( end.detail );
    json["outcome"] =
        value::string( std::string( ports::name_of( end.status ) ) );
    if ( end.retry_after )
        json["retry_after_ms"] =
            value::number( core::milliseconds_of( *end.retry_after ) );
    return json;
}

auto problem_reply( ports::answer_end const& end ) -> exchange::whole_answer
{
    auto reply = exchange::whole_answer{};
    reply.status = status_of( end );
    reply.headers = { { "Content-Type", "application/problem+json" } };
    reply.body = problem_json( end ).serialize();
    if ( end.retry_after )
    {
        constexpr auto milliseconds = std::int64_t{ 1000 };
        auto const wait = core::milliseconds_of( *end.retry_after );
        auto const seconds = ( wait + milliseconds - 1 ) / milliseconds;
        reply.headers.push_back(
            { "Retry-After",
              std::to_string( std::max( std::int64_t{ 1 }, seconds ) ) } );
    }
    return reply;
}

auto bad_request( std::string reason, std::string detail ) -> ports::answer_end
{
    auto end = ports::answer_end{};
    end.status = ports::answer_status::not_run;
    end.reason = std::move( reason );
    end.detail = std::move( detail );
    return end;
}

}
