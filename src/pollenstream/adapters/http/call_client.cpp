#include <pollenstream/adapters/asio/collected_end.hpp>
#include <pollenstream/adapters/asio/connection_probe.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>
#include <pollenstream/adapters/asio/http_text.hpp>
#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/adapters/http/handler_threads.hpp>
#include <pollenstream/adapters/system/guarded.hpp>
#include <pollenstream/core/shared_limit.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <atomic>
#include <exception>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using namespace std::chrono_literals;
namespace net = asio::net;

constexpr auto max_connect_time = core::duration( 2s );
/// A server that acknowledges nothing for this long is gone.
constexpr auto max_silence = core::duration( 5s );
/// Reading pauses while the listener has not taken this many bytes.
constexpr auto max_undelivered_bytes = std::size_t{ 256 } * 1024;
constexpr auto default_collected_together = std::size_t{ 128 } * 1024 * 1024;

/// The error of a call that was sent, unless it was never connected.
auto error_of( exchange::attempt_end const& end ) -> core::error
{
    auto const& why = end.error;
    auto const is_exact = why.code == core::error_code::unreachable ||
                          why.code == core::error_code::timed_out;
    if ( is_exact )
        return why;
    return { core::error_code::connection_lost, why.detail };
}

/// One call. The functions of `http_listener` and `start` run on the thread of
/// the transport, those of the call's own listener on the threads for handlers.
class running_call : public open_call,
                     public asio::http_listener,
                     public std::enable_shared_from_this<running_call>
{
public:
    running_call( net::io_context& loop,
                  core::duration idle_limit,
                  std::shared_ptr<call_listener> listener )
        : loop_( loop ), timer_( loop ), idle_limit_( idle_limit ),
          handlers_( make_handler_strand() ), listener_( std::move( listener ) )
    {
    }

    auto start( asio::http_client& client, asio::http_call call ) -> void
    {
        if ( is_cancelled_ )
            return;
        restart_timer();
        attempt_ = client.send( std::move( call ), shared_from_this() );
    }

    auto cancel() -> void override
    {
        if ( is_cancelled_.exchange( true ) )
            return;
        net::post( loop_,
                   [self = shared_from_this()]
                   {
                       self->close();
                   } );
        net::post( handlers_,
                   [self = shared_from_this()]
                   {
                       self->listener_.reset();
                   } );
    }

    auto on_head( asio::raw_head head ) -> void override
    {
        restart_timer();
        auto const lock = std::scoped_lock( mutex_ );
        received_.head = call_head{ head.status, std::move( head.fields ),
                                    head.announced_bytes };
        deliver_later();
    }

    auto on_body( std::string bytes ) -> void override
    {
        restart_timer();
        auto const lock = std::scoped_lock( mutex_ );
        received_.bytes += bytes;
        if ( received_.bytes.size() > max_undelivered_bytes )
            pause();
        deliver_later();
    }

    auto on_end( exchange::attempt_end end ) -> void override
    {
        timer_.cancel();
        attempt_.reset();
        auto const status = end.complete
                                ? core::result<void>( core::success() )
                                : core::result<void>( error_of( end ) );
        end_with( { status, end.is_delimited_by_close } );
    }

private:
    /// Parts of the answer that the listener has yet to be given.
    struct undelivered
    {
        std::optional<call_head> head;
        std::string bytes;
        std::optional<call_end> end;
    };

    auto restart_timer() -> void
    {
        timer_.expires_after( idle_limit_ );
        timer_.async_wait(
            [self = shared_from_this()]( asio::error_code ec )
            {
                if ( !ec )
                    self->on_idle();
            } );
    }

    auto on_idle() -> void
    {
        if ( !attempt_ || is_paused_ )
            return;
        close();
        end_with( { core::error{ core::error_code::timed_out,
                                 "nothing was received in time" },
                    false } );
    }

    auto close() -> void
    {
        timer_.cancel();
        if ( auto const attempt = std::exchange( attempt_, nullptr ) )
            attempt->cancel();
    }

    auto end_with( call_end end ) -> void
    {
        auto const lock = std::scoped_lock( mutex_ );
        received_.end = std::move( end );
        deliver_later();
    }

    auto pause() -> void
    {
        is_paused_ = true;
        if ( attempt_ )
            attempt_->pause();
    }

    auto resume() -> void
    {
        is_paused_ = false;
        if ( !attempt_ )
            return;
        restart_timer();
        attempt_->resume();
    }

    /// The mutex has to be held.
    auto deliver_later() -> void
    {
        if ( std::exchange( is_delivering_, true ) )
            return;
        net::post( handlers_,
                   [self = shared_from_this()]
                   {
                       system::run_guarded( "the listener of a call",
                                            [&]
                                            {
                                                self->deliver();
                                            } );
                   } );
    }

    auto take_received() -> undelivered
    {
        auto const lock = std::scoped_lock( mutex_ );
        is_delivering_ = false;
        return std::exchange( received_, {} );
    }

    auto deliver() -> void
    {
        auto const next = take_received();
        if ( is_cancelled_ || !listener_ )
            return;
        try
        {
            if ( next.head )
                listener_->on_head( *next.head );
            if ( !next.bytes.empty() )
                listener_->on_bytes( next.bytes );
        }
        catch ( std::exception const& e )
        {
            return fail( e.what() );
        }
        if ( next.end )
            return deliver_end( *next.end );
        net::post( loop_,
                   [self = shared_from_this()]
                   {
                       if ( self->is_paused_ )
                           self->resume();
                   } );
    }

    /// The listener cannot go on with what it got.
    auto fail( std::string why ) -> void
    {
        net::post( loop_,
                   [self = shared_from_this()]
                   {
                       self->close();
                   } );
        deliver_end( { core::error{ core::error_code::connection_lost,
                                    std::move( why ) },
                       false } );
    }

    auto deliver_end( call_end const& end ) -> void
    {
        auto const listener = std::exchange( listener_, nullptr );
        listener->on_end( end );
    }

    net::io_context& loop_;
    net::steady_timer timer_;
    core::duration idle_limit_;
    std::shared_ptr<exchange::open_attempt> attempt_;
    bool is_paused_{ false }; ///< on the thread of the transport
    handler_strand handlers_;
    std::shared_ptr<call_listener> listener_; ///< on the strand
    std::atomic<bool> is_cancelled_{ false };
    std::mutex mutex_;
    undelivered received_;
    bool is_delivering_{ false };
};

/// The event loop of all calls, with its thread.
class transport
{
public:
    transport()
        // Whoever collects a body bounds it.
        : client_( loop_, 0 ), work_( net::make_work_guard( loop_ ) ),
          thread_(
              [this]
              {
                  run();
              } )
    {
    }

    auto start( std::shared_ptr<running_call> call, asio::http_call what )
        -> void
    {
        net::post( loop_,
                   [this, call = std::move( call ), what = std::move( what )]
                   {
                       call->start( client_, what );
                   } );
    }

    auto observe( std::shared_ptr<asio::broken_answer_observer> observer )
        -> void
    {
        net::post( loop_,
                   [this, observer = std::move( observer )]
                   {
                       client_.broken().observe( observer );
                   } );
    }

    [[nodiscard]] auto loop() -> net::io_context&
    {
        return loop_;
    }
    [[nodiscard]] auto broken() const -> asio::broken_answers const&
    {
        return client_.broken();
    }

private:
    /// Goes on after a handler that has thrown.
    auto run() -> void
    {
        while ( !loop_.stopped() )
            system::run_guarded( "a handler of a call",
                                 [this]
                                 {
                                     loop_.run();
                                 } );
    }

    net::io_context loop_{ 1 };
    asio::http_client client_;
    net::executor_work_guard<net::io_context::executor_type> work_;
    std::thread thread_;
};

/// Never destroyed: calls may outlive their client and all static objects.
auto shared_transport() -> transport&
{
    static auto* const all_calls = new transport();
    return *all_calls;
}

/// Of all answers that are being collected.
auto collected_limit() -> core::shared_limit&
{
    static auto limit = core::shared_limit( default_collected_together );
    return limit;
}

/// Collects a complete answer.
class answer_collector : public call_listener
{
public:
    explicit answer_collector( collected_callback callback )
        : callback_( std::move( callback ) )
    {
    }
    ~answer_collector() override
    {
        collected_limit().give_back( taken_bytes_ );
    }
    answer_collector( answer_collector const& ) = delete;
    auto operator=( answer_collector const& ) -> answer_collector& = delete;

    auto on_head( call_head const& head ) -> void override
    {
        answer_.head = head;
        if ( head.announced_bytes.value_or( 0 ) > max_collected_bytes )
            throw std::length_error( "the body is too large" );
    }
    auto on_bytes( std::string_view bytes ) -> void override
    {
        if ( bytes.size() > max_collected_bytes - answer_.body.size() )
            throw std::length_error( "the body is too large" );
        if ( !collected_limit().take( bytes.size() ) )
            throw std::length_error( "no memory for the body" );
        taken_bytes_ += bytes.size();
        answer_.body += bytes;
    }
    auto on_end( call_end const& end ) -> void override
    {
        answer_.is_delimited_by_close = end.is_delimited_by_close;
        if ( !end.status )
            return callback_( end.status.error() );
        auto const checked = asio::check_collected( answer_.head.status,
                                                    end.is_delimited_by_close,
                                                    answer_.body.size() );
        if ( !checked )
            return callback_( checked.error() );
        callback_( std::move( answer_ ) );
    }

private:
    collected_callback callback_;
    collected_answer answer_;
    std::size_t taken_bytes_{ 0 }; ///< of `collected_limit`
};

/// The header fields that every call has.
auto complete_headers( core::address const& to, call_request const& request )
    -> exchange::header_list
{
    auto headers = request.headers;
    headers.push_back( { "Host", core::to_string( to ) } );
    if ( request.fresh_connection )
        headers.push_back( { "Connection", "close" } );
    return headers;
}

auto transport_call( core::address const& to,
                     call_request const& request,
                     core::duration idle_limit ) -> asio::http_call
{
    auto call = asio::http_call{};
    call.address = to;
    call.pool = core::to_string( to );
    call.text = std::make_shared<std::string>(
        asio::write_request( request.method, request.target,
                             complete_headers( to, request ), request.body ) );
    call.fresh_connection = request.fresh_connection;
    call.connect_time = std::min( idle_limit, max_connect_time );
    call.silence = max_silence;
    call.is_head_request = request.method == "HEAD";
    return call;
}

}

call_client::call_client( core::duration idle_limit )
    : idle_limit_( idle_limit )
{
}

auto call_client::send( core::address const& to,
                        call_request const& request,
                        std::shared_ptr<call_listener> listener ) const
    -> std::shared_ptr<open_call>
{
    return send( to, request, idle_limit_, std::move( listener ) );
}

auto call_client::send( core::address const& to,
                        call_request const& request,
                        core::duration idle_limit,
                        std::shared_ptr<call_listener> listener ) const
    -> std::shared_ptr<open_call>
{
    auto const limit = std::max( core::duration( 1ms ), idle_limit );
    auto call = std::make_shared<running_call>( shared_transport().loop(),
                                                limit, std::move( listener ) );
    shared_transport().start( call, transport_call( to, request, limit ) );
    return call;
}

auto call_client::collect( core::address const& to,
                           call_request const& request,
                           collected_callback callback ) const -> void
{
    collect( to, request, idle_limit_, std::move( callback ) );
}

auto call_client::collect( core::address const& to,
                           call_request const& request,
                           core::duration idle_limit,
                           collected_callback callback ) const -> void
{
    send( to, request, idle_limit,
          std::make_shared<answer_collector>( std::move( callback ) ) );
}

auto call_client::collect_and_wait( core::address const& to,
                                    call_request const& request ) const
    -> core::result<collected_answer>
{
    auto const answer =
        std::make_shared<std::promise<core::result<collected_answer>>>();
    collect( to, request,
             [answer]( core::result<collected_answer> const& result )
             {
                 answer->set_value( result );
             } );
    return answer->get_future().get();
}

auto probe( core::address const& address,
            core::duration limit,
            std::function<void( std::optional<bool> )> callback ) -> void
{
    auto& loop = shared_transport().loop();
    net::post( loop,
               [&loop, address, limit, callback = std::move( callback )]
               {
                   asio::probe_connection(
                       loop, address, limit,
                       [callback]( std::optional<bool> listens )
                       {
                           run_on_handler_thread(
                               [callback, listens]
                               {
                                   callback( listens );
                               } );
                       } );
               } );
}

auto set_collected_limit( std::size_t max_bytes ) -> void
{
    collected_limit().set_max( max_bytes );
}

auto observe_broken_answers(
    std::shared_ptr<asio::broken_answer_observer> observer ) -> void
{
    shared_transport().observe( std::move( observer ) );
}

auto count_of_broken_answers( asio::answer_defect why ) -> std::uint64_t
{
    return shared_transport().broken().count( why );
}

auto header_value( exchange::header_list const& headers, std::string_view name )
    -> std::string
{
    auto const wanted = boost::beast::string_view( name.data(), name.size() );
    auto const at =
        std::find_if( headers.begin(), headers.end(),
                      [wanted]( auto const& field )
                      {
                          return boost::beast::iequals( field.name, wanted );
                      } );
    return at == headers.end() ? std::string{} : at->value;
}

}
