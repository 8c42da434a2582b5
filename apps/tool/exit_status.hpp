#ifndef APPS_TOOL_EXIT_STATUS_HPP
#define APPS_TOOL_EXIT_STATUS_HPP

namespace apps::tool
{

/// Exit statuses of the tool; they stand in docs/OPERATIONS.md too.
inline constexpr auto exit_ok = 0;
inline constexpr auto exit_failed = 1;      ///< it ran and did not succeed
inline constexpr auto exit_findings = 2;    ///< documents with findings
inline constexpr auto exit_conflict = 3;    ///< somebody else was first
inline constexpr auto exit_unknown = 4;     ///< ask again, same change id
inline constexpr auto exit_refused = 5;     ///< nothing was run or changed
inline constexpr auto exit_unreachable = 6; ///< no daemon answered

}

#endif
