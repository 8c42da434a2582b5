#ifndef POLLENSTREAM_ADAPTERS_ASIO_CLIENT_CONNECTION_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CLIENT_CONNECTION_HPP

#include <pollenstream/adapters/asio/answer_reader.hpp>
#include <pollenstream/adapters/asio/broken_answers.hpp>
#include <pollenstream/adapters/asio/http_call.hpp>
#include <pollenstream/adapters/asio/idle_connections.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/counter.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace pollenstream::adapters::asio
{

/// A connection that carries at most one call at a time. Once connected it
/// reads while it writes: an answer may arrive before its request is written.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /// `made` counts connections as they are begun. `idle` takes this one after
    /// each call that allows another. `broken` is told of answers that don't
    /// count.
    client_connection( net::io_context& io,
                       idle_connections& idle,
                       core::counter& made,
                       broken_answers& broken,
                       std::string pool );

    auto begin( http_call call, std::shared_ptr<http_listener> listener )
        -> void;
    auto cancel() -> void;
    auto pause() -> void;
    auto resume() -> void;
    auto close() -> void;
    /// Reads from the idle connection: received bytes or an end of stream make
    /// it unusable.
    auto watch_idle() -> void;

    /// True once bytes of the request may have been sent.
    [[nodiscard]] auto sent() const -> bool;
    /// Number of the latest call; distinguishes successive calls on the
    /// connection.
    [[nodiscard]] auto call_number() const -> std::uint64_t;
    [[nodiscard]] auto has_call() const -> bool;
    [[nodiscard]] auto pool() const -> std::string const&;
    [[nodiscard]] auto is_usable() const -> bool;

private:
    class sink;

    template <class Work>
    auto run_guarded( Work const& work ) -> void;
    auto connect() -> void;
    auto on_connected( error_code ec ) -> void;
    auto write() -> void;
    auto on_written( error_code ec ) -> void;
    auto stop_writing() -> void;
    auto read() -> void;
    auto on_read( error_code ec, std::size_t bytes ) -> void;
    auto on_closed( error_code read_error ) -> void;
    auto complete( bool is_delimited_by_close ) -> void;
    auto fail( broken_answer const& answer ) -> void;
    auto fail( core::error why ) -> void;

    idle_connections& idle_connections_;
    core::counter& made_;
    broken_answers& broken_answers_;
    std::string pool_;
    tcp::socket socket_;
    net::steady_timer timer_;
    http_call call_;
    std::shared_ptr<http_listener> listener_;
    answer_reader reader_;
    std::chrono::steady_clock::time_point idle_until_;
    error_code write_error_; ///< of the write of the request
    bool is_connecting_{ false };
    bool is_reading_{ false };
    bool is_writing_{ false };
    bool is_written_{ false };
    bool is_at_end_of_stream_{ false }; ///< a read has reported it
    bool is_sent_{ false };
    bool is_idle_{ false };
    bool is_paused_{ false };
    std::uint64_t call_number_{ 0 };
};

}

#endif
