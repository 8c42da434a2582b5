#ifndef POLLENSTREAM_EXCHANGE_EVENT_SPLITTER_HPP
#define POLLENSTREAM_EXCHANGE_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// One complete server-sent event, including its terminating blank line.
struct stream_event
{
    std::string bytes;
    std::optional<std::int64_t> id;
};

/// Splits a stream of server-sent events into complete events. Buffers an
/// incomplete event at the end, so that callers never receive a part of one.
class event_splitter
{
public:
    /// Appends `bytes` and returns the events that are complete now.
    auto take( std::string const& bytes ) -> std::vector<stream_event>;

    /// Number of buffered bytes of an incomplete event.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return pending_.size();
    }

private:
    std::string pending_;
};

}

#endif
