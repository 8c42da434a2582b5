#ifndef POLLENSTREAM_APPS_GATEWAY_BROKEN_ANSWER_LOG_HPP
#define POLLENSTREAM_APPS_GATEWAY_BROKEN_ANSWER_LOG_HPP

#include <pollenstream/adapters/asio/broken_answers.hpp>
#include <pollenstream/exchange/event_log.hpp>

namespace pollenstream::gateway
{

/// Writes broken answers to the log of events, by their sender's address.
class broken_answer_log : public adapters::asio::broken_answer_observer
{
public:
    /// `log` has to outlive this.
    explicit broken_answer_log( exchange::event_log& log );

    auto on_broken_answer( adapters::asio::broken_answer_report const& report )
        -> void override;

private:
    exchange::event_log& log_;
};

}

#endif
