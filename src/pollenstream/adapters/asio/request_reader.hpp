#ifndef POLLENSTREAM_ADAPTERS_ASIO_REQUEST_READER_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_REQUEST_READER_HPP

#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/adapters/asio/raw_request.hpp>
#include <pollenstream/adapters/asio/received_body.hpp>
#include <pollenstream/exchange/routes.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstream::adapters::asio
{

/// The result of one step of reading.
enum class read_step
{
    needs_more, ///< bytes that have not been received
    head,       ///< the head is complete
    some_body,  ///< a part of the body was read, and bytes are left
    request,    ///< the request is complete
    malformed,  ///< it is refused; see `refusal`
    no_memory,  ///< there is no memory for it
};

/// Why a request cannot be read.
struct read_refusal
{
    int status{ 0 };
    std::string reason;
};

/// Reads the requests of one connection, one after the other. What has been
/// received and not been handed on is counted with its capacity: unread bytes,
/// the fields of a head, and a body.
class request_reader
{
public:
    explicit request_reader( connection_account& account );

    /// Prepares for the next request.
    auto begin( exchange::caller_limits const& limits ) -> void;
    /// Adds received bytes; false if there is no memory for them.
    [[nodiscard]] auto add( std::string_view bytes ) -> bool;
    /// Reads on; to be called while bytes are unread.
    auto step() -> read_step;
    /// Claims memory for the body that the head announces; false without.
    [[nodiscard]] auto reserve_announced() -> bool;
    /// Releases all that was received.
    auto discard() -> void;

    [[nodiscard]] auto unread_bytes() const -> std::size_t
    {
        return unread_.size() - consumed_;
    }
    [[nodiscard]] auto is_whole() const -> bool
    {
        return parser_ && parser_->is_done();
    }
    /// True once the head of a HEAD request is complete.
    [[nodiscard]] auto is_head_request() const -> bool
    {
        return parser_ && parser_->get().method() == http::verb::head;
    }
    [[nodiscard]] auto keeps_alive() const -> bool
    {
        return parser_ && parser_->get().keep_alive();
    }
    [[nodiscard]] auto field( http::field name ) const
        -> boost::beast::string_view;
    [[nodiscard]] auto refusal() const -> read_refusal const&
    {
        return refusal_;
    }
    /// The head without the body.
    [[nodiscard]] auto head() const -> raw_request;
    /// The whole request without trailers, with the memory that it takes.
    [[nodiscard]] auto take_request() -> raw_request;

private:
    using parser_type = http::request_parser<received_body>;

    auto parser() -> parser_type&;
    [[nodiscard]] auto parsed_head() const -> raw_request;
    auto consume( std::size_t bytes ) -> void;
    auto refuse( int status, std::string reason ) -> read_step;
    auto step_after_error( error_code ec ) -> read_step;
    [[nodiscard]] auto may_take_for_body( std::size_t bytes ) -> bool;
    [[nodiscard]] auto hold_all() -> bool;
    [[nodiscard]] auto request_bytes() const -> std::size_t;

    connection_account& account_;
    exchange::caller_limits limits_;
    std::string unread_;
    std::size_t consumed_{ 0 }; ///< of `unread_`
    std::optional<parser_type> parser_;
    /// As it was when it was complete: a trailer would add to the parser's.
    std::optional<raw_request> head_;
    std::size_t head_bytes_{ 0 };
    read_refusal refusal_;
};

}

#endif
