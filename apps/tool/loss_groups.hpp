#ifndef APPS_TOOL_LOSS_GROUPS_HPP
#define APPS_TOOL_LOSS_GROUPS_HPP

#include "loss_cause.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace apps::tool
{

/// The property of requests by which `losses` groups its sums.
enum class loss_key
{
    workspace,   ///< as named by the last line of the request that has it
    data_centre, ///< of the instance that wrote the last line of the request
    kind,        ///< route of the prompt or call
};

/// The key with the name that operators type.
auto loss_key_of( std::string const& name ) -> std::optional<loss_key>;

/// Name of the field of log lines that holds the key.
auto field_of( loss_key key ) -> char const*;

/// Requests with the same value of the key.
struct loss_group
{
    std::string name;
    loss_sum all;
    loss_sum lost;
    cause_sums by_cause{};
};

/// Sums of lost requests by the value of a key. Only the first `max_groups`
/// values have sums of their own; all further ones share one, so that memory is
/// bounded.
class loss_groups
{
public:
    /// About 500 bytes each.
    static constexpr auto max_groups = std::size_t{ 4'096 };
    /// The group that all further values share.
    static constexpr auto others = "others";
    /// The group of requests whose value is empty.
    static constexpr auto none = "none";
    /// The group of requests whose lines lack the key, as in logs of older
    /// gateways.
    static constexpr auto unknown = "unknown";

    /// Counts one request; `lost` is empty if it was served in time.
    auto add( std::optional<std::string> const& key_value,
              double weight,
              std::optional<loss_cause> lost ) -> void;

    /// All groups, the largest lost weight first.
    [[nodiscard]] auto by_lost_weight() const -> std::vector<loss_group>;

private:
    std::unordered_map<std::string, loss_group> groups_;
};

}

#endif
