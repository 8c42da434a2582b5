#ifndef POLLENSTREAM_EXCHANGE_MIX_WATCH_HPP
#define POLLENSTREAM_EXCHANGE_MIX_WATCH_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/routes.hpp>

#include <unordered_map>

namespace pollenstream::exchange
{

/// Records when the short prompts of a service begin to be spread over several
/// engines, and when they are packed again; for each service at most one change
/// a second, as the forecast may vary around the boundary.
class mix_watch
{
public:
    mix_watch( load_table const& loads, event_log& log )
        : load_table_( loads ), log_( log )
    {
    }

    /// Compares with the last state recorded. To be called regularly.
    auto update( route_configuration const& configuration, core::instant now )
        -> void;

private:
    struct recorded_state
    {
        bool spread{ false };
        core::instant recorded_at;
    };

    load_table const& load_table_;
    event_log& log_;
    std::unordered_map<core::service_id, recorded_state> recorded_;
};

}

#endif
