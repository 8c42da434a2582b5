#include <pollenstream/adapters/asio/client_connection.hpp>
#include <pollenstream/adapters/asio/connection_probe.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>
#include <pollenstream/adapters/asio/reply_collector.hpp>

#include <utility>

namespace pollenstream::adapters::asio
{

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

auto http_client::send( http_call call,
                        std::shared_ptr<http_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto connection = call.fresh_connection ? nullptr : idle_.take( call.pool );
    if ( !connection )
        connection = std::make_shared<client_connection>( io_, idle_, made_,
                                                          broken_, call.pool );
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
