#include <pollenstream/adapters/asio/client_connection.hpp>
#include <pollenstream/adapters/asio/socket_options.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;

/// Bytes per write.
constexpr auto max_written_at_once = std::size_t{ 64 } * 1024;
/// How long an idle connection is kept if the server sends no Keep-Alive
/// timeout, and the margin subtracted from a timeout that it sends.
constexpr auto default_idle_time = core::duration( 700ms );
constexpr auto idle_margin = core::duration( 400ms );

}

/// Passes the parts of an answer on to the listener of the call.
class client_connection::sink : public answer_sink
{
public:
    explicit sink( client_connection& owner ) : owner_( owner ) {}

    auto on_head( raw_head head ) -> bool override
    {
        owner_.listener_->on_head( std::move( head ) );
        return owner_.has_call();
    }
    auto on_body( std::string bytes ) -> bool override
    {
        owner_.listener_->on_body( std::move( bytes ) );
        return owner_.has_call();
    }

private:
    client_connection& owner_;
};

client_connection::client_connection( net::io_context& io,
                                      idle_connections& idle,
                                      core::counter& made,
                                      broken_answers& broken,
                                      std::string pool )
    : idle_connections_( idle ), made_( made ), broken_answers_( broken ),
      pool_( std::move( pool ) ), socket_( io ), timer_( io )
{
}

auto client_connection::begin( http_call call,
                               std::shared_ptr<http_listener> listener ) -> void
{
    ++call_number_;
    is_idle_ = false;
    is_paused_ = false;
    call_ = std::move( call );
    listener_ = std::move( listener );
    is_sent_ = false;
    is_written_ = false;
    write_error_ = {};
    is_at_end_of_stream_ = false;
    if ( socket_.is_open() )
        write();
    else
        connect();
}

auto client_connection::cancel() -> void
{
    listener_.reset();
    close();
}

auto client_connection::pause() -> void
{
    is_paused_ = true;
}

auto client_connection::resume() -> void
{
    if ( std::exchange( is_paused_, false ) && !is_reading_ )
        read();
}

auto client_connection::close() -> void
{
    timer_.cancel();
    auto ec = error_code{};
    socket_.close( ec );
}

auto client_connection::watch_idle() -> void
{
    is_idle_ = true;
    if ( !is_reading_ )
        read();
}

auto client_connection::sent() const -> bool
{
    return is_sent_;
}

auto client_connection::call_number() const -> std::uint64_t
{
    return call_number_;
}

auto client_connection::has_call() const -> bool
{
    return listener_ != nullptr;
}

auto client_connection::pool() const -> std::string const&
{
    return pool_;
}

auto client_connection::is_usable() const -> bool
{
    return socket_.is_open() && std::chrono::steady_clock::now() < idle_until_;
}

/// Runs `work`. An exception of the parser or the listener ends the call and
/// its connection.
template <class Work>
auto client_connection::run_guarded( Work const& work ) -> void
{
    try
    {
        work();
    }
    catch ( std::exception const& e )
    {
        fail( core::error{ core::error_code::malformed, e.what() } );
    }
}

auto client_connection::connect() -> void
{
    made_.add();
    timer_.expires_after( call_.connect_time );
    timer_.async_wait(
        [self = shared_from_this()]( error_code ec )
        {
            if ( !ec && self->is_connecting_ )
                self->fail( core::error{ core::error_code::unreachable,
                                         "no connection in time" } );
        } );
    is_connecting_ = true;
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

auto client_connection::on_connected( error_code ec ) -> void
{
    if ( !std::exchange( is_connecting_, false ) )
        return;
    timer_.cancel();
    if ( !listener_ )
        return;
    if ( ec )
        return fail(
            core::error{ core::error_code::unreachable, ec.message() } );
    write();
}

auto client_connection::write() -> void
{
    is_sent_ = true;
    auto bytes = std::array<net::const_buffer, 2>{};
    bytes[0] = net::buffer( *call_.text );
    if ( call_.body )
        bytes[1] = net::buffer( *call_.body );
    is_writing_ = true;
    net::async_write(
        socket_, bytes,
        [self = shared_from_this()]( error_code ec, std::size_t )
        {
            auto const goes_on = !ec && !self->is_at_end_of_stream_;
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
    reader_.begin( call_ );
    if ( !is_reading_ )
        read();
}

/// An error does not end the call by itself: the answer may have arrived before
/// it.
auto client_connection::on_written( error_code ec ) -> void
{
    is_writing_ = false;
    is_written_ = !ec && !is_at_end_of_stream_;
    write_error_ = ec;
    if ( !listener_ )
        return;
    if ( is_at_end_of_stream_ )
        return on_closed( net::error::eof );
    auto const is_lost = cause_of( { net::error::eof, ec } ) != net::error::eof;
    // No read reports it before `resume`, and an answer without a length can no
    // longer become whole.
    if ( is_lost && is_paused_ && !is_reading_ &&
         reader_.ends_with_connection() )
        on_closed( net::error::eof );
}

/// Aborts the write after an end of stream, which is judged once the write has
/// ended: its error may be the cause.
auto client_connection::stop_writing() -> void
{
    is_at_end_of_stream_ = true;
    auto ec = error_code{};
    socket_.cancel( ec );
}

auto client_connection::read() -> void
{
    is_reading_ = true;
    socket_.async_read_some(
        reader_.prepare(),
        [self = shared_from_this()]( error_code ec, std::size_t n )
        {
            self->run_guarded(
                [&]
                {
                    self->on_read( ec, n );
                } );
        } );
}

auto client_connection::on_read( error_code ec, std::size_t bytes ) -> void
{
    is_reading_ = false;
    if ( is_idle_ )
    {
        // No call is open, so this is the end of the stream or stray bytes.
        idle_connections_.forget( this );
        return close();
    }
    if ( !listener_ )
        return;
    if ( ec == net::error::eof && is_writing_ )
        return stop_writing();
    if ( ec )
        return on_closed( ec );
    reader_.commit( bytes );
    auto to_listener = sink( *this );
    auto const answer = reader_.read( to_listener );
    if ( !answer )
        return fail( answer.error() );
    if ( answer.value() == answer_progress::whole )
        return complete( false );
    if ( answer.value() == answer_progress::incomplete && !is_paused_ )
        read();
}

auto client_connection::on_closed( error_code read_error ) -> void
{
    auto to_listener = sink( *this );
    auto const answer =
        reader_.end( { read_error, write_error_ }, to_listener );
    if ( !answer )
        return fail( answer.error() );
    if ( answer.value() == answer_progress::ended_by_close )
        complete( true );
}

auto client_connection::complete( bool is_delimited_by_close ) -> void
{
    auto const can_keep =
        is_written_ && reader_.allows_reuse() && socket_.is_open();
    auto const advertised = reader_.advertised_idle_time();
    auto const listener = std::exchange( listener_, nullptr );
    // The connection may stay open for long, and the call holds a body.
    call_ = {};
    if ( can_keep )
    {
        auto const time = advertised ? std::max( core::duration( 0 ),
                                                 *advertised - idle_margin )
                                     : default_idle_time;
        idle_until_ = std::chrono::steady_clock::now() + time;
        idle_connections_.keep( shared_from_this() );
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

auto client_connection::fail( broken_answer const& answer ) -> void
{
    broken_answers_.note( call_.address, answer );
    fail( answer.error );
}

auto client_connection::fail( core::error why ) -> void
{
    is_connecting_ = false;
    auto const listener = std::exchange( listener_, nullptr );
    close();
    if ( !listener )
        return;
    auto end = exchange::attempt_end{};
    end.error = std::move( why );
    end.sent = is_sent_;
    listener->on_end( end );
}

}
