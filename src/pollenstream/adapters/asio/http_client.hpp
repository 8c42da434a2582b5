#ifndef POLLENSTREAM_ADAPTERS_ASIO_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_HTTP_CLIENT_HPP

#include <pollenstream/adapters/asio/broken_answers.hpp>
#include <pollenstream/adapters/asio/http_call.hpp>
#include <pollenstream/adapters/asio/idle_connections.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/bounded_text.hpp>
#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pollenstream::adapters::asio
{

/// A complete answer.
struct http_reply
{
    int status{ 0 };
    std::string body;
};

/// Makes HTTP calls and keeps idle connections for reuse. Each call is sent
/// once: the client never retries. A connection whose server sends more than is
/// allowed for, in a head or a body, is closed, which ends its call alone.
class http_client
{
public:
    /// `max_reply_memory`: limit on the bodies that are collected at one time.
    http_client( net::io_context& io, std::size_t max_reply_memory );
    ~http_client();
    http_client( http_client const& ) = delete;
    auto operator=( http_client const& ) -> http_client& = delete;

    auto send( http_call call, std::shared_ptr<http_listener> listener )
        -> std::shared_ptr<exchange::open_attempt>;

    using fetch_callback = std::function<void( core::result<http_reply> )>;
    /// Connects to `address` and closes the connection. Reports true if a
    /// process listens there, false if it refuses or drops the connection, and
    /// nullopt after any other error or after `limit`.
    auto probe( core::address const& address,
                core::duration limit,
                std::function<void( std::optional<bool> )> callback ) -> void;

    /// Makes a call and reports its complete answer, or an error if it takes
    /// longer than `limit`, is too large, or is a success without length or
    /// chunks that ends behind its head.
    auto fetch( http_call call, core::duration limit, fetch_callback callback )
        -> std::shared_ptr<exchange::open_attempt>;

    [[nodiscard]] auto connections_made() const -> std::uint64_t
    {
        return made_.value();
    }

    /// Answers that did not count, and who is told of them.
    [[nodiscard]] auto broken() -> broken_answers&
    {
        return broken_;
    }
    [[nodiscard]] auto broken() const -> broken_answers const&
    {
        return broken_;
    }

private:
    net::io_context& io_;
    std::shared_ptr<core::memory_budget> reply_memory_;
    idle_connections idle_;
    core::counter made_;
    broken_answers broken_;
};

}

#endif
