#ifndef POLLENSTREAM_APPS_GATEWAY_CALLER_HANDLER_HPP
#define POLLENSTREAM_APPS_GATEWAY_CALLER_HANDLER_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/exchange/context.hpp>

namespace pollenstream::gateway
{

/// Starts an exchange for each request of a caller.
class caller_handler : public adapters::asio::request_handler
{
public:
    explicit caller_handler( exchange::exchange_context& context );

    [[nodiscard]] auto limits() const -> exchange::caller_limits override;
    [[nodiscard]] auto
    needs_body( adapters::asio::raw_request const& head ) const
        -> bool override;
    auto handle( adapters::asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<adapters::asio::request_in_progress> override;
    [[nodiscard]] auto refuse_unread( adapters::asio::raw_request const& head )
        -> exchange::whole_answer override;

private:
    exchange::exchange_context& context_;
};

}

#endif
