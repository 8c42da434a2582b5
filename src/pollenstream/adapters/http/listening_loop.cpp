#include <pollenstream/adapters/asio/descriptor_limit.hpp>
#include <pollenstream/adapters/http/listening_loop.hpp>
#include <pollenstream/adapters/system/guarded.hpp>

#include <glog/logging.h>

#include <chrono>
#include <future>
#include <string>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

constexpr auto all_eighths = std::size_t{ 8 };
constexpr auto received_eighths = std::size_t{ 3 };
constexpr auto unsent_eighths = std::size_t{ 2 };
constexpr auto log_period_s = 1;
constexpr auto report_period = std::chrono::seconds( 1 );

/// One line for the callers that were dropped within a second.
auto log_dropped( std::string const& caller,
                  std::size_t bytes,
                  core::duration stalled ) -> void
{
    LOG_EVERY_T( WARNING, log_period_s )
        << "dropped " << caller << ", which took nothing of " << bytes
        << " bytes for " << core::milliseconds_of( stalled ) << " ms";
}

auto log_shortage( asio::shortage_report const& report ) -> void
{
    auto const is_memory = report.resource == asio::scarce_resource::memory;
    LOG( WARNING ) << "short of " << ( is_memory ? "memory" : "descriptors" )
                   << " for connections: " << report.gave_way
                   << " gave way, the last from " << report.caller << "; "
                   << report.refused << " refused";
}

}

auto listening_limits_of( std::size_t memory_bytes ) -> listening_limits
{
    auto const eighth = memory_bytes / all_eighths;
    return { eighth * received_eighths, eighth * unsent_eighths,
             asio::connections_of( asio::descriptor_limit() ) };
}

listening_loop::listening_loop( listening_limits const& limits )
    : context_( std::make_shared<asio::net::io_context>( 1 ) ),
      accounts_( std::make_shared<asio::connection_accounts>(
          std::make_shared<core::memory_budget>( limits.received_bytes ),
          limits.connections ) ),
      unsent_( std::make_shared<asio::unsent_answers>(
          std::make_shared<core::memory_budget>( limits.unsent_bytes ) ) ),
      work_( asio::net::make_work_guard( *context_ ) ),
      report_timer_( *context_ )
{
    accounts_->on_shortage = log_shortage;
    unsent_->on_dropped = log_dropped;
    report_shortages();
    thread_ = std::thread(
        [this]
        {
            run();
        } );
}

listening_loop::~listening_loop()
{
    context_->stop();
    thread_.join();
}

/// Goes on after a handler that has thrown.
auto listening_loop::run() -> void
{
    while ( !context_->stopped() )
        system::run_guarded( "a handler of a port",
                             [this]
                             {
                                 context_->run();
                             } );
}

auto listening_loop::report_shortages() -> void
{
    report_timer_.expires_after( report_period );
    report_timer_.async_wait(
        [this]( asio::error_code ec )
        {
            if ( ec )
                return;
            report_shortages();
            accounts_->report_rest();
        } );
}

auto listening_loop::usage() -> connection_usage
{
    auto usage = connection_usage{};
    run_and_wait(
        [&]
        {
            usage = { accounts_->connections(),    accounts_->max_connections(),
                      accounts_->received_bytes(), unsent_->unsent_bytes(),
                      accounts_->gave_way(),       accounts_->refused(),
                      unsent_->dropped() };
        } );
    return usage;
}

auto listening_loop::run_and_wait( std::function<void()> work ) -> void
{
    auto task = std::packaged_task<void()>( std::move( work ) );
    auto done = task.get_future();
    asio::net::dispatch( *context_,
                         [&task]
                         {
                             task();
                         } );
    done.get();
}

}
