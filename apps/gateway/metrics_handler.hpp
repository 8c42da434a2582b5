#ifndef POLLENSTREAM_APPS_GATEWAY_METRICS_HANDLER_HPP
#define POLLENSTREAM_APPS_GATEWAY_METRICS_HANDLER_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>

#include <functional>
#include <string>

namespace pollenstream::gateway
{

/// Serves counters and histograms at `/metrics` and a dump of the state of the
/// instance at `/state`.
class metrics_handler : public adapters::asio::request_handler
{
public:
    using source = std::function<std::string()>;

    metrics_handler( source metrics, source state );

    [[nodiscard]] auto limits() const -> exchange::caller_limits override;
    [[nodiscard]] auto makes_long_answers() const -> bool override
    {
        return true;
    }
    auto handle( adapters::asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<adapters::asio::request_in_progress> override;

private:
    source metrics_;
    source state_;
};

}

#endif
