#ifndef POLLENSTREAM_ADAPTERS_ASIO_RAW_REQUEST_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_RAW_REQUEST_HPP

#include <pollenstream/core/memory_budget.hpp>
#include <pollenstream/exchange/message.hpp>

#include <memory>
#include <string>

namespace pollenstream::adapters::asio
{

/// A request as read from a connection, with its complete body.
struct raw_request
{
    std::string method;
    std::string target;
    exchange::header_list fields;
    std::string body;
    /// Memory of the head and the body; null where nothing limits it.
    std::shared_ptr<core::memory_claim> body_memory;
};

}

#endif
