#include <pollenstream/adapters/asio/caller_connection.hpp>

#include <chrono>
#include <utility>

// The parts of `caller_connection` that write answers.

namespace pollenstream::adapters::asio
{

auto caller_connection::send_whole( std::uint64_t number,
                                    exchange::whole_answer const& answer )
    -> void
{
    if ( !is_current( number ) )
        return;
    request_keeps_alive_ = keeps_alive() && !answer.closes_connection;
    write( write_answer( answer, request_keeps_alive_, !is_head_request_ ) );
    after_answer();
}

auto caller_connection::start_stream( std::uint64_t number,
                                      int status,
                                      exchange::header_list const& headers )
    -> void
{
    if ( !is_current( number ) )
        return;
    request_keeps_alive_ = keeps_alive();
    write( write_stream_head( status, headers, request_keeps_alive_ ) );
}

auto caller_connection::send_chunk( std::uint64_t number,
                                    std::string const& bytes ) -> void
{
    if ( is_current( number ) && !bytes.empty() && !is_head_request_ )
        write( write_chunk( bytes ) );
}

auto caller_connection::end_stream( std::uint64_t number ) -> void
{
    if ( !is_current( number ) )
        return;
    if ( !is_head_request_ )
        write( write_last_chunk() );
    after_answer();
}

auto caller_connection::abort( std::uint64_t number ) -> void
{
    if ( !is_current( number ) )
        return;
    request_.reset();
    ++number_;
    finish();
}

auto caller_connection::after_answer() -> void
{
    request_.reset();
    if ( !request_keeps_alive_ )
        return finish();
    start_request();
    parse();
    read();
}

auto caller_connection::finish() -> void
{
    if ( phase_ == phase::closed || phase_ == phase::lingering )
        return;
    phase_ = phase::answering;
    finish_after_write_ = true;
    flush();
}

auto caller_connection::write( std::string const& bytes ) -> void
{
    if ( phase_ == phase::closed )
        return;
    if ( unsent_bytes() == 0 )
        stalled_since_ = std::chrono::steady_clock::now();
    pending_ += bytes;
    note_unsent();
    flush();
}

/// Counts the memory that the unsent bytes take, which may close the
/// connection.
auto caller_connection::note_unsent() -> void
{
    unsent_.set(
        unsent_bytes() == 0 ? 0 : pending_.capacity() + writing_.capacity() );
}

auto caller_connection::flush() -> void
{
    if ( write_open_ || phase_ == phase::closed )
        return;
    if ( pending_.empty() )
    {
        if ( finish_after_write_ )
            linger();
        return;
    }
    write_open_ = true;
    writing_ = std::exchange( pending_, {} );
    written_bytes_ = 0;
    write_some();
}

auto caller_connection::write_some() -> void
{
    auto const rest = net::buffer( writing_ ) + written_bytes_;
    socket_.async_write_some(
        rest,
        [self = shared_from_this()]( error_code ec, std::size_t n )
        {
            self->on_written( ec, n );
        } );
}

auto caller_connection::on_written( error_code ec, std::size_t n ) -> void
{
    if ( ec || phase_ == phase::closed )
    {
        write_open_ = false;
        return close();
    }
    stalled_since_ = std::chrono::steady_clock::now();
    written_bytes_ += n;
    if ( written_bytes_ < writing_.size() )
        return write_some();
    write_open_ = false;
    written_bytes_ = 0;
    // `clear` would keep the memory.
    std::string().swap( writing_ );
    note_unsent();
    flush();
    if ( phase_ != phase::idle || unsent_bytes() > 0 )
        return;
    account_.note_progress();
    parse();
    read();
}

auto caller_connection::drop_unsent() -> void
{
    auto ec = error_code{};
    socket_.close( ec );
    std::string().swap( pending_ );
    unsent_.set( 0 );
    // The request is told of the end in a call of its own.
    net::post( socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->close();
               } );
}

}
