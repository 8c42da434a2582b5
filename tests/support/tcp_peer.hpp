#ifndef TESTS_SUPPORT_TCP_PEER_HPP
#define TESTS_SUPPORT_TCP_PEER_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

namespace asio = pollenstream::adapters::asio;

/// A server on loopback that sends given bytes, whatever it receives. Shares
/// the event loop of the test.
class tcp_peer
{
public:
    explicit tcp_peer( asio::net::io_context& io );
    ~tcp_peer();
    tcp_peer( tcp_peer const& ) = delete;
    auto operator=( tcp_peer const& ) -> tcp_peer& = delete;

    /// Each connection gets these bytes once its first bytes have arrived.
    auto answer_with( std::string bytes ) -> void;
    /// The same in two pieces, the second of which follows some time later.
    auto answer_in_pieces( std::string first, std::string second ) -> void;
    /// As `answer_with` with the next of these bytes each time; the last is
    /// repeated.
    auto answer_in_turn( std::vector<std::string> answers ) -> void;
    /// As `answer_with`, then `repeated` again and again until the other side
    /// closes.
    auto answer_without_end( std::string first, std::string repeated ) -> void;

    [[nodiscard]] auto address() const -> pollenstream::core::address;
    /// Bytes that have been handed to the kernel, on all connections.
    [[nodiscard]] auto sent_bytes() const -> std::size_t;
    /// True once the other side has closed a connection.
    [[nodiscard]] auto is_closed() const -> bool;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Resident memory of this process, in bytes.
auto resident_bytes() -> std::size_t;

/// Runs the event loop until `is_done` returns true, or for ten seconds.
template <class Condition>
auto run_until( asio::net::io_context& io, Condition is_done ) -> void
{
    constexpr auto max_time = std::chrono::seconds( 10 );
    constexpr auto step = std::chrono::milliseconds( 20 );
    auto const end = std::chrono::steady_clock::now() + max_time;
    io.restart();
    while ( !is_done() && std::chrono::steady_clock::now() < end )
        io.run_one_for( step );
}

}

#endif
