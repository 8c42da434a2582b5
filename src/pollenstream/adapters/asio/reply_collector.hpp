#ifndef POLLENSTREAM_ADAPTERS_ASIO_REPLY_COLLECTOR_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_REPLY_COLLECTOR_HPP

#include <pollenstream/adapters/asio/collected_end.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>

#include <memory>
#include <string>
#include <utility>

namespace pollenstream::adapters::asio
{

/// Collects a complete answer and reports a timeout if it takes too long.
class reply_collector : public http_listener,
                        public std::enable_shared_from_this<reply_collector>
{
public:
    reply_collector( net::io_context& io,
                     core::bounded_text body,
                     http_client::fetch_callback callback )
        : timer_( io ), callback_( std::move( callback ) ),
          body_( std::move( body ) )
    {
    }
    auto limit( core::duration time,
                std::shared_ptr<exchange::open_attempt> call ) -> void
    {
        if ( !callback_ )
            return;
        call_ = std::move( call );
        timer_.expires_after( time );
        timer_.async_wait(
            [self = shared_from_this()]( error_code ec )
            {
                if ( !ec )
                    self->give_up(
                        { core::error_code::timed_out, "no answer in time" } );
            } );
    }
    auto on_head( raw_head head ) -> void override
    {
        status_ = head.status;
        if ( head.announced_bytes.value_or( 0 ) > body_.max_bytes() )
            give_up( too_large() );
    }
    auto on_body( std::string bytes ) -> void override
    {
        if ( !body_.append( bytes ) )
            give_up( too_large() );
    }
    auto on_end( exchange::attempt_end end ) -> void override
    {
        if ( !end.complete )
            return finish( end.error );
        auto body = body_.release();
        auto const checked =
            check_collected( status_, end.is_delimited_by_close, body.size() );
        if ( !checked )
            return finish( checked.error() );
        finish( http_reply{ status_, std::move( body ) } );
    }

private:
    static auto too_large() -> core::error
    {
        return { core::error_code::malformed, "the answer is too large" };
    }

    auto give_up( core::error why ) -> void
    {
        if ( !callback_ )
            return;
        if ( call_ )
            call_->cancel();
        finish( std::move( why ) );
    }

    auto finish( core::result<http_reply> result ) -> void
    {
        timer_.cancel();
        call_.reset();
        auto const callback = std::exchange( callback_, nullptr );
        if ( callback )
            callback( std::move( result ) );
    }

    net::steady_timer timer_;
    http_client::fetch_callback callback_;
    std::shared_ptr<exchange::open_attempt> call_;
    int status_{ 0 };
    core::bounded_text body_;
};

}

#endif
