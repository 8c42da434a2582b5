#ifndef POLLENSTREAM_OBSERVATION_LOST_REQUESTS_HPP
#define POLLENSTREAM_OBSERVATION_LOST_REQUESTS_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/event_log.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pollenstream::observation
{

/// How a request was not served in time.
enum class loss_kind
{
    late,    ///< its first event or a gap between events exceeded the objective
    refused, ///< this gateway answered 503: nothing has run
    failed,  ///< any other error, of this gateway or relayed from a target
    number_of_kinds,
};

/// Stable name of `kind`, as in metrics.
auto name_of( loss_kind kind ) -> char const*;

/// How the request was lost; nullopt if it was served in time, or ended as the
/// caller or the configuration asked for. `pollenstream losses` counts the same
/// requests.
auto loss_of( exchange::request_ended const& e ) -> std::optional<loss_kind>;

/// Counts lost requests by workspace. Only the first `max_workspaces` that lose
/// a request have counts of their own; all further ones share one, so that
/// configurations with many workspaces don't make the metrics large. Not
/// thread-safe.
class lost_requests
{
public:
    static constexpr auto max_workspaces = std::size_t{ 64 };
    /// The entry that all further workspaces share.
    static constexpr auto others = "others";
    /// The entry of requests without a workspace.
    static constexpr auto none = "none";

    using counts =
        std::array<std::uint64_t,
                   static_cast<std::size_t>( loss_kind::number_of_kinds )>;

    auto add( core::workspace_id const& workspace, loss_kind kind ) -> void;

    [[nodiscard]] auto all() const -> std::map<std::string, counts> const&
    {
        return by_workspace_;
    }

private:
    std::map<std::string, counts> by_workspace_;
};

}

#endif
