#ifndef POLLENSTREAM_APPS_GATEWAY_HANDOVER_HANDLER_HPP
#define POLLENSTREAM_APPS_GATEWAY_HANDOVER_HANDLER_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/context.hpp>

#include <cstddef>
#include <memory>

namespace pollenstream::gateway
{

/// Answers the port for other instances. Starts an exchange for each request
/// that another instance hands over, and leaves all others to the handler of
/// the records.
class handover_handler : public adapters::asio::request_handler
{
public:
    /// `own`: what proves that a request comes from another instance.
    handover_handler( exchange::exchange_context& context,
                      core::handover_key own,
                      adapters::asio::request_handler& others );

    [[nodiscard]] auto limits() const -> exchange::caller_limits override;
    [[nodiscard]] auto
    needs_body( adapters::asio::raw_request const& head ) const
        -> bool override;
    [[nodiscard]] auto makes_long_answers() const -> bool override
    {
        return others_.makes_long_answers();
    }
    auto handle( adapters::asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<adapters::asio::request_in_progress> override;
    [[nodiscard]] auto refuse_unread( adapters::asio::raw_request const& head )
        -> exchange::whole_answer override;

    /// Requests of other instances that are open here.
    [[nodiscard]] auto open() const -> std::size_t
    {
        return *open_;
    }

private:
    auto take_over( adapters::asio::raw_request request,
                    std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<adapters::asio::request_in_progress>;

    exchange::exchange_context& context_;
    core::handover_key own_;
    adapters::asio::request_handler& others_;
    std::shared_ptr<std::size_t> open_;
};

}

#endif
