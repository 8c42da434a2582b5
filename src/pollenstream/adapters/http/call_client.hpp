#ifndef POLLENSTREAM_ADAPTERS_HTTP_CALL_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_CALL_CLIENT_HPP

#include <pollenstream/adapters/asio/broken_answers.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstream::adapters::http
{

/// A request to a server.
struct call_request
{
    std::string method{ "GET" };
    std::string target{ "/" }; ///< percent-encoded path, with the query
    exchange::header_list headers;
    std::string body;
    /// The call does not use a connection that an earlier one has left open.
    bool fresh_connection{ false };
};

/// Status and header fields of an answer.
struct call_head
{
    int status{ 0 };
    exchange::header_list headers;
    std::optional<std::uint64_t> announced_bytes; ///< its Content-Length
};

/// How a call ended. Of the errors, only `unreachable`, a connection that was
/// never established, proves that nothing ran.
struct call_end
{
    core::result<void> status{ core::success() };
    /// Complete only in that the server closed the connection: the answer has
    /// neither a length nor chunks, so it may have been cut short.
    bool is_delimited_by_close{ false };
};

/// Receives the answer of one call. The functions run on the threads for
/// handlers, one at a time; the last one is `on_end`. None runs after the call
/// was cancelled.
class call_listener
{
public:
    virtual ~call_listener() = default;
    /// An exception of this or the next function ends the call with an error.
    virtual auto on_head( call_head const& head ) -> void = 0;
    virtual auto on_bytes( std::string_view bytes ) -> void = 0;
    virtual auto on_end( call_end const& end ) -> void = 0;
};

/// A call that may still be open.
class open_call
{
public:
    virtual ~open_call() = default;
    /// Closes the connection. A function of the listener that runs already goes
    /// on. Idempotent.
    virtual auto cancel() -> void = 0;
};

/// Limit on a body that is collected: as large as the largest message between
/// instances, which may carry such a body.
inline constexpr auto max_collected_bytes = std::size_t{ 16 } * 1024 * 1024;
/// Limits the bodies that are being collected at once, over all clients. A call
/// whose body finds no memory fails as one whose body is too large.
auto set_collected_limit( std::size_t max_bytes ) -> void;

/// Names who is told of the broken answers to all clients. Its function runs on
/// the thread of the transport.
auto observe_broken_answers(
    std::shared_ptr<asio::broken_answer_observer> observer ) -> void;
/// Number of broken answers to all clients.
auto count_of_broken_answers( asio::answer_defect why ) -> std::uint64_t;

/// A complete answer.
struct collected_answer
{
    call_head head;
    std::string body;
    bool is_delimited_by_close{ false };
};

using collected_callback =
    std::function<void( core::result<collected_answer> const& )>;

/// Makes HTTP calls, each on a connection that carries no other at that time.
/// Nothing is sent twice. A server that sends more than is allowed for in a
/// head (16 KiB), in interim answers or in a chunk header, or that sends
/// nothing for `idle_limit`, loses its connection, which ends that call alone.
/// Calls go on when their client is destroyed.
class call_client
{
public:
    explicit call_client( core::duration idle_limit );

    auto send( core::address const& to,
               call_request const& request,
               std::shared_ptr<call_listener> listener ) const
        -> std::shared_ptr<open_call>;
    /// The same with an idle limit for this call.
    auto send( core::address const& to,
               call_request const& request,
               core::duration idle_limit,
               std::shared_ptr<call_listener> listener ) const
        -> std::shared_ptr<open_call>;
    /// Reports the complete answer, once, or an error as soon as its body
    /// exceeds `max_collected_bytes`. A success without length or chunks that
    /// ends behind its head is an error too.
    auto collect( core::address const& to,
                  call_request const& request,
                  collected_callback callback ) const -> void;
    auto collect( core::address const& to,
                  call_request const& request,
                  core::duration idle_limit,
                  collected_callback callback ) const -> void;
    /// Blocks until the answer has arrived. Not for the threads for handlers,
    /// one of which has to deliver it.
    auto collect_and_wait( core::address const& to,
                           call_request const& request ) const
        -> core::result<collected_answer>;

private:
    core::duration idle_limit_;
};

/// Reports, on a thread for handlers, whether a process listens at `address`;
/// see `asio::probe_connection`.
auto probe( core::address const& address,
            core::duration limit,
            std::function<void( std::optional<bool> )> callback ) -> void;

/// The value of the first header field with this name, in any case, or an empty
/// string.
auto header_value( exchange::header_list const& headers, std::string_view name )
    -> std::string;

}

#endif
