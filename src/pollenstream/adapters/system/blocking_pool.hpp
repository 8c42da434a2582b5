#ifndef POLLENSTREAM_ADAPTERS_SYSTEM_BLOCKING_POOL_HPP
#define POLLENSTREAM_ADAPTERS_SYSTEM_BLOCKING_POOL_HPP

#include <boost/asio/thread_pool.hpp>

#include <functional>

namespace pollenstream::adapters::system
{

/// Threads for work that waits for other processes. The HTTP library's own
/// threads must not wait: they are few, and what they would wait for runs on
/// them too.
class blocking_pool
{
public:
    explicit blocking_pool( std::size_t threads );
    ~blocking_pool();
    blocking_pool( blocking_pool const& ) = delete;
    auto operator=( blocking_pool const& ) -> blocking_pool& = delete;

    auto post( std::function<void()> work ) -> void;

private:
    boost::asio::thread_pool threads_;
};

}

#endif
