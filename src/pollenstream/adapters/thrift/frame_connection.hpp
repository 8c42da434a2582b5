#ifndef POLLENSTREAM_ADAPTERS_THRIFT_FRAME_CONNECTION_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_FRAME_CONNECTION_HPP

#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/adapters/asio/unsent_answers.hpp>
#include <pollenstream/core/memory_budget.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace pollenstream::adapters::thrift
{

class frame_connection;

/// The server of `frame_connection`s, which works on their calls.
class frame_server
{
public:
    virtual ~frame_server() = default;
    /// Works on a call and sends its answer with `connection->answer`.
    virtual auto work_on( std::shared_ptr<frame_connection> connection,
                          std::shared_ptr<std::string> call ) -> void = 0;
    virtual auto forget( std::shared_ptr<frame_connection> const& connection )
        -> void = 0;
};

/// A connection over which calls come in frames: four bytes of length, the most
/// significant first, and as many bytes. It has one call in work at a time.
class frame_connection : public std::enable_shared_from_this<frame_connection>,
                         public asio::unsent_answer,
                         public asio::accounted_connection
{
public:
    frame_connection( frame_server& server,
                      asio::tcp::socket socket,
                      std::shared_ptr<asio::connection_accounts> accounts,
                      std::shared_ptr<asio::unsent_answers> unsent );

    auto start() -> void;
    /// Sends the answer of the call in work; an empty one closes the
    /// connection. For any thread.
    auto answer( std::string text ) -> void;
    auto close() -> void;

    [[nodiscard]] auto can_give_way() const -> bool override;
    auto give_memory_back() -> void override;
    auto give_descriptor_back() -> void override;
    [[nodiscard]] auto caller() const -> std::string override;
    [[nodiscard]] auto stalled_since() const
        -> std::chrono::steady_clock::time_point override;
    auto drop_unsent() -> void override;

private:
    static constexpr auto length_bytes = std::size_t{ 4 };
    static constexpr auto read_bytes = std::size_t{ 16 } * 1024;

    /// Runs `handler` of the event loop. The connection ends if it throws: it
    /// would neither be read nor closed any more.
    template <class Handler>
    auto run_handler( Handler const& handler ) -> void;
    auto begin() -> void;
    auto read() -> void;
    auto on_readable( asio::error_code ec ) -> void;
    [[nodiscard]] auto read_some( asio::error_code& ec ) -> std::size_t;
    auto on_received() -> void;
    [[nodiscard]] auto begin_frame() -> bool;
    [[nodiscard]] auto frame_size() const -> std::size_t;
    auto start_timer() -> void;
    auto start_write( std::string const& text ) -> void;
    auto write() -> void;
    auto on_written( asio::error_code ec, std::size_t n ) -> void;

    frame_server& server_;
    asio::tcp::socket socket_;
    asio::net::steady_timer timer_;
    asio::connection_account account_;
    asio::unsent_share unsent_;
    std::array<unsigned char, length_bytes> length_{};
    std::size_t received_bytes_{ 0 }; ///< of the length and the frame
    std::string frame_;
    /// Of the call in work.
    std::shared_ptr<core::memory_claim> call_memory_;
    std::string writing_;
    std::size_t written_bytes_{ 0 };
    std::chrono::steady_clock::time_point stalled_since_;
    bool is_working_{ false };
    bool is_closed_{ false };
};

}

#endif
