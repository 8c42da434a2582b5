#include <pollenstream/adapters/http/handler_threads.hpp>
#include <pollenstream/adapters/system/guarded.hpp>

#include <atomic>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

/// Handlers may block on each other, such as the two sides of a test.
constexpr auto default_threads = std::size_t{ 40 };

auto number_of_threads() -> std::atomic<std::size_t>&
{
    static auto number = std::atomic( default_threads );
    return number;
}

/// Never destroyed: handlers may outlive all static objects.
auto handler_threads() -> asio::net::thread_pool&
{
    static auto* const threads =
        new asio::net::thread_pool( number_of_threads().load() );
    return *threads;
}

}

auto set_handler_threads( std::size_t threads ) -> void
{
    number_of_threads().store( threads );
}

auto run_on_handler_thread( std::function<void()> work ) -> void
{
    asio::net::post( handler_threads(),
                     [work = std::move( work )]
                     {
                         system::run_guarded( "a handler", work );
                     } );
}

auto make_handler_strand() -> handler_strand
{
    return asio::net::make_strand( handler_threads().get_executor() );
}

}
