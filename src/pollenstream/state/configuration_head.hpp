#ifndef POLLENSTREAM_STATE_CONFIGURATION_HEAD_HPP
#define POLLENSTREAM_STATE_CONFIGURATION_HEAD_HPP

#include <pollenstream/core/ids.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenstream::state
{

/// Identifies a configuration change; chosen by the client that requests it.
/// A change that is sent again with the same id takes effect only once.
using change_id = core::strong_id<struct change_id_tag>;

/// A change that took effect. The head keeps the latest ones, so that a writer
/// that lost the store's response can check whether its change was made.
struct accepted_change
{
    change_id id;
    core::revision revision;
    std::string author;
    std::int64_t unix_seconds{ 0 };
    std::vector<std::string> documents; ///< names of changed documents
};

/// Lists the documents of one configuration revision. The head is the only
/// value in the store that changes, by compare-and-swap; documents are stored
/// under the hash of their text and are immutable.
struct configuration_head
{
    core::revision revision;
    std::map<std::string, std::string> documents; ///< content hash by name
    std::vector<accepted_change> changes;         ///< latest first, bounded

    /// Returns null if the change is not among the latest.
    [[nodiscard]] auto find_change( change_id const& id ) const
        -> accepted_change const*;
};

/// Number of latest changes that the head keeps.
inline constexpr auto max_remembered_changes = std::size_t{ 128 };

/// Key of the head in the key-value store.
inline constexpr auto head_key = "config/head";

/// Store key of the document whose text has this hash.
auto document_key( std::string const& hash ) -> std::string;

}

#endif
