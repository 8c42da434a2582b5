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

/// A change that an operator asks for.
struct wanted_change
{
    change_id id;
    std::string author;
    std::int64_t unix_seconds{ 0 };
    document_texts put;              ///< documents to write, by name
    std::vector<std::string> remove; ///< documents to take away
    /// The revision that the operator looked at; the change is refused if
    /// another one came after it. Absent: on top of whatever is there.
    std::optional<core::revision> based_on;
};

/// What became of a wanted change.
enum class change_outcome
{
    accepted, ///< it is, or will be, in force everywhere
    faulty,   ///< its documents have findings; nothing was changed
    conflict, ///< somebody else was first; nothing was changed
    refused,  ///< the store took no part of it; nothing was changed
    unknown,  ///< no answer: ask again with the same change id
};

/// Name for operators: `accepted`, `faulty`, `conflict`, `refused` or
/// `unknown`.
auto name_of( change_outcome outcome ) -> std::string_view;

/// Answer to a wanted change.
struct change_report
{
    change_outcome outcome{ change_outcome::unknown };
    core::revision revision; ///< of the change, or of what stands there
    core::findings found;    ///< for `faulty`
    std::vector<accepted_change> since; ///< for `conflict`: what came between
    std::string detail;
};

/// Makes changes of the configuration in the key-value service.
class configuration_publisher
{
public:
    configuration_publisher( ports::key_value_store& store,
                             ports::configuration_codec const& codec,
                             configuration_holder& holder );

    auto apply( wanted_change const& wanted ) -> change_report;

private:
    struct stored_head
    {
        configuration_head head;
        ports::key_version version;
    };

    auto read_head() -> core::result<stored_head>;
    auto base_of( stored_head const& stored )
        -> core::result<configuration_bundle>;
    auto write_documents( configuration_head const& stored,
                          configuration_bundle const& next )
        -> core::result<void>;
    auto swap_head( stored_head const& stored,
                    configuration_bundle const& next,
                    wanted_change const& wanted ) -> change_report;
    auto find_out( stored_head const& stored, wanted_change const& wanted )
        -> change_report;

    ports::key_value_store& store_;
    ports::configuration_codec const& codec_;
    configuration_holder& holder_;
};

/// Reads the head and its documents from the store, taking texts that `known`
/// has from there.
auto load_bundle( ports::key_value_store& store,
                  ports::configuration_codec const& codec,
                  configuration_bundle const& known )
    -> core::result<configuration_bundle>;

}

#endif
