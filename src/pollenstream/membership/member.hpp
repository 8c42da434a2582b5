#ifndef POLLENSTREAM_MEMBERSHIP_MEMBER_HPP
#define POLLENSTREAM_MEMBERSHIP_MEMBER_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pollenstream::membership
{

/// Maximum number of instances that are known, as far as heartbeats name them.
/// Whoever reaches the port of instances can name any.
inline constexpr auto max_members = std::size_t{ 4'096 };
/// Maximum size of an instance's id or data centre, in bytes.
inline constexpr auto max_member_name_bytes = std::size_t{ 255 };

/// Liveness of an instance. Among updates of the same incarnation and version
/// the later enumerator wins, so the order of the enumerators matters.
enum class member_phase : int
{
    alive,
    suspect, ///< did not reply; gone unless it refutes
    leaving, ///< in a planned stop
    gone,
};

/// Name in state dumps: `alive`, `suspect`, `leaving` or `gone`.
auto name_of( member_phase phase ) -> std::string_view;

/// The known state of one instance of the fleet, as heartbeats carry it.
struct member
{
    core::instance_id id;
    core::data_centre_id data_centre;
    core::address callers; ///< where callers connect
    core::address peers;   ///< where other instances connect
    core::incarnation incarnation;
    std::int64_t version{ 0 }; ///< raised only by the instance itself
    member_phase phase{ member_phase::alive };
    std::int64_t open_requests{ 0 };
};

/// False for names that no instance has.
auto has_valid_names( member const& m ) -> bool;
/// True if `update` supersedes `known`; both describe the same instance.
auto is_newer( member const& update, member const& known ) -> bool;

}

#endif
