#ifndef POLLENSTREAM_ADAPTERS_ASIO_CALLER_CONNECTION_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CALLER_CONNECTION_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/adapters/asio/http_text.hpp>
#include <pollenstream/adapters/asio/request_reader.hpp>
#include <pollenstream/adapters/asio/unsent_answers.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pollenstream::adapters::asio
{

/// Connection of one caller. It keeps reading while a request is being
/// answered, to detect that the caller has closed it; reading pauses only while
/// too many bytes of later requests are buffered.
class caller_connection
    : public std::enable_shared_from_this<caller_connection>,
      public unsent_answer,
      public accounted_connection
{
public:
    caller_connection( caller_listener& owner, tcp::socket socket );

    auto start() -> void;
    [[nodiscard]] auto is_idle() const -> bool
    {
        return phase_ == phase::idle && reader_.unread_bytes() == 0;
    }
    /// Closes the connection after all pending bytes are written.
    auto finish() -> void;

    // Called by the answer channel of request `number`; ignored unless that
    // request is the one being answered.
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
        return pending_.size() + writing_.size() - written_bytes_;
    }

    [[nodiscard]] auto stalled_since() const
        -> std::chrono::steady_clock::time_point override
    {
        return stalled_since_;
    }
    auto drop_unsent() -> void override;
    [[nodiscard]] auto can_give_way() const -> bool override;
    auto give_memory_back() -> void override;
    auto give_descriptor_back() -> void override;
    [[nodiscard]] auto caller() const -> std::string override;

private:
    enum class phase
    {
        idle,      ///< no byte of a request has been received
        head,      ///< receiving the head
        body,      ///< head received, receiving the body
        answering, ///< request received, answer not finished
        lingering, ///< closed for writing, waits for the caller to close
        closed,
    };

    auto read() -> void;
    auto on_readable( error_code ec ) -> void;
    auto on_received( std::string_view bytes ) -> void;
    auto parse() -> void;
    auto parse_unread() -> void;
    [[nodiscard]] auto can_begin_request() const -> bool;
    auto after_step( read_step step ) -> bool;
    auto start_request() -> void;
    auto on_head() -> bool;
    auto refuses_without_body() -> bool;
    auto refuse_for_memory() -> void;
    [[nodiscard]] auto has_room_for_answer() const -> bool;
    auto on_request() -> void;
    auto handle( raw_request request ) -> void;
    auto refuse( int status, std::string const& reason ) -> void;
    auto refuse( exchange::whole_answer const& answer ) -> void;
    auto start_timer( core::duration time ) -> void;
    auto on_timeout() -> void;
    auto is_current( std::uint64_t number ) const -> bool;
    auto after_answer() -> void;
    auto keeps_alive() const -> bool;
    auto write( std::string const& bytes ) -> void;
    auto flush() -> void;
    auto write_some() -> void;
    auto on_written( error_code ec, std::size_t n ) -> void;
    auto note_unsent() -> void;
    auto linger() -> void;
    auto close() -> void;

    caller_listener& owner_;
    tcp::socket socket_;
    net::steady_timer timer_;
    connection_account account_;
    request_reader reader_;
    exchange::caller_limits limits_;
    phase phase_{ phase::idle };
    std::uint64_t number_{ 0 };
    std::shared_ptr<request_in_progress> request_;
    bool request_keeps_alive_{ true };
    bool is_head_request_{ false }; ///< its answer has no body
    bool reading_{ false };
    bool in_parse_{ false };
    bool finish_after_write_{ false };
    std::string pending_;
    std::string writing_;
    std::size_t written_bytes_{ 0 }; ///< of `writing_`
    bool write_open_{ false };
    std::chrono::steady_clock::time_point stalled_since_;
    unsent_share unsent_;
};

}

#endif
