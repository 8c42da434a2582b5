#include <pollenstream/adapters/system/blocking_pool.hpp>
#include <pollenstream/adapters/system/guarded.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace pollenstream::adapters::system
{

blocking_pool::blocking_pool( std::size_t threads ) : threads_( threads ) {}

blocking_pool::~blocking_pool()
{
    threads_.join();
}

auto blocking_pool::post( std::function<void()> work ) -> void
{
    boost::asio::post( threads_,
                       [work = std::move( work )]
                       {
                           run_guarded( "blocking work", work );
                       } );
}

}
