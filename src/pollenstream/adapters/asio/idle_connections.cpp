#include <pollenstream/adapters/asio/client_connection.hpp>
#include <pollenstream/adapters/asio/idle_connections.hpp>

#include <cstddef>
#include <utility>

namespace pollenstream::adapters::asio
{

namespace
{

/// Idle connections kept per pool. Targets limit the total number of
/// connections from all their clients.
constexpr auto max_idle_connections = std::size_t{ 8 };

}

auto idle_connections::take( std::string const& pool )
    -> std::shared_ptr<client_connection>
{
    auto const found = pools_.find( pool );
    if ( found == pools_.end() )
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

auto idle_connections::keep( std::shared_ptr<client_connection> connection )
    -> void
{
    auto& kept = pools_[connection->pool()];
    if ( kept.size() >= max_idle_connections )
    {
        kept.front()->close();
        kept.erase( kept.begin() );
    }
    connection->watch_idle();
    kept.push_back( std::move( connection ) );
}

auto idle_connections::forget( client_connection const* connection ) -> void
{
    auto const found = pools_.find( connection->pool() );
    if ( found == pools_.end() )
        return;
    std::erase_if( found->second,
                   [connection]( auto const& c )
                   {
                       return c.get() == connection;
                   } );
}

}
