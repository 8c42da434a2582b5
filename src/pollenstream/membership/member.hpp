#ifndef POLLENSTREAM_MEMBERSHIP_MEMBER_HPP
#define POLLENSTREAM_MEMBERSHIP_MEMBER_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/ids.hpp>

#include <cstdint>
#include <string_view>

namespace pollenstream::membership
{

/// What is known of an instance. At one version a later phase goes before an
/// earlier one.
enum class member_phase : int
{
    alive,
    suspect, ///< did not answer; it may refute
    leaving, ///< in a planned stop
    gone,
};

/// Name in dumps: `alive`, `suspect`, `leaving` or `gone`.
auto name_of( member_phase phase ) -> std::string_view;

/// One instance as far as it is known.
struct member
{
    core::instance_id id;
    core::data_centre_id data_centre;
    core::address callers;
    core::address peers;
    core::incarnation incarnation;
    std::int64_t version{ 0 }; ///< raised by the instance itself, to refute
    member_phase phase{ member_phase::alive };
    std::int64_t open_requests{ 0 };
};

/// True where `news` says something later than `known` about one instance.
auto is_newer( member const& news, member const& known ) -> bool;

}

#endif
