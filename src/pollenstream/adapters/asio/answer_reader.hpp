#ifndef POLLENSTREAM_ADAPTERS_ASIO_ANSWER_READER_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_ANSWER_READER_HPP

#include <pollenstream/adapters/asio/answer_defect.hpp>
#include <pollenstream/adapters/asio/http_call.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/adapters/asio/received_body.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/outcome/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace pollenstream::adapters::asio
{

/// Receives the parts of an answer as they arrive. The functions return false
/// if the call was cancelled meanwhile.
class answer_sink
{
public:
    virtual ~answer_sink() = default;
    virtual auto on_head( raw_head head ) -> bool = 0;
    virtual auto on_body( std::string bytes ) -> bool = 0;
};

/// State of an answer after the bytes received so far.
enum class answer_progress
{
    incomplete,
    whole,          ///< by its length or its last chunk
    ended_by_close, ///< whole only in that the connection has ended
    cancelled,
};

/// How a connection ended, by its last read and by the write of the request.
struct connection_end
{
    error_code read;
    error_code write; ///< no error: written, or not begun
};

/// The error that ended the connection; an end of stream stands for an orderly
/// end by the peer.
///
/// The kernel reports an error once, to the call that comes first: a read that
/// follows a failed write sees an end of stream in its place. A write fails
/// with a broken pipe if the peer had ended its side in an orderly way before.
/// A write that this process has aborted has not failed.
auto cause_of( connection_end const& end ) -> error_code;

/// Reads the answers that arrive on one connection, one for each call, and
/// decides which of them count. Skips interim answers (status 100 to 199) and
/// those of other calls. A broken answer ends its call: what follows it on the
/// connection does not count either.
class answer_reader
{
public:
    using result =
        boost::outcome_v2::basic_result<answer_progress,
                                        broken_answer,
                                        boost::outcome_v2::policy::all_narrow>;

    /// Starts the answer of the next call.
    auto begin( http_call const& call ) -> void;

    /// Returns the buffer for the next bytes to be received.
    auto prepare() -> net::mutable_buffer;
    /// Takes that many of the prepared bytes.
    auto commit( std::size_t bytes ) -> void;

    /// Passes what has arrived to `sink`.
    auto read( answer_sink& sink ) -> result;
    /// The connection has ended.
    auto end( connection_end const& how, answer_sink& sink ) -> result;

    /// True if the answer, whose head has arrived, has neither a length nor
    /// chunks.
    [[nodiscard]] auto ends_with_connection() const -> bool;
    /// True if the connection may carry another call after the whole answer.
    [[nodiscard]] auto allows_reuse() const -> bool;
    /// How long the server keeps the connection open, if it says so.
    [[nodiscard]] auto advertised_idle_time() const
        -> std::optional<core::duration>;

private:
    auto start_answer() -> void;
    auto deliver( answer_sink& sink ) -> result;
    auto take_head( answer_sink& sink ) -> result;
    auto check_limits( std::size_t parsed_bytes ) -> result;
    auto finish_answer() -> result;
    [[nodiscard]] auto position() const -> answer_position;
    [[nodiscard]] auto announced_bytes() const -> std::optional<std::uint64_t>;

    std::function<bool( raw_head const&, answer_position )> accepts_head_;
    bool is_head_request_{ false };
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<received_body>> parser_;
    bool has_head_{ false };
    bool is_skipped_{ false }; ///< the answer that is being read
    bool had_stray_{ false };
    std::uint64_t calls_{ 0 };
    std::size_t skipped_bytes_{ 0 }; ///< during this call
};

}

#endif
