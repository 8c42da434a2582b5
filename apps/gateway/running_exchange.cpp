#include "running_exchange.hpp"

#include <pollenstream/exchange/exchange.hpp>

#include <utility>

namespace pollenstream::gateway
{

namespace
{

class exchange_in_progress : public adapters::asio::request_in_progress
{
public:
    explicit exchange_in_progress(
        std::shared_ptr<exchange::exchange> running_exchange )
        : exchange_( std::move( running_exchange ) )
    {
    }
    auto on_caller_gone() -> void override
    {
        exchange_->on_caller_gone();
    }

private:
    std::shared_ptr<exchange::exchange> exchange_;
};

}

auto start_exchange( exchange::exchange_context& context,
                     exchange::caller_request request,
                     std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<adapters::asio::request_in_progress>
{
    auto started = std::make_shared<exchange::exchange>(
        context, std::move( request ), std::move( answer ) );
    started->start();
    return std::make_shared<exchange_in_progress>( std::move( started ) );
}

}
