#ifndef POLLENSTREAM_APPS_GATEWAY_RUNNING_EXCHANGE_HPP
#define POLLENSTREAM_APPS_GATEWAY_RUNNING_EXCHANGE_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/message.hpp>

#include <memory>

namespace pollenstream::gateway
{

/// Starts an exchange for the request. The result tells it when its caller has
/// gone.
auto start_exchange( exchange::exchange_context& context,
                     exchange::caller_request request,
                     std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<adapters::asio::request_in_progress>;

}

#endif
