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

/// Documents by name.
using document_texts = std::map<std::string, std::string>;

/// A head with all documents that it names.
struct configuration_bundle
{
    configuration_head head;
    document_texts texts;
};

/// Reads every document of `texts` and checks them together.
auto check_documents( document_texts const& texts,
                      ports::configuration_codec const& codec,
                      core::findings& found ) -> profiles::configuration;

/// The configuration in force on this instance. Its revision only rises: an
/// older bundle is ignored, wherever it comes from.
class configuration_holder
{
public:
    explicit configuration_holder( ports::configuration_codec const& codec );

    /// Puts `bundle` into force if it is newer and whole. False where it is
    /// not newer; an error where a document is missing, altered or faulty.
    auto adopt( configuration_bundle bundle ) -> core::result<bool>;

    /// Calls `f( profiles::configuration const& )` without a lock.
    template <class F>
    auto read( F&& f ) const -> decltype( auto )
    {
        return in_force_.read( std::forward<F>( f ) );
    }

    [[nodiscard]] auto revision() const -> core::revision;
    [[nodiscard]] auto bundle() const -> configuration_bundle;
    /// Hash over the names and hashes of the documents in force.
    [[nodiscard]] auto fingerprint() const -> std::string;

private:
    ports::configuration_codec const& codec_;
    core::snapshot<profiles::configuration> in_force_;
    mutable std::mutex mutex_;
    configuration_bundle bundle_;
};

}

#endif
