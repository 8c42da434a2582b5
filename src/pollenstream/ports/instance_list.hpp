#ifndef POLLENSTREAM_PORTS_INSTANCE_LIST_HPP
#define POLLENSTREAM_PORTS_INSTANCE_LIST_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>

#include <optional>
#include <string>
#include <vector>

namespace pollenstream::ports
{

/// State of an entry in the platform's list, which may be outdated.
enum class listed_state
{
    live,
    leaving,
};

/// One pollenstream instance in the platform's list.
struct listed_instance
{
    core::instance_id id;
    core::data_centre_id data_centre;
    core::address callers; ///< where callers connect
    core::address peers;   ///< where other instances connect
    listed_state state{ listed_state::live };
};

/// One target in the platform's list.
struct listed_target
{
    core::target_id id;
    core::service_id service;
    core::data_centre_id data_centre;
    core::address address;
    listed_state state{ listed_state::live };
};

/// Content of the platform's list at one time.
struct instance_listing
{
    std::vector<listed_instance> instances;
    std::vector<listed_target> targets;
    /// Why entries cannot be used; they are in neither list.
    std::vector<std::string> unusable;
};

/// The platform's list of live and leaving instances and targets; it may be
/// outdated.
class instance_list
{
public:
    virtual ~instance_list() = default;
    /// The list, or `std::nullopt` if it has not changed since the last fetch.
    virtual auto fetch() -> core::result<std::optional<instance_listing>> = 0;
};

}

#endif
