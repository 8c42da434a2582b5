#ifndef POLLENSTREAM_EXCHANGE_EVENT_SPLITTER_HPP
#define POLLENSTREAM_EXCHANGE_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// One whole server-sent event with its blank line.
struct stream_event
{
    std::string bytes;
    std::optional<std::int64_t> id;
};

/// Cuts a stream of server-sent events into whole events. What comes after
/// the last whole event stays back, so that half an event never goes on.
class event_splitter
{
public:
    /// Takes `bytes` and gives the events that are whole now.
    auto take( std::string const& bytes ) -> std::vector<stream_event>;

    /// Bytes of an event that is not whole yet.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return pending_.size();
    }

private:
    std::string pending_;
};

}

#endif
