#include <pollenstream/adapters/asio/caller_connection.hpp>
#include <pollenstream/adapters/asio/socket_options.hpp>

#include <exception>
#include <utility>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;

/// Reading pauses while a request is being answered and more than this many
/// bytes of pipelined requests are buffered.
constexpr auto max_read_ahead = std::size_t{ 8 } * 1024;
/// A connection whose caller acknowledges nothing for this long is closed.
constexpr auto caller_ack_timeout = core::duration( 4s );
/// How long a connection that is closed for writing waits for the caller to
/// close as well. Closing at once could reset the connection and lose the end
/// of the answer.
constexpr auto linger_time = core::duration( 1s );
/// Timeout for reading a body, as a multiple of the header timeout.
constexpr auto body_time_factor = 3;

constexpr auto request_timeout = 408;
constexpr auto expectation_failed = 417;
constexpr auto not_implemented = 501;

/// Answer channel of one request on a connection.
class connection_answer : public exchange::answer_channel
{
public:
    connection_answer( std::shared_ptr<caller_connection> connection,
                       std::uint64_t number )
        : connection_( std::move( connection ) ), number_( number )
    {
    }
    auto send_whole( exchange::whole_answer answer ) -> void override
    {
        connection_->send_whole( number_, answer );
    }
    auto start_stream( int status, exchange::header_list headers )
        -> void override
    {
        connection_->start_stream( number_, status, headers );
    }
    auto send_chunk( std::string bytes ) -> void override
    {
        connection_->send_chunk( number_, bytes );
    }
    auto end_stream() -> void override
    {
        connection_->end_stream( number_ );
    }
    auto abort() -> void override
    {
        connection_->abort( number_ );
    }
    [[nodiscard]] auto unsent_bytes() const -> std::size_t override
    {
        return connection_->unsent_bytes();
    }

private:
    std::shared_ptr<caller_connection> connection_;
    std::uint64_t number_;
};

}

caller_connection::caller_connection( caller_listener& owner,
                                      tcp::socket socket )
    : owner_( owner ), socket_( std::move( socket ) ),
      timer_( socket_.get_executor() ), account_( owner.accounts_, *this ),
      reader_( account_ ), limits_( owner.handler_.limits() ),
      unsent_( owner.unsent_, *this )
{
}

auto caller_connection::start() -> void
{
    socket_.non_blocking( true );
    set_up_connection( socket_, caller_ack_timeout );
    limit_unsent_in_kernel( socket_ );
    start_request();
    read();
}

auto caller_connection::start_request() -> void
{
    limits_ = owner_.handler_.limits();
    phase_ = phase::idle;
    is_head_request_ = false;
    ++number_;
    reader_.begin( limits_ );
    account_.note_progress();
    start_timer( limits_.idle_timeout );
}

/// Waits until there are bytes, so that a connection without any needs no
/// buffer.
auto caller_connection::read() -> void
{
    if ( reading_ || phase_ == phase::closed )
        return;
    if ( !can_begin_request() && reader_.unread_bytes() > max_read_ahead )
        return;
    reading_ = true;
    socket_.async_wait( tcp::socket::wait_read,
                        [self = shared_from_this()]( error_code ec )
                        {
                            self->on_readable( ec );
                        } );
}

auto caller_connection::on_readable( error_code ec ) -> void
{
    reading_ = false;
    if ( phase_ == phase::closed )
        return;
    auto n = std::size_t{ 0 };
    if ( !ec )
        n = socket_.read_some( net::buffer( owner_.read_buffer_ ), ec );
    if ( ec == net::error::would_block )
        return read();
    if ( ec )
        return close();
    on_received( { owner_.read_buffer_.data(), n } );
    read();
}

auto caller_connection::on_received( std::string_view bytes ) -> void
{
    if ( phase_ == phase::lingering )
        return;
    account_.note_received( bytes.size() );
    if ( !reader_.add( bytes ) )
        return refuse_for_memory();
    if ( phase_ != phase::answering )
        parse();
}

auto caller_connection::parse() -> void
{
    // A handler that answers synchronously calls `after_answer`, which calls
    // `parse` again; the outer call then continues the loop.
    if ( std::exchange( in_parse_, true ) )
        return;
    try
    {
        parse_unread();
    }
    catch ( std::exception const& )
    {
        // What this caller has sent cannot be processed. Its connection ends,
        // whichever handler has called this function.
        owner_.broken_.add();
        close();
    }
    in_parse_ = false;
}

auto caller_connection::parse_unread() -> void
{
    while ( reader_.unread_bytes() > 0 && can_begin_request() )
    {
        if ( phase_ == phase::idle )
        {
            phase_ = phase::head;
            start_timer( limits_.header_timeout );
        }
        if ( !after_step( reader_.step() ) )
            return;
    }
}

/// False while a request is being answered, or its answer has not been taken:
/// who sends requests without reading gets one answer at a time.
auto caller_connection::can_begin_request() const -> bool
{
    auto const is_reading =
        phase_ == phase::idle || phase_ == phase::head || phase_ == phase::body;
    return is_reading && ( phase_ != phase::idle || unsent_bytes() == 0 );
}

/// Returns false if nothing more can be read now.
auto caller_connection::after_step( read_step step ) -> bool
{
    switch ( step )
    {
    case read_step::needs_more:
        return false;
    case read_step::some_body:
        return true;
    case read_step::malformed:
        refuse( reader_.refusal().status, reader_.refusal().reason );
        return false;
    case read_step::no_memory:
        refuse_for_memory();
        return false;
    case read_step::head:
        if ( !on_head() )
            return false;
        if ( reader_.is_whole() )
            on_request();
        return true;
    case read_step::request:
        on_request();
        return true;
    }
    return false;
}

/// Checks the head before the body is read; returns false if it is refused.
auto caller_connection::on_head() -> bool
{
    phase_ = phase::body;
    is_head_request_ = reader_.is_head_request();
    start_timer( limits_.header_timeout * body_time_factor );
    auto const coding = reader_.field( http::field::transfer_encoding );
    if ( !coding.empty() && !boost::beast::iequals( coding, "chunked" ) )
    {
        refuse( not_implemented, "transfer coding" );
        return false;
    }
    if ( !reader_.is_whole() && refuses_without_body() )
        return false;
    // What is announced is claimed at once, so that a body that would not fit
    // is not read in part.
    if ( !reader_.reserve_announced() )
    {
        refuse_for_memory();
        return false;
    }
    auto const expect = reader_.field( http::field::expect );
    if ( expect.empty() )
        return true;
    if ( !boost::beast::iequals( expect, "100-continue" ) )
    {
        refuse( expectation_failed, "expectation" );
        return false;
    }
    if ( !reader_.is_whole() )
        write( "HTTP/1.1 100 Continue\r\n\r\n" );
    return true;
}

/// Handles the request at once, and returns true, if its body does not matter.
/// It then takes no memory from the requests that can be served.
auto caller_connection::refuses_without_body() -> bool
{
    auto head = reader_.head();
    if ( owner_.handler_.needs_body( head ) )
        return false;
    phase_ = phase::answering;
    timer_.cancel();
    request_keeps_alive_ = false;
    reader_.discard();
    handle( std::move( head ) );
    return true;
}

/// Refuses the request, for which there is no memory, as not run.
auto caller_connection::refuse_for_memory() -> void
{
    auto const head = reader_.head();
    reader_.discard();
    account_.note_refused();
    // While a request is being answered, its answer is the last one.
    if ( phase_ == phase::answering )
        request_keeps_alive_ = false;
    else
        refuse( owner_.handler_.refuse_unread( head ) );
}

auto caller_connection::can_give_way() const -> bool
{
    auto const is_in_work = phase_ == phase::answering && !finish_after_write_;
    if ( is_in_work || phase_ == phase::closed )
        return false;
    return unsent_bytes() == 0 ||
           is_stalled( *this, std::chrono::steady_clock::now() );
}

auto caller_connection::give_memory_back() -> void
{
    auto const self = shared_from_this();
    // The caller has stopped reading, so that a refusal would not reach it.
    if ( unsent_bytes() > 0 )
        return close();
    auto const head = reader_.head();
    reader_.discard();
    refuse( owner_.handler_.refuse_unread( head ) );
}

auto caller_connection::give_descriptor_back() -> void
{
    close();
}

auto caller_connection::has_room_for_answer() const -> bool
{
    return !owner_.unsent_ || !owner_.handler_.makes_long_answers() ||
           owner_.unsent_->has_room();
}

auto caller_connection::on_request() -> void
{
    if ( !has_room_for_answer() )
        return refuse_for_memory();
    phase_ = phase::answering;
    timer_.cancel();
    request_keeps_alive_ = reader_.keeps_alive();
    handle( reader_.take_request() );
}

auto caller_connection::handle( raw_request request ) -> void
{
    auto const number = number_;
    auto progress = owner_.handler_.handle(
        std::move( request ),
        std::make_shared<connection_answer>( shared_from_this(), number ) );
    if ( is_current( number ) )
        request_ = std::move( progress );
}

auto caller_connection::refuse( int status, std::string const& reason ) -> void
{
    refuse( { status, {}, reason + "\n" } );
}

/// Answers a request that is not read to its end, so that the connection cannot
/// carry another one.
auto caller_connection::refuse( exchange::whole_answer const& answer ) -> void
{
    phase_ = phase::answering;
    request_keeps_alive_ = false;
    reader_.discard();
    send_whole( number_, answer );
}

auto caller_connection::start_timer( core::duration time ) -> void
{
    timer_.expires_after( time );
    timer_.async_wait(
        [self = shared_from_this()]( error_code ec )
        {
            if ( !ec )
                self->on_timeout();
        } );
}

auto caller_connection::on_timeout() -> void
{
    if ( timer_.expiry() > std::chrono::steady_clock::now() )
        return;
    if ( phase_ == phase::head || phase_ == phase::body )
        return refuse( request_timeout, "request not read in time" );
    if ( phase_ == phase::idle )
        return finish();
    if ( phase_ == phase::lingering )
        close();
}

auto caller_connection::is_current( std::uint64_t number ) const -> bool
{
    return number == number_ && phase_ == phase::answering;
}

auto caller_connection::keeps_alive() const -> bool
{
    return request_keeps_alive_ && !owner_.draining_;
}

auto caller_connection::caller() const -> std::string
{
    auto ec = error_code{};
    auto const at = socket_.remote_endpoint( ec );
    return ec ? "unknown"
              : core::to_string(
                    core::address{ at.address().to_string(), at.port() } );
}

auto caller_connection::linger() -> void
{
    phase_ = phase::lingering;
    auto ec = error_code{};
    socket_.shutdown( tcp::socket::shutdown_send, ec );
    reader_.discard();
    account_.note_progress();
    start_timer( linger_time );
    read();
}

auto caller_connection::close() -> void
{
    if ( phase_ == phase::closed )
        return;
    auto const self = shared_from_this();
    phase_ = phase::closed;
    ++number_;
    timer_.cancel();
    auto ec = error_code{};
    socket_.close( ec );
    reader_.discard();
    account_.close();
    std::string().swap( pending_ );
    unsent_.set( 0 );
    auto const request = std::exchange( request_, nullptr );
    if ( request )
        request->on_caller_gone();
    owner_.connections_.erase( self );
}

}
