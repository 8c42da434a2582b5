#ifndef POLLENSTREAM_STATE_CONFIGURATION_PUBLISHER_HPP
#define POLLENSTREAM_STATE_CONFIGURATION_PUBLISHER_HPP

#include <pollenstream/core/finding.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/ports/configuration_codec.hpp>
#include <pollenstream/ports/key_value_store.hpp>
#include <pollenstream/state/configuration_head.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::state
{

/// A configuration change that an operator requests.
struct requested_change
{
    change_id id;
    std::string author;
    std::int64_t unix_seconds{ 0 };
    document_texts put;              ///< documents to write, by name
    std::vector<std::string> remove; ///< names of documents to remove
    /// Revision on which the operator based the change; if it is no longer the
    /// current one, the outcome is `conflict`. If absent, the change applies to
    /// the current revision.
    std::optional<core::revision> based_on;
};

/// Outcome of a requested change.
enum class change_outcome
{
    accepted, ///< stored; all instances will adopt it
    faulty,   ///< documents are invalid; nothing was changed
    conflict, ///< another change came first; nothing was changed
    refused,  ///< the store failed or refused; head is unchanged
    unknown,  ///< no response; retry with the same change id
};

/// Returns the name that operators see: `accepted`, `faulty`, `conflict`,
/// `refused` or `unknown`.
auto name_of( change_outcome outcome ) -> std::string_view;

/// Result of a requested change, for the operator.
struct change_report
{
    change_outcome outcome{ change_outcome::unknown };
    core::revision revision; ///< new one if `accepted`, current one if
                             ///< `faulty` or `conflict`
    core::findings findings; ///< if `faulty`
    std::vector<accepted_change> since; ///< if `conflict`: later changes
    std::string detail;
};

/// Writes configuration changes to the key-value store.
class configuration_publisher
{
public:
    configuration_publisher( ports::key_value_store& store,
                             ports::configuration_codec const& codec,
                             configuration_holder& holder );

    /// Applies the change to the configuration in the store. Safe to retry
    /// with the same change id.
    auto apply( requested_change const& requested ) -> change_report;

private:
    struct stored_head
    {
        configuration_head head;
        ports::key_version version;
    };

    auto read_head() -> core::result<stored_head>;
    auto load_base( stored_head const& stored )
        -> core::result<configuration_bundle>;
    auto write_documents( configuration_head const& stored,
                          configuration_bundle const& next )
        -> core::result<void>;
    auto swap_head( stored_head const& stored,
                    configuration_bundle const& next,
                    requested_change const& requested ) -> change_report;
    auto resolve_unknown_outcome( stored_head const& stored,
                                  requested_change const& requested )
        -> change_report;

    ports::key_value_store& store_;
    ports::configuration_codec const& codec_;
    configuration_holder& holder_;
};

/// Reads the head and its documents from the store. Texts that `known` already
/// holds are copied from it instead of read again.
auto load_bundle( ports::key_value_store& store,
                  ports::configuration_codec const& codec,
                  configuration_bundle const& known )
    -> core::result<configuration_bundle>;

}

#endif
