#include "caller_handler.hpp"

#include "../../platform/exchange_headers.hpp"
#include "running_exchange.hpp"
#include <pollenstream/exchange/own_answers.hpp>

namespace pollenstream::gateway
{

namespace
{

constexpr auto status_bad_request = 400;

}

caller_handler::caller_handler( exchange::exchange_context& context )
    : context_( context )
{
}

auto caller_handler::limits() const -> exchange::caller_limits
{
    return context_.configuration ? context_.configuration->limits
                                  : exchange::caller_limits{};
}

auto caller_handler::needs_body( adapters::asio::raw_request const& head ) const
    -> bool
{
    auto const decoded =
        platform::decode_request( head, context_.scheduler.now() );
    if ( decoded.has_error() )
        return false;
    auto const& request = decoded.value();
    return !context_.configuration ||
           context_.configuration->admits( request.host, request.target,
                                           request.key );
}

auto caller_handler::handle( adapters::asio::raw_request request,
                             std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<adapters::asio::request_in_progress>
{
    auto decoded = platform::decode_request( std::move( request ),
                                             context_.scheduler.now() );
    if ( decoded.has_error() )
    {
        auto refused = exchange::request_refused{};
        refused.status = status_bad_request;
        refused.reason = decoded.error().detail;
        context_.log.record( refused );
        answer->send_whole( { status_bad_request,
                              { { "Content-Type", "text/plain" } },
                              decoded.error().detail + "\n" } );
        return nullptr;
    }
    return start_exchange( context_, std::move( decoded.value() ),
                           std::move( answer ) );
}

auto caller_handler::refuse_unread( adapters::asio::raw_request const& head )
    -> exchange::whole_answer
{
    auto const retry_after = exchange::retry_after_no_memory(
        context_.open.size(), context_.random );
    auto refused = exchange::request_refused{};
    refused.status = exchange::status_unavailable;
    refused.reason = exchange::no_memory_reason;
    refused.retry_after = retry_after;
    refused.waiting = context_.queue.size();
    auto const decoded =
        platform::decode_request( head, context_.scheduler.now() );
    if ( decoded.has_value() )
        refused.id = decoded.value().id;
    if ( decoded.has_value() && decoded.value().prompt )
        refused.prompt_tokens = decoded.value().prompt->prompt_tokens;
    context_.log.record( refused );
    context_.counters.requests.add();
    context_.counters.refused.add();
    return { exchange::status_unavailable,
             { { "Content-Type", "text/plain" },
               exchange::retry_after_header( retry_after ) },
             refused.reason + "\n" };
}

}
