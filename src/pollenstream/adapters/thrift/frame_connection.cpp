#include <pollenstream/adapters/asio/socket_options.hpp>
#include <pollenstream/adapters/system/guarded.hpp>
#include <pollenstream/adapters/thrift/frame_connection.hpp>
#include <pollenstream/adapters/thrift/frame_limits.hpp>
#include <pollenstream/core/address.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::adapters::thrift
{

namespace
{

using namespace std::chrono_literals;
namespace net = asio::net;

/// Time for a frame, from its first byte to its last.
constexpr auto frame_timeout = core::duration( 20s );
/// A connection whose other side acknowledges nothing for this long is closed.
constexpr auto ack_timeout = core::duration( 5s );
constexpr auto bits_of_byte = 8U;

/// `text` with its length before it.
auto framed( std::string const& text ) -> std::string
{
    auto const size = static_cast<std::uint32_t>( text.size() );
    auto frame = std::string{};
    frame.reserve( sizeof( size ) + text.size() );
    for ( auto i = sizeof( size ); i > 0; --i )
        frame += static_cast<char>( size >> ( bits_of_byte * ( i - 1 ) ) );
    return frame + text;
}

}

frame_connection::frame_connection(
    frame_server& server,
    asio::tcp::socket socket,
    std::shared_ptr<asio::connection_accounts> accounts,
    std::shared_ptr<asio::unsent_answers> unsent )
    : server_( server ), socket_( std::move( socket ) ),
      timer_( socket_.get_executor() ),
      account_( std::move( accounts ), *this ),
      unsent_( std::move( unsent ), *this )
{
}

template <class Handler>
auto frame_connection::run_handler( Handler const& handler ) -> void
{
    if ( !system::run_guarded( "a connection of an instance", handler ) )
        close();
}

auto frame_connection::start() -> void
{
    run_handler(
        [this]
        {
            begin();
        } );
}

auto frame_connection::begin() -> void
{
    socket_.non_blocking( true );
    asio::set_up_connection( socket_, ack_timeout );
    read();
}

auto frame_connection::read() -> void
{
    socket_.async_wait( asio::tcp::socket::wait_read,
                        [self = shared_from_this()]( asio::error_code ec )
                        {
                            self->run_handler(
                                [&]
                                {
                                    self->on_readable( ec );
                                } );
                        } );
}

auto frame_connection::on_readable( asio::error_code ec ) -> void
{
    if ( is_closed_ )
        return;
    auto const n = ec ? 0 : read_some( ec );
    if ( ec == net::error::would_block )
        return read();
    if ( ec )
        return close();
    if ( received_bytes_ == 0 )
        start_timer();
    received_bytes_ += n;
    account_.note_received( n );
    on_received();
}

/// Reads of the length first, and then of the frame, for which it takes memory
/// as the bytes come.
auto frame_connection::read_some( asio::error_code& ec ) -> std::size_t
{
    if ( received_bytes_ < length_bytes )
        return socket_.read_some( net::buffer( length_ ) + received_bytes_,
                                  ec );
    auto const at = received_bytes_ - length_bytes;
    auto const left = frame_size() - at;
    auto const wanted = std::min( left, read_bytes );
    if ( frame_.size() < at + wanted )
    {
        auto const size = std::min( frame_size(), 2 * at + wanted );
        if ( !account_.hold( size ) )
        {
            account_.note_refused();
            ec = net::error::no_memory;
            return 0;
        }
        auto grown = std::string{};
        grown.reserve( size );
        grown.append( frame_, 0, at );
        grown.resize( size );
        frame_.swap( grown );
    }
    return socket_.read_some( net::buffer( frame_.data() + at, wanted ), ec );
}

auto frame_connection::on_received() -> void
{
    if ( received_bytes_ == length_bytes && !begin_frame() )
        return close();
    if ( received_bytes_ < length_bytes ||
         received_bytes_ < length_bytes + frame_size() )
        return read();
    timer_.cancel();
    is_working_ = true;
    call_memory_ = account_.take_for_request( frame_.size() );
    received_bytes_ = 0;
    server_.work_on( shared_from_this(), std::make_shared<std::string>(
                                             std::exchange( frame_, {} ) ) );
}

/// Returns false if the frame is refused by its length.
auto frame_connection::begin_frame() -> bool
{
    if ( frame_size() == 0 || frame_size() > max_frame_size )
        return false;
    if ( account_.reserve( frame_size() ) )
        return true;
    account_.note_refused();
    return false;
}

auto frame_connection::frame_size() const -> std::size_t
{
    auto size = std::size_t{ 0 };
    for ( auto const byte : length_ )
        size = ( size << bits_of_byte ) | byte;
    return size;
}

auto frame_connection::start_timer() -> void
{
    timer_.expires_after( frame_timeout );
    timer_.async_wait(
        [self = shared_from_this()]( asio::error_code ec )
        {
            if ( !ec )
                self->close();
        } );
}

auto frame_connection::answer( std::string text ) -> void
{
    net::post( socket_.get_executor(),
               [self = shared_from_this(), text = std::move( text )]
               {
                   self->run_handler(
                       [&]
                       {
                           self->start_write( text );
                       } );
               } );
}

auto frame_connection::start_write( std::string const& text ) -> void
{
    call_memory_.reset();
    if ( is_closed_ )
        return;
    if ( text.empty() )
        return close();
    writing_ = framed( text );
    written_bytes_ = 0;
    stalled_since_ = std::chrono::steady_clock::now();
    unsent_.set( writing_.capacity() );
    if ( !is_closed_ )
        write();
}

auto frame_connection::write() -> void
{
    socket_.async_write_some(
        net::buffer( writing_ ) + written_bytes_,
        [self = shared_from_this()]( asio::error_code ec, std::size_t n )
        {
            self->run_handler(
                [&]
                {
                    self->on_written( ec, n );
                } );
        } );
}

auto frame_connection::on_written( asio::error_code ec, std::size_t n ) -> void
{
    if ( is_closed_ )
        return;
    if ( ec )
        return close();
    stalled_since_ = std::chrono::steady_clock::now();
    written_bytes_ += n;
    if ( written_bytes_ < writing_.size() )
        return write();
    std::string().swap( writing_ );
    unsent_.set( 0 );
    is_working_ = false;
    account_.note_progress();
    read();
}

auto frame_connection::close() -> void
{
    if ( std::exchange( is_closed_, true ) )
        return;
    auto const self = shared_from_this();
    timer_.cancel();
    auto ec = asio::error_code{};
    socket_.close( ec );
    std::string().swap( frame_ );
    account_.close();
    unsent_.set( 0 );
    server_.forget( self );
}

auto frame_connection::can_give_way() const -> bool
{
    if ( is_closed_ || !is_working_ )
        return !is_closed_;
    return !writing_.empty() &&
           is_stalled( *this, std::chrono::steady_clock::now() );
}

/// The protocol has no answer that refuses a call.
auto frame_connection::give_memory_back() -> void
{
    close();
}

auto frame_connection::give_descriptor_back() -> void
{
    close();
}

auto frame_connection::caller() const -> std::string
{
    auto ec = asio::error_code{};
    auto const at = socket_.remote_endpoint( ec );
    return ec ? "unknown"
              : core::to_string(
                    core::address{ at.address().to_string(), at.port() } );
}

auto frame_connection::stalled_since() const
    -> std::chrono::steady_clock::time_point
{
    return stalled_since_;
}

auto frame_connection::drop_unsent() -> void
{
    close();
}

}
