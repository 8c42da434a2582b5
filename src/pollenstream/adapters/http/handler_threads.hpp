#ifndef POLLENSTREAM_ADAPTERS_HTTP_HANDLER_THREADS_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_HANDLER_THREADS_HPP

#include <pollenstream/adapters/asio/prelude.hpp>

#include <cstddef>
#include <functional>

namespace pollenstream::adapters::http
{

using handler_strand = asio::net::strand<asio::net::thread_pool::executor_type>;

/// Sets the number of threads that run the handlers of calls and requests. Has
/// no effect after one of the functions below was called.
auto set_handler_threads( std::size_t threads ) -> void;

/// Runs `work` on one of the threads for handlers.
auto run_on_handler_thread( std::function<void()> work ) -> void;

/// An executor that runs its work on the threads for handlers, one at a time.
auto make_handler_strand() -> handler_strand;

}

#endif
