#include "settings_watch.hpp"

#include <utility>

namespace pollenstream::gateway
{

namespace
{

using namespace std::chrono_literals;

/// Pause between looks at the file. Operators give a change of configuration
/// two seconds; a look reads some kilobytes.
constexpr auto look_period = core::duration( 1s );

}

settings_watch::settings_watch( std::string path,
                                core::instance_id self,
                                reader read,
                                taker take,
                                ports::scheduler& scheduler,
                                exchange::event_log& log )
    : path_( std::move( path ) ), self_( std::move( self ) ),
      read_( std::move( read ) ), take_( std::move( take ) ),
      scheduler_( scheduler ), log_( log )
{
}

auto settings_watch::start() -> void
{
    seen_ = read_();
    look();
}

auto settings_watch::reload() -> void
{
    read_again( "signal" );
}

auto settings_watch::look() -> void
{
    next_look_ = scheduler_.call_after( look_period,
                                        [this]
                                        {
                                            auto const done =
                                                std::move( next_look_ );
                                            if ( read_() != seen_ )
                                                read_again( "file changed" );
                                            look();
                                        } );
}

auto settings_watch::read_again( std::string const& because ) -> void
{
    seen_ = read_();
    if ( !seen_ )
        return record( "kept_settings", path_ + " cannot be read" );
    auto found = core::findings{};
    auto const next = platform::read_settings( path_, *seen_, found );
    if ( !found.empty() )
        return record( "kept_settings", found.report() );
    auto const waits = take_( next );
    record( "reloaded", waits.empty()
                            ? because
                            : because + "; at the next start: " + waits );
}

auto settings_watch::record( std::string now, std::string because ) -> void
{
    log_.record( exchange::state_change{
        "process", self_.str(), std::move( now ), std::move( because ), {} } );
}

}
