#ifndef POLLENSTREAM_STATE_CONFIGURATION_HEAD_HPP
#define POLLENSTREAM_STATE_CONFIGURATION_HEAD_HPP

#include <pollenstream/core/ids.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenstream::state
{

/// Names one change of configuration, chosen by who makes it. Sent again, a
/// change with the same id takes effect once.
using change_id = core::strong_id<struct change_id_tag>;

/// One accepted change, kept in the head so that a writer whose answer was
/// lost can find out whether its change took effect.
struct accepted_change
{
    change_id id;
    core::revision revision;
    std::string author;
    std::int64_t unix_seconds{ 0 };
    std::vector<std::string> documents; ///< names of those that changed
};

/// The one value that is compared and swapped. Documents are stored under the
/// hash of their text and never change.
struct configuration_head
{
    core::revision revision;
    std::map<std::string, std::string> documents; ///< name to content hash
    std::vector<accepted_change> changes;         ///< latest first, bounded

    /// The change, or null if it is not among the latest.
    [[nodiscard]] auto find_change( change_id const& id ) const
        -> accepted_change const*;
};

/// Changes that the head remembers.
inline constexpr auto remembered_changes = std::size_t{ 128 };

/// Key of the head in the key-value service.
inline constexpr auto head_key = "config/head";

/// Key of the document with that hash.
auto document_key( std::string const& hash ) -> std::string;

}

#endif
