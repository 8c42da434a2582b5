#ifndef POLLENSTREAM_ADAPTERS_HTTP_REPLY_CHANNEL_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_REPLY_CHANNEL_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/exchange/message.hpp>

#include <cpprest/json.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace pollenstream::adapters::http
{

/// Sends the reply to one request, from any thread. A request whose channel is
/// destroyed without a reply is answered with status 500.
class reply_channel
{
public:
    /// `loop` runs the connection of `answer`.
    reply_channel( std::shared_ptr<asio::net::io_context> loop,
                   std::shared_ptr<exchange::answer_channel> answer );
    ~reply_channel();
    reply_channel( reply_channel const& ) = delete;
    auto operator=( reply_channel const& ) -> reply_channel& = delete;

    auto send( exchange::whole_answer reply ) -> void;
    /// Does nothing if there is a reply, or the begin of one.
    auto send_if_none( exchange::whole_answer reply ) -> void;
    /// Sends `body` as JSON with status 200.
    auto send_json( web::json::value const& body ) -> void;
    /// Starts a reply whose body follows in pieces.
    auto start_stream( int status, exchange::header_list headers ) -> void;
    auto write( std::string bytes ) -> void;
    auto end_stream() -> void;

    /// True once the caller has closed its connection.
    [[nodiscard]] auto is_gone() const -> bool
    {
        return is_gone_.load();
    }
    auto note_gone() -> void
    {
        is_gone_.store( true );
    }

private:
    using step = std::function<void( exchange::answer_channel& )>;

    auto post( step what ) -> void;

    std::shared_ptr<asio::net::io_context> loop_;
    std::shared_ptr<exchange::answer_channel> answer_;
    std::atomic<bool> has_reply_{ false };
    std::atomic<bool> is_gone_{ false };
};

/// A reply with a JSON body.
auto json_reply( int status, web::json::value const& body )
    -> exchange::whole_answer;

}

#endif
