#ifndef POLLENSTREAM_ADAPTERS_ASIO_CALLER_CONNECTION_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CALLER_CONNECTION_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/http_text.hpp>

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace pollenstream::adapters::asio
{

/// One caller's connection. There is always one read under way, so that the
/// caller's leaving is seen also while its answer is being made.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection( caller_listener& owner, tcp::socket socket );

    auto start() -> void;
    [[nodiscard]] auto is_idle() const -> bool
    {
        return phase_ == phase::idle;
    }
    /// Ends the connection once everything is written.
    auto finish() -> void;

    // What the answer of request `number` does; ignored for a former request.
    auto send_whole( std::uint64_t number,
                     exchange::whole_answer const& answer ) -> void;
    auto start_stream( std::uint64_t number,
                       int status,
                       exchange::header_list const& headers ) -> void;
    auto send_chunk( std::uint64_t number, std::string const& bytes ) -> void;
    auto end_stream( std::uint64_t number ) -> void;
    auto abort( std::uint64_t number ) -> void;
    [[nodiscard]] auto unsent_bytes() const -> std::size_t
    {
        return pending_.size() + writing_.size();
    }

private:
    enum class phase
    {
        idle,      ///< nothing of a request has come
        head,      ///< a head has begun
        body,      ///< the head is there
        answering, ///< the request is whole
        lingering, ///< closed for writing, reads until the caller closes
        closed,
    };

    auto read() -> void;
    auto on_read( error_code ec, std::size_t n ) -> void;
    auto parse() -> void;
    auto start_request() -> void;
    auto on_head() -> bool;
    auto on_request() -> void;
    auto refuse( int status, std::string const& reason ) -> void;
    auto arm( core::duration time ) -> void;
    auto on_time() -> void;
    auto is_current( std::uint64_t number ) const -> bool;
    auto after_answer() -> void;
    auto keeps_alive() const -> bool;
    auto write( std::string const& bytes ) -> void;
    auto flush() -> void;
    auto linger() -> void;
    auto close() -> void;

    caller_listener& owner_;
    tcp::socket socket_;
    net::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    exchange::caller_limits limits_;
    phase phase_{ phase::idle };
    std::uint64_t number_{ 0 };
    std::shared_ptr<request_in_progress> request_;
    bool request_keeps_alive_{ true };
    bool reading_{ false };
    bool in_parse_{ false };
    bool finish_after_write_{ false };
    std::string pending_;
    std::string writing_;
    bool write_open_{ false };
};

}

#endif
