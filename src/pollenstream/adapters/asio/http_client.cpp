#include <pollenstream/adapters/asio/connection_probe.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>
#include <pollenstream/adapters/asio/http_text.hpp>
#include <pollenstream/adapters/asio/received_body.hpp>
#include <pollenstream/adapters/asio/reply_collector.hpp>
#include <pollenstream/adapters/asio/socket_options.hpp>

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <limits>
#include <optional>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;

/// Bytes per read; an event of a stream has a few hundred bytes.
constexpr auto read_size = std::size_t{ 16 } * 1024;
/// Bytes per write.
constexpr auto max_written_at_once = std::size_t{ 64 } * 1024;
/// Idle connections kept per pool. Targets limit the total number of
/// connections from all their clients.
constexpr auto max_idle_connections = std::size_t{ 8 };
/// How long an idle connection is kept if the server sends no Keep-Alive
/// timeout, and the margin subtracted from a timeout that it sends.
constexpr auto default_idle_time = core::duration( 700ms );
constexpr auto idle_margin = core::duration( 400ms );
constexpr auto min_final_status = 200;
/// Limit on the head of an answer, as the default one of callers' requests.
constexpr auto max_head_bytes = std::uint32_t{ 16 } * 1024;
/// Limit on the interim and stray answers before the answer to a call. Targets
/// send few of them, each with a small body.
constexpr auto max_skipped_bytes = std::size_t{ 256 } * 1024;

auto advertised_idle_time( http::fields const& fields )
    -> std::optional<core::duration>
{
    auto const value = fields[http::field::keep_alive];
    auto const text = std::string_view( value.data(), value.size() );
    constexpr auto field = std::string_view( "timeout=" );
    auto const at = text.find( field );
    if ( at == std::string_view::npos )
        return std::nullopt;
    auto seconds = 0;
    auto const from = text.substr( at + field.size() );
    auto const read =
        std::from_chars( from.data(), from.data() + from.size(), seconds );
    if ( read.ec != std::errc{} )
        return std::nullopt;
    return std::chrono::seconds( seconds );
}

auto error_of( error_code ec ) -> core::error
{
    auto const lost = ec == net::error::eof ||
                      ec == net::error::connection_reset ||
                      ec == net::error::broken_pipe;
    auto const code = ec == net::error::timed_out ? core::error_code::timed_out
                      : lost ? core::error_code::connection_lost
                             : core::error_code::failed;
    return { code, ec.message() };
}

/// How a connection ended, of which a read has reported `read_error`. The
/// kernel reports an error once, to the call that comes first: a read that
/// follows a failed write sees an end of stream in its place. A write fails
/// with a broken pipe if the peer had ended its side in an orderly way before,
/// and is aborted by this process.
auto end_of_connection( error_code read_error, error_code write_error )
    -> error_code
{
    auto const is_orderly = !write_error ||
                            write_error == net::error::broken_pipe ||
                            write_error == net::error::operation_aborted;
    if ( read_error == net::error::eof && !is_orderly )
        return write_error;
    return read_error;
}

}

/// A connection that carries at most one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection( http_client& owner, std::string pool )
        : owner_( owner ), pool_( std::move( pool ) ), socket_( owner.io_ ),
          timer_( owner.io_ )
    {
    }

    auto begin( http_call call, std::shared_ptr<http_listener> listener )
        -> void
    {
        ++call_number_;
        idle_ = false;
        is_paused_ = false;
        call_ = std::move( call );
        listener_ = std::move( listener );
        sent_ = false;
        written_ = false;
        write_error_ = {};
        at_end_of_stream_ = false;
        skipped_bytes_ = 0;
        if ( socket_.is_open() )
            write();
        else
            connect();
    }

    auto cancel() -> void
    {
        listener_.reset();
        close();
    }

    auto pause() -> void
    {
        is_paused_ = true;
    }
    auto resume() -> void
    {
        if ( std::exchange( is_paused_, false ) && !reading_ )
            read();
    }

    [[nodiscard]] auto sent() const -> bool
    {
        return sent_;
    }
    /// Number of the latest call; distinguishes successive calls on the
    /// connection.
    [[nodiscard]] auto call_number() const -> std::uint64_t
    {
        return call_number_;
    }
    [[nodiscard]] auto has_call() const -> bool
    {
        return listener_ != nullptr;
    }
    [[nodiscard]] auto pool() const -> std::string const&
    {
        return pool_;
    }
    [[nodiscard]] auto is_usable() const -> bool
    {
        return socket_.is_open() &&
               std::chrono::steady_clock::now() < idle_until_;
    }

    auto close() -> void
    {
        timer_.cancel();
        auto ec = error_code{};
        socket_.close( ec );
    }

    /// Reads from the idle connection: received bytes or an end of stream make
    /// it unusable.
    auto watch_idle() -> void
    {
        idle_ = true;
        if ( !reading_ )
            read();
    }

private:
    auto connect() -> void
    {
        owner_.made_.add();
        timer_.expires_after( call_.connect_time );
        timer_.async_wait(
            [self = shared_from_this()]( error_code ec )
            {
                if ( !ec && self->connecting_ )
                    self->fail( { core::error_code::unreachable,
                                  "no connection in time" } );
            } );
        connecting_ = true;
        auto ec = error_code{};
        auto const endpoint = endpoint_of( call_.address );
        socket_.open( endpoint.protocol(), ec );
        if ( !ec )
            set_up_connection( socket_, call_.silence );
        socket_.async_connect( endpoint,
                               [self = shared_from_this()]( error_code e )
                               {
                                   self->on_connected( e );
                               } );
    }

    auto on_connected( error_code ec ) -> void
    {
        if ( !std::exchange( connecting_, false ) )
            return;
        timer_.cancel();
        if ( !listener_ )
            return;
        if ( ec )
            return fail( { core::error_code::unreachable, ec.message() } );
        write();
    }

    auto write() -> void
    {
        sent_ = true;
        auto bytes = std::array<net::const_buffer, 2>{};
        bytes[0] = net::buffer( *call_.text );
        if ( call_.body )
            bytes[1] = net::buffer( *call_.body );
        is_writing_ = true;
        net::async_write(
            socket_, bytes,
            [self = shared_from_this()]( error_code ec, std::size_t )
            {
                auto const goes_on = !ec && !self->at_end_of_stream_;
                return goes_on ? max_written_at_once : 0;
            },
            [self = shared_from_this(), text = call_.text,
             body = call_.body]( error_code ec, std::size_t )
            {
                self->run_guarded(
                    [&]
                    {
                        self->on_written( ec );
                    } );
            } );
        start_answer();
        if ( !reading_ )
            read();
    }

    /// An error does not end the call by itself: the answer may have arrived
    /// before it.
    auto on_written( error_code ec ) -> void
    {
        is_writing_ = false;
        written_ = !ec && !at_end_of_stream_;
        write_error_ = ec;
        if ( !listener_ )
            return;
        if ( at_end_of_stream_ )
            return on_closed( net::error::eof );
        // No read reports it before `resume`, and an answer without a length
        // can no longer become whole.
        auto const end = end_of_connection( net::error::eof, ec );
        if ( is_paused_ && !reading_ && ends_with_connection() &&
             end != net::error::eof )
            fail( error_of( end ) );
    }

    /// True if the answer has neither a length nor chunks.
    [[nodiscard]] auto ends_with_connection() const -> bool
    {
        return parser_->is_header_done() && !is_stray_ && parser_->need_eof();
    }

    auto start_answer() -> void
    {
        parser_.emplace();
        parser_->eager( true );
        parser_->header_limit( max_head_bytes );
        // The listener limits what it keeps; a long stream is never kept whole.
        // Without a limit the parser rejects a head that arrives alone.
        parser_->body_limit( std::numeric_limits<std::uint64_t>::max() );
        parser_->skip( call_.is_head_request );
        head_seen_ = false;
        is_stray_ = false;
    }

    auto read() -> void
    {
        reading_ = true;
        socket_.async_read_some(
            buffer_.prepare( read_size ),
            [self = shared_from_this()]( error_code ec, std::size_t n )
            {
                self->run_guarded(
                    [&]
                    {
                        self->on_read( ec, n );
                    } );
            } );
    }

    /// What a server sends can make parsing or the listener throw. That ends
    /// the call and its connection.
    template <class Work>
    auto run_guarded( Work const& work ) -> void
    {
        try
        {
            work();
        }
        catch ( std::exception const& e )
        {
            fail( { core::error_code::malformed, e.what() } );
        }
    }

    auto on_read( error_code ec, std::size_t n ) -> void
    {
        reading_ = false;
        if ( idle_ )
        {
            // No call is open, so this is the end of the stream or stray bytes.
            owner_.forget( this );
            return close();
        }
        if ( !listener_ )
            return;
        if ( ec == net::error::eof && is_writing_ )
            return stop_writing();
        if ( ec )
            return on_closed( ec );
        buffer_.commit( n );
        if ( !parse() || !listener_ || idle_ || is_paused_ )
            return;
        read();
    }

    /// What an end of stream means shows once the write has ended too.
    auto stop_writing() -> void
    {
        at_end_of_stream_ = true;
        auto ec = error_code{};
        socket_.cancel( ec );
    }

    /// Returns false if the call has ended.
    auto parse() -> bool
    {
        while ( buffer_.size() > 0 )
        {
            auto ec = error_code{};
            auto const used = parser_->put( buffer_.data(), ec );
            buffer_.consume( used );
            if ( ec && ec != http::error::need_more )
            {
                fail( { core::error_code::malformed, ec.message() } );
                return false;
            }
            if ( !deliver_progress() || !is_within_limits( used ) )
                return false;
            if ( parser_->is_done() )
            {
                if ( !on_answer_done() )
                    return false;
                continue;
            }
            if ( ec == http::error::need_more || used == 0 )
                break;
        }
        return true;
    }

    /// Ends the call, and returns false, if the server sends more than may be
    /// skipped, or a chunk header or trailer that is too long: the parser
    /// leaves these in the buffer until they are complete.
    auto is_within_limits( std::size_t parsed_bytes ) -> bool
    {
        if ( is_stray_ )
            skipped_bytes_ += parsed_bytes;
        if ( skipped_bytes_ <= max_skipped_bytes &&
             buffer_.size() <= max_head_bytes + read_size )
            return true;
        fail( { core::error_code::malformed, "bytes that are no answer" } );
        return false;
    }

    /// Passes the head and new body bytes to the listener; returns false if the
    /// call has ended.
    auto deliver_progress() -> bool
    {
        if ( !parser_->is_header_done() )
            return true;
        auto& message = parser_->get();
        if ( !head_seen_ )
        {
            head_seen_ = true;
            auto head =
                raw_head{ static_cast<int>( message.result_int() ),
                          fields_of( message.base() ), announced_bytes() };
            is_stray_ = head.status < min_final_status ||
                        ( call_.accepts_head &&
                          !call_.accepts_head( head, position() ) );
            had_stray_ =
                had_stray_ || ( is_stray_ && head.status >= min_final_status );
            if ( !is_stray_ )
                listener_->on_head( std::move( head ) );
        }
        if ( !listener_ )
            return false;
        auto bytes = message.body().release();
        if ( !is_stray_ && !bytes.empty() )
            listener_->on_body( std::move( bytes ) );
        return listener_ != nullptr;
    }

    [[nodiscard]] auto position() const -> answer_position
    {
        return call_number_ == 1 && !had_stray_ ? answer_position::first
                                                : answer_position::later;
    }

    [[nodiscard]] auto announced_bytes() const -> std::optional<std::uint64_t>
    {
        auto const length = parser_->content_length();
        return length ? std::optional( *length ) : std::nullopt;
    }

    /// Returns false if the call has ended.
    auto on_answer_done() -> bool
    {
        if ( is_stray_ )
        {
            if ( !parser_->keep_alive() && had_stray_ )
            {
                fail( { core::error_code::malformed, "stray answer" } );
                return false;
            }
            start_answer();
            return true;
        }
        complete();
        return false;
    }

    auto complete( bool is_delimited_by_close = false ) -> void
    {
        auto const can_keep = written_ && !had_stray_ &&
                              parser_->keep_alive() && buffer_.size() == 0 &&
                              socket_.is_open();
        auto const advertised = advertised_idle_time( parser_->get().base() );
        auto const listener = std::exchange( listener_, nullptr );
        // The connection may stay open for long, and the call holds a body.
        call_ = {};
        if ( can_keep )
        {
            auto const time = advertised ? std::max( core::duration( 0 ),
                                                     *advertised - idle_margin )
                                         : default_idle_time;
            idle_until_ = std::chrono::steady_clock::now() + time;
            owner_.keep( shared_from_this() );
        }
        else
        {
            close();
        }
        auto end = exchange::attempt_end{};
        end.complete = true;
        end.is_delimited_by_close = is_delimited_by_close;
        end.sent = true;
        listener->on_end( end );
    }

    auto on_closed( error_code read_error ) -> void
    {
        auto const ec = end_of_connection( read_error, write_error_ );
        if ( ec == net::error::eof && ends_with_connection() )
        {
            auto end_error = error_code{};
            parser_->put_eof( end_error );
            if ( !end_error && deliver_progress() )
                return complete( true );
        }
        fail( error_of( ec ) );
    }

    auto fail( core::error why ) -> void
    {
        connecting_ = false;
        auto const listener = std::exchange( listener_, nullptr );
        close();
        if ( !listener )
            return;
        auto end = exchange::attempt_end{};
        end.error = std::move( why );
        end.sent = sent_;
        listener->on_end( end );
    }

    http_client& owner_;
    std::string pool_;
    tcp::socket socket_;
    net::steady_timer timer_;
    http_call call_;
    std::shared_ptr<http_listener> listener_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<received_body>> parser_;
    std::chrono::steady_clock::time_point idle_until_;
    error_code write_error_; ///< of the write of the request
    bool connecting_{ false };
    bool reading_{ false };
    bool is_writing_{ false };
    bool written_{ false };
    bool at_end_of_stream_{ false }; ///< a read has reported it
    bool sent_{ false };
    bool head_seen_{ false };
    bool is_stray_{ false };
    bool had_stray_{ false };
    bool idle_{ false };
    bool is_paused_{ false };
    std::uint64_t call_number_{ 0 };
    std::size_t skipped_bytes_{ 0 }; ///< of stray answers, during this call
};

namespace
{

class open_call : public exchange::open_attempt
{
public:
    open_call( std::shared_ptr<client_connection> connection,
               std::uint64_t number )
        : connection_( std::move( connection ) ), number_( number )
    {
    }
    auto cancel() -> void override
    {
        if ( is_open() )
            connection_->cancel();
    }
    auto pause() -> void override
    {
        if ( is_open() )
            connection_->pause();
    }
    auto resume() -> void override
    {
        if ( is_open() )
            connection_->resume();
    }
    [[nodiscard]] auto sent() const -> bool override
    {
        return !is_open() || connection_->sent();
    }

private:
    /// Returns false once the connection carries another call or none.
    [[nodiscard]] auto is_open() const -> bool
    {
        return connection_->call_number() == number_ && connection_->has_call();
    }

    std::shared_ptr<client_connection> connection_;
    std::uint64_t number_;
};

}

http_client::http_client( net::io_context& io, std::size_t max_reply_memory )
    : io_( io ),
      reply_memory_( std::make_shared<core::memory_budget>( max_reply_memory ) )
{
}

http_client::~http_client() = default;

auto http_client::take_idle( std::string const& pool )
    -> std::shared_ptr<client_connection>
{
    auto const found = idle_.find( pool );
    if ( found == idle_.end() )
        return nullptr;
    auto& kept = found->second;
    while ( !kept.empty() )
    {
        auto last = std::move( kept.back() );
        kept.pop_back();
        if ( last->is_usable() )
            return last;
        last->close();
    }
    return nullptr;
}

auto http_client::keep( std::shared_ptr<client_connection> connection ) -> void
{
    auto& kept = idle_[connection->pool()];
    if ( kept.size() >= max_idle_connections )
    {
        kept.front()->close();
        kept.erase( kept.begin() );
    }
    connection->watch_idle();
    kept.push_back( std::move( connection ) );
}

auto http_client::forget( client_connection const* connection ) -> void
{
    auto const found = idle_.find( connection->pool() );
    if ( found == idle_.end() )
        return;
    std::erase_if( found->second,
                   [connection]( auto const& c )
                   {
                       return c.get() == connection;
                   } );
}

auto http_client::send( http_call call,
                        std::shared_ptr<http_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto connection = call.fresh_connection ? nullptr : take_idle( call.pool );
    if ( !connection )
        connection = std::make_shared<client_connection>( *this, call.pool );
    connection->begin( std::move( call ), std::move( listener ) );
    return std::make_shared<open_call>( connection, connection->call_number() );
}

auto http_client::probe( core::address const& address,
                         core::duration limit,
                         std::function<void( std::optional<bool> )> callback )
    -> void
{
    probe_connection( io_, address, limit, std::move( callback ) );
}

auto http_client::fetch( http_call call,
                         core::duration limit,
                         fetch_callback callback )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto gather = std::make_shared<reply_collector>(
        io_, core::bounded_text( reply_memory_, call.max_reply_bytes ),
        std::move( callback ) );
    auto opened = send( std::move( call ), gather );
    gather->limit( limit, opened );
    return opened;
}

}
