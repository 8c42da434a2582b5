#include "settings_watch.hpp"

#include <utility>

namespace pollenstream::gateway
{

namespace
{

using namespace std::chrono_literals;

/// Operators expect a configuration change to be in force within two seconds.
/// Each poll reads only a few kilobytes.
constexpr auto poll_period = core::duration( 1s );

}

settings_watch::settings_watch( std::string path,
                                core::instance_id self,
                                text_reader read_text,
                                applier apply,
                                ports::scheduler& scheduler,
                                exchange::event_log& log )
    : path_( std::move( path ) ), self_( std::move( self ) ),
      read_text_( std::move( read_text ) ), apply_( std::move( apply ) ),
      log_( log ), polls_( scheduler,
                           poll_period,
                           [this]
                           {
                               poll();
                           } )
{
}

auto settings_watch::start() -> void
{
    last_text_ = read_text_();
    polls_.start_later();
}

auto settings_watch::reload() -> void
{
    read_settings_again( "signal" );
}

auto settings_watch::poll() -> void
{
    if ( read_text_() != last_text_ )
        read_settings_again( "file changed" );
}

auto settings_watch::read_settings_again( std::string const& because ) -> void
{
    last_text_ = read_text_();
    if ( !last_text_ )
        return record( "kept_settings", path_ + " cannot be read" );
    auto found = core::findings{};
    auto const next = platform::read_settings( path_, *last_text_, found );
    if ( !found.empty() )
        return record( "kept_settings", found.report() );
    auto const deferred = apply_( next );
    record( "reloaded", deferred.empty()
                            ? because
                            : because + "; at the next start: " + deferred );
}

auto settings_watch::record( std::string now, std::string because ) -> void
{
    log_.record( exchange::state_change{
        "process", self_.str(), std::move( now ), std::move( because ), {} } );
}

}
