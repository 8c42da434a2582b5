#include "handover_handler.hpp"

#include "../../platform/handover_headers.hpp"
#include "running_exchange.hpp"
#include <pollenstream/exchange/own_answers.hpp>

#include <utility>

namespace pollenstream::gateway
{

namespace
{

constexpr auto status_bad_request = 400;
constexpr auto status_forbidden = 403;
/// Requests of other instances that may be open here. Others are refused at
/// once, as their instances can ask another one.
constexpr auto max_taken_over = std::size_t{ 256 };

auto plain_text( int status, std::string const& text ) -> exchange::whole_answer
{
    return { status, { { "Content-Type", "text/plain" } }, text + "\n" };
}

auto refused_here( std::string const& reason ) -> exchange::whole_answer
{
    auto answer = plain_text( exchange::status_unavailable, reason );
    answer.headers.push_back( platform::handover_refused_header() );
    answer.headers.push_back(
        exchange::retry_after_header( exchange::retry_after_cut ) );
    return answer;
}

/// Passes an answer on to the other instance, and marks refusals that only
/// concern this one. Counts as open as long as it exists.
class handover_channel : public exchange::answer_channel
{
public:
    handover_channel( std::shared_ptr<exchange::answer_channel> next,
                      std::shared_ptr<std::size_t> open )
        : next_( std::move( next ) ), open_( std::move( open ) )
    {
        ++*open_;
    }
    ~handover_channel() override
    {
        --*open_;
    }
    handover_channel( handover_channel const& ) = delete;
    auto operator=( handover_channel const& ) -> handover_channel& = delete;

    auto send_whole( exchange::whole_answer answer ) -> void override
    {
        if ( answer.is_refused_here )
            answer.headers.push_back( platform::handover_refused_header() );
        next_->send_whole( std::move( answer ) );
    }
    auto start_stream( int status, exchange::header_list headers )
        -> void override
    {
        next_->start_stream( status, std::move( headers ) );
    }
    auto send_chunk( std::string bytes ) -> void override
    {
        next_->send_chunk( std::move( bytes ) );
    }
    auto end_stream() -> void override
    {
        next_->end_stream();
    }
    auto abort() -> void override
    {
        next_->abort();
    }
    [[nodiscard]] auto unsent_bytes() const -> std::size_t override
    {
        return next_->unsent_bytes();
    }

private:
    std::shared_ptr<exchange::answer_channel> next_;
    std::shared_ptr<std::size_t> open_;
};

}

handover_handler::handover_handler( exchange::exchange_context& context,
                                    core::handover_key own,
                                    adapters::asio::request_handler& others )
    : context_( context ), own_( own ), others_( others ),
      open_( std::make_shared<std::size_t>( 0 ) )
{
}

auto handover_handler::limits() const -> exchange::caller_limits
{
    return context_.configuration ? context_.configuration->limits
                                  : others_.limits();
}

/// Only requests that are taken over have a body that is read.
auto handover_handler::needs_body(
    adapters::asio::raw_request const& head ) const -> bool
{
    return context_.configuration && *open_ < max_taken_over &&
           platform::proves_handover( head, own_ );
}

auto handover_handler::handle(
    adapters::asio::raw_request request,
    std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<adapters::asio::request_in_progress>
{
    if ( platform::proves_handover( request, own_ ) )
        return take_over( std::move( request ), std::move( answer ) );
    if ( !platform::claims_handover( request ) )
        return others_.handle( std::move( request ), std::move( answer ) );
    // An instance that still knows the key of an earlier process here asks
    // another one.
    auto refusal = refused_here( "wrong_key" );
    refusal.status = status_forbidden;
    answer->send_whole( std::move( refusal ) );
    return nullptr;
}

auto handover_handler::take_over(
    adapters::asio::raw_request request,
    std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<adapters::asio::request_in_progress>
{
    if ( !context_.configuration )
    {
        answer->send_whole( refused_here( exchange::no_configuration_reason ) );
        return nullptr;
    }
    if ( *open_ >= max_taken_over )
    {
        answer->send_whole( refused_here( "too_many_handed_over" ) );
        return nullptr;
    }
    auto decoded = platform::decode_handover( std::move( request ),
                                              context_.scheduler.now() );
    if ( decoded.has_error() )
    {
        answer->send_whole(
            plain_text( status_bad_request, decoded.error().detail ) );
        return nullptr;
    }
    return start_exchange(
        context_, std::move( decoded.value() ),
        std::make_shared<handover_channel>( std::move( answer ), open_ ) );
}

auto handover_handler::refuse_unread( adapters::asio::raw_request const& head )
    -> exchange::whole_answer
{
    if ( !platform::proves_handover( head, own_ ) )
        return others_.refuse_unread( head );
    return refused_here( exchange::no_memory_reason );
}

}
