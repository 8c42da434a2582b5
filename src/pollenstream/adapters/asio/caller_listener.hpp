#ifndef POLLENSTREAM_ADAPTERS_ASIO_CALLER_LISTENER_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CALLER_LISTENER_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/routes.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace pollenstream::adapters::asio
{

/// A request as read from a connection, its body whole.
struct raw_request
{
    std::string method;
    std::string target;
    exchange::header_list fields;
    std::string body;
};

/// A request that is being answered.
class request_in_progress
{
public:
    virtual ~request_in_progress() = default;
    /// The caller has closed its connection.
    virtual auto on_caller_gone() -> void = 0;
};

/// Answers the requests of one listener.
class request_handler
{
public:
    virtual ~request_handler() = default;
    [[nodiscard]] virtual auto limits() const -> exchange::caller_limits = 0;
    /// Starts to answer `request`; null where it is answered already.
    virtual auto handle( raw_request request,
                         std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<request_in_progress> = 0;
};

class caller_connection;

/// Accepts connections at one address, reads requests strictly and writes
/// their answers, one request of a connection at a time.
class caller_listener
{
public:
    /// Throws `boost::system::system_error` where the address is taken.
    caller_listener( net::io_context& io,
                     core::address const& at,
                     request_handler& handler );
    ~caller_listener();
    caller_listener( caller_listener const& ) = delete;
    auto operator=( caller_listener const& ) -> caller_listener& = delete;

    /// From now on each answer is the last of its connection.
    auto begin_drain() -> void;
    /// Closes connections on which no request has begun.
    auto close_idle() -> void;
    /// Closes the listening socket.
    auto stop_accepting() -> void;

    /// Where it listens; the kernel chooses a port for port 0.
    [[nodiscard]] auto address() const -> core::address;
    [[nodiscard]] auto connections() const -> std::size_t
    {
        return connections_.size();
    }

private:
    friend class caller_connection;

    auto accept() -> void;
    auto pause_accept() -> void;

    net::io_context& io_;
    request_handler& handler_;
    tcp::acceptor acceptor_;
    net::steady_timer pause_;
    std::set<std::shared_ptr<caller_connection>> connections_;
    bool draining_{ false };
};

}

#endif
