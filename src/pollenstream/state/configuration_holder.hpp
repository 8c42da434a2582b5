#ifndef POLLENSTREAM_STATE_CONFIGURATION_HOLDER_HPP
#define POLLENSTREAM_STATE_CONFIGURATION_HOLDER_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/finding.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/snapshot.hpp>
#include <pollenstream/ports/configuration_codec.hpp>
#include <pollenstream/profiles/configuration.hpp>
#include <pollenstream/state/configuration_head.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace pollenstream::state
{

/// Text of each document, by document name.
using document_texts = std::map<std::string, std::string>;

/// A head with the texts of all documents that it lists.
struct configuration_bundle
{
    configuration_head head;
    document_texts texts;
};

/// Parses all documents, adds what is invalid to `findings`, also references
/// between documents, and returns the combined configuration.
auto check_documents( document_texts const& texts,
                      ports::configuration_codec const& codec,
                      core::findings& findings ) -> profiles::configuration;

/// Holds the configuration in force on this instance. Its revision never
/// decreases: an older bundle is ignored, whether it comes from the store or
/// from another instance.
class configuration_holder
{
public:
    explicit configuration_holder( ports::configuration_codec const& codec );

    /// Puts `bundle` into force if it is newer than the current one. Returns
    /// false if it is not newer, and an error if a document is missing, does
    /// not match its hash or is invalid.
    auto adopt( configuration_bundle bundle ) -> core::result<bool>;

    /// Calls `f( profiles::configuration const& )` without taking a lock.
    template <class F>
    auto read( F&& f ) const -> decltype( auto )
    {
        return in_force_.read( std::forward<F>( f ) );
    }

    [[nodiscard]] auto revision() const -> core::revision;
    [[nodiscard]] auto bundle() const -> configuration_bundle;
    /// Returns a hash of the names and content hashes of all documents in
    /// force; equal on instances that have the same documents.
    [[nodiscard]] auto fingerprint() const -> std::string;

private:
    ports::configuration_codec const& codec_;
    core::snapshot<profiles::configuration> in_force_;
    mutable std::mutex mutex_;
    configuration_bundle bundle_;
};

}

#endif
