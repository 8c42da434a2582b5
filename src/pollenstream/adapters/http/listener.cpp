#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/adapters/http/handler_threads.hpp>
#include <pollenstream/adapters/http/listener.hpp>
#include <pollenstream/adapters/http/open_requests.hpp>
#include <pollenstream/adapters/http/problem.hpp>
#include <pollenstream/adapters/http/running_handlers.hpp>

#include <cpprest/base_uri.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <thread>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using namespace std::chrono_literals;

/// A caller has this long to send a head, and three times as long for a body.
constexpr auto header_timeout = core::duration( 20s );
constexpr auto idle_timeout = core::duration( 60s );
/// Of a process whose listener shares its limits with no other.
constexpr auto default_memory = std::size_t{ 1024 } * 1024 * 1024;
constexpr auto close_limit = core::duration( 2s );
constexpr auto last_answers_limit = core::duration( 500ms );
constexpr auto close_poll_period = 10ms;

auto decoded_path( web::uri const& from ) -> std::vector<std::string>
{
    auto parts = web::uri::split_path( from.path() );
    for ( auto& part : parts )
        part = web::uri::decode( part );
    return parts;
}

auto matches_path( route const& r, std::vector<std::string> const& path )
    -> bool
{
    if ( path.size() < r.prefix.size() )
        return false;
    if ( path.size() > r.prefix.size() && !r.allows_subpaths )
        return false;
    return std::equal( r.prefix.begin(), r.prefix.end(), path.begin() );
}

/// The length that a head announces; the parser has checked that it is a
/// number.
auto announced_length( exchange::header_list const& headers ) -> std::uint64_t
{
    auto const text = header_value( headers, "Content-Length" );
    auto length = std::uint64_t{ 0 };
    std::from_chars( text.data(), text.data() + text.size(), length );
    return length;
}

auto stopped_meanwhile() -> ports::answer_end
{
    auto end = ports::answer_end{};
    end.status = ports::answer_status::unknown;
    end.reason = "stopped";
    end.detail = "the instance has stopped; the request may have run";
    return end;
}

}

auto received_request::header( std::string const& name ) const -> std::string
{
    return header_value( headers, name );
}

auto received_request::query( std::string const& name ) const -> std::string
{
    auto const values = web::uri::split_query( query_text );
    auto const at = values.find( name );
    return at == values.end() ? std::string{} : web::uri::decode( at->second );
}

/// The open listener and what it answers.
class listener::server : public asio::request_handler
{
public:
    server( std::vector<route> const& routes,
            std::size_t max_body_size,
            std::shared_ptr<listening_loop> loop )
        : routes_( routes ), max_body_size_( max_body_size ),
          loop_( std::move( loop ) ),
          listener_( std::make_unique<asio::caller_listener>(
              *loop_->context(), *this, loop_->accounts(), loop_->unsent() ) )
    {
    }
    ~server() override
    {
        handlers_.wait_for_none();
        loop_->run_and_wait(
            [this]
            {
                listener_->close_all();
            } );
        // By now the loop has run what closing has ended.
        loop_->run_and_wait(
            [this]
            {
                listener_.reset();
            } );
    }
    server( server const& ) = delete;
    auto operator=( server const& ) -> server& = delete;

    auto open( core::address const& at ) -> void
    {
        auto ec = asio::error_code{};
        loop_->run_and_wait(
            [&]
            {
                ec = listener_->open( at );
            } );
        if ( ec )
            throw boost::system::system_error( ec, core::to_string( at ) );
    }

    /// Waits until callers have taken their answers, up to `close_limit`, and
    /// answers what is still open then.
    auto drain() -> void
    {
        wait_for_callers( close_limit );
        loop_->run_and_wait(
            [this]
            {
                open_->give_up_all( problem_reply( stopped_meanwhile() ) );
            } );
        wait_for_callers( last_answers_limit );
    }

    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        auto limits = exchange::caller_limits{};
        // `needs_body` decides on lengths, so that a caller gets the reason.
        limits.max_body_bytes = std::numeric_limits<std::int64_t>::max();
        limits.header_timeout = header_timeout;
        limits.idle_timeout = idle_timeout;
        return limits;
    }

    [[nodiscard]] auto needs_body( asio::raw_request const& head ) const
        -> bool override
    {
        return !refusal_of( head );
    }

    auto handle( asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override
    {
        auto const reply = std::make_shared<reply_channel>(
            loop_->context(), std::move( answer ) );
        auto work = std::make_shared<request_in_work>(
            std::move( request.body_memory ), reply, open_ );
        auto const received =
            std::make_shared<asio::raw_request>( std::move( request ) );
        run_on_handler_thread(
            [this, reply, received, running = handlers_.add()]
            {
                receive( *received, reply );
            } );
        return work;
    }

private:
    auto wait_for_callers( core::duration limit ) -> void
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while ( connections_after_stop() > 0 &&
                std::chrono::steady_clock::now() < end )
            std::this_thread::sleep_for( close_poll_period );
    }

    auto connections_after_stop() -> std::size_t
    {
        auto count = std::size_t{ 0 };
        loop_->run_and_wait(
            [&]
            {
                listener_->stop_accepting();
                listener_->begin_drain();
                listener_->close_idle();
                count = listener_->connections();
            } );
        return count;
    }

    /// Why a request is refused by its head alone.
    [[nodiscard]] auto refusal_of( asio::raw_request const& head ) const
        -> std::optional<ports::answer_end>
    {
        if ( !header_value( head.fields, "Transfer-Encoding" ).empty() )
            return bad_request( "no-length", "send a Content-Length" );
        if ( announced_length( head.fields ) > max_body_size_ )
            return bad_request(
                "too-large", "the body is larger than " +
                                 std::to_string( max_body_size_ ) + " bytes" );
        return std::nullopt;
    }

    auto receive( asio::raw_request& raw,
                  std::shared_ptr<reply_channel> const& reply ) const -> void
    {
        if ( auto const refusal = refusal_of( raw ) )
            return reply->send( problem_reply( *refusal ) );
        try
        {
            auto const target = web::uri( raw.target );
            dispatch( { raw.method, decoded_path( target ), target.query(),
                        std::move( raw.fields ), std::move( raw.body ),
                        reply } );
        }
        catch ( std::exception const& failure )
        {
            reply->send(
                problem_reply( bad_request( "bad-request", failure.what() ) ) );
        }
    }

    auto dispatch( received_request request ) const -> void
    {
        auto path_is_known = false;
        for ( auto const& each : routes_ )
        {
            if ( !matches_path( each, request.path ) )
                continue;
            path_is_known = true;
            if ( !each.method.empty() && each.method != request.method )
                continue;
            each.handle( std::move( request ) );
            return;
        }
        auto const end =
            path_is_known
                ? bad_request( "wrong-method", "the path has no such method" )
                : bad_request( "unknown-path", "see docs/CALLERS.md for "
                                               "paths" );
        request.reply->send( problem_reply( end ) );
    }

    std::vector<route> const& routes_;
    std::size_t max_body_size_;
    std::shared_ptr<listening_loop> loop_;
    std::shared_ptr<open_requests> open_{ std::make_shared<open_requests>() };
    std::unique_ptr<asio::caller_listener> listener_;
    running_handlers handlers_;
};

listener::listener( core::address const& at,
                    std::size_t max_body_size,
                    std::vector<route> routes,
                    std::shared_ptr<listening_loop> loop )
    : at_( at ), max_body_size_( max_body_size ),
      routes_( std::move( routes ) ), loop_( std::move( loop ) )
{
}

listener::~listener()
{
    close();
}

auto listener::open() -> void
{
    auto loop =
        loop_ ? loop_ : std::make_shared<listening_loop>( own_limits() );
    auto opened =
        std::make_unique<server>( routes_, max_body_size_, std::move( loop ) );
    opened->open( at_ );
    server_ = std::move( opened );
}

/// Of a listener that shares its loop with no other.
auto listener::own_limits() const -> listening_limits
{
    auto limits = listening_limits_of( default_memory );
    limits.received_bytes =
        std::max( limits.received_bytes, 2 * max_body_size_ );
    return limits;
}

auto listener::close() -> void
{
    if ( server_ )
        server_->drain();
    server_.reset();
}

}
