#ifndef POLLENSTREAM_ADAPTERS_SYSTEM_BLOCKING_POOL_HPP
#define POLLENSTREAM_ADAPTERS_SYSTEM_BLOCKING_POOL_HPP

#include <boost/asio/thread_pool.hpp>

#include <functional>

namespace pollenstream::adapters::system
{

/// A thread pool for work that blocks on other processes. The threads for
/// handlers must not block: they are few, and they also run the work that the
/// blocked call would wait for.
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
