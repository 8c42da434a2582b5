#include "first_settings.hpp"

namespace pollenstream::gateway
{

auto read_settings_once( settings_source const& from,
                         platform::settings_findings& found )
    -> platform::gateway_settings
{
    auto const text = from.read();
    if ( text )
        return platform::read_settings( from.path, *text, found );
    found.errors.add( { from.path, 0, "" }, "cannot be read" );
    return {};
}

auto wait_for_settings( settings_source const& from )
    -> platform::gateway_settings
{
    auto reported = std::string{};
    while ( true )
    {
        auto found = platform::settings_findings{};
        auto settings = read_settings_once( from, found );
        auto const is_usable = found.errors.empty();
        auto const findings = found.errors.report() + found.ignored.report();
        if ( !findings.empty() && findings != reported )
            from.report( findings, is_usable );
        if ( is_usable )
            return settings;
        reported = findings;
        from.pause();
    }
}

}
