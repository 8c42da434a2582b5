#ifndef POLLENSTREAM_APPS_GATEWAY_STATE_HANDLER_HPP
#define POLLENSTREAM_APPS_GATEWAY_STATE_HANDLER_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/registry/registry_watch.hpp>

namespace pollenstream::gateway
{

/// Serves the registry records that this instance holds to other instances.
class state_handler : public adapters::asio::request_handler
{
public:
    explicit state_handler( registry::registry_watch const& registry );

    [[nodiscard]] auto limits() const -> exchange::caller_limits override;
    [[nodiscard]] auto makes_long_answers() const -> bool override
    {
        return true;
    }
    auto handle( adapters::asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<adapters::asio::request_in_progress> override;

private:
    registry::registry_watch const& registry_;
};

}

#endif
