#ifndef POLLENSTREAM_ADAPTERS_ASIO_CALLER_LISTENER_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CALLER_LISTENER_HPP

#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/adapters/asio/raw_request.hpp>
#include <pollenstream/adapters/asio/unsent_answers.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/routes.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace pollenstream::adapters::asio
{

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
    /// False if a request with this head is refused whatever its body is, so
    /// that it is handled without. `head` has no body.
    [[nodiscard]] virtual auto needs_body( raw_request const& head ) const
        -> bool;
    /// True if answers may be long and are made at once, so that no memory was
    /// taken for them before. Such a request is refused where answers have used
    /// up their memory.
    [[nodiscard]] virtual auto makes_long_answers() const -> bool
    {
        return false;
    }
    /// Starts to answer `request`; returns null if it was answered at once.
    virtual auto handle( raw_request request,
                         std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<request_in_progress> = 0;
    /// Answers a request whose body is not read as it finds no memory. `head`
    /// has no body.
    [[nodiscard]] virtual auto refuse_unread( raw_request const& head )
        -> exchange::whole_answer;
};

class caller_connection;

/// Accepts connections at one address, reads requests with a strict parser and
/// writes their answers. Each connection handles one request at a time.
class caller_listener
{
public:
    /// Opened later, with `open`. `accounts`: for the connections and what they
    /// send; null if the handler's limits on one request suffice. `unsent`: for
    /// the answers that callers have not taken; null if nothing limits these.
    caller_listener( net::io_context& io,
                     request_handler& handler,
                     std::shared_ptr<connection_accounts> accounts = {},
                     std::shared_ptr<unsent_answers> unsent = {} );
    /// Opened at once. Throws `boost::system::system_error` if that fails.
    caller_listener( net::io_context& io,
                     core::address const& at,
                     request_handler& handler,
                     std::shared_ptr<connection_accounts> accounts = {},
                     std::shared_ptr<unsent_answers> unsent = {} );
    ~caller_listener();
    caller_listener( caller_listener const& ) = delete;
    auto operator=( caller_listener const& ) -> caller_listener& = delete;

    /// Starts to accept connections at `at`. Fails if the address is in use or
    /// is not there; may be tried again then.
    [[nodiscard]] auto open( core::address const& at ) -> error_code;
    /// Each answer that starts after this call closes its connection.
    auto begin_drain() -> void;
    /// Closes connections that have not started to receive a request.
    auto close_idle() -> void;
    /// Closes the listening socket; open connections stay open.
    auto stop_accepting() -> void;
    /// Closes the listening socket and all connections at once.
    auto close_all() -> void;

    /// The local address, with the port that the kernel chose for port 0.
    [[nodiscard]] auto address() const -> core::address;
    /// Connections that were closed because a request could not be processed.
    [[nodiscard]] auto broken() const -> std::uint64_t
    {
        return broken_.value();
    }
    [[nodiscard]] auto connections() const -> std::size_t
    {
        return connections_.size();
    }

private:
    friend class caller_connection;

    static constexpr auto read_size = std::size_t{ 16 } * 1024;

    auto accept() -> void;
    auto begin_connection( tcp::socket socket ) -> void;
    auto retry_accept_later() -> void;

    net::io_context& io_;
    request_handler& handler_;
    std::shared_ptr<connection_accounts> accounts_;
    std::shared_ptr<unsent_answers> unsent_;
    tcp::acceptor acceptor_;
    net::steady_timer accept_retry_timer_;
    std::set<std::shared_ptr<caller_connection>> connections_;
    /// Connections read into this buffer one after the other, and copy what
    /// they keep.
    std::array<char, read_size> read_buffer_{};
    bool draining_{ false };
    core::counter broken_;
};

}

#endif
