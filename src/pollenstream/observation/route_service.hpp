#ifndef POLLENSTREAM_OBSERVATION_ROUTE_SERVICE_HPP
#define POLLENSTREAM_OBSERVATION_ROUTE_SERVICE_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pollenstream::observation
{

/// Records, for each route, when this process serves its first request of it,
/// and what had become of those before. If none was served `patience` after the
/// first request of the route, it records that once. A process that serves some
/// routes may so be seen not to serve others.
///
/// Passes all events on to the next log. Not thread-safe.
class route_service : public exchange::event_log
{
public:
    static constexpr auto patience =
        core::duration( std::chrono::seconds( 5 ) );
    /// Further routes are not followed.
    static constexpr auto max_routes = std::size_t{ 32 };

    route_service( exchange::event_log& next, ports::scheduler& scheduler );

    auto record( exchange::event const& what ) -> void override;

private:
    /// Requests of one route until the first one is served.
    struct route_start
    {
        core::instant first_request;
        std::map<std::string, std::uint64_t> not_served; ///< by outcome
        bool is_served{ false };
        bool is_overdue{ false };
    };

    auto on_ended( exchange::request_ended const& e ) -> void;
    /// Null for a route that is not followed.
    auto start_of( std::string const& route ) -> route_start*;
    auto record_state( std::string const& route,
                       route_start const& start,
                       std::string now ) -> void;

    exchange::event_log& next_log_;
    ports::scheduler& scheduler_;
    std::map<std::string, route_start> routes_;
};

}

#endif
