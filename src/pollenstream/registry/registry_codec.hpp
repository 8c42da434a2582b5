#ifndef POLLENSTREAM_REGISTRY_REGISTRY_CODEC_HPP
#define POLLENSTREAM_REGISTRY_REGISTRY_CODEC_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/exchange/crash_history.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/routes.hpp>

#include <string>
#include <vector>

namespace pollenstream::registry
{

/// Content of a record in the store.
enum class record_kind
{
    configuration,
    target,
    instance,
    quarantine,
    drained_data_centre,
    other,
};

/// Parses the records that the platform's operators and targets write to the
/// store, and formats those of this system.
class registry_codec
{
public:
    virtual ~registry_codec() = default;

    [[nodiscard]] virtual auto kind_of( std::string const& key ) const
        -> record_kind = 0;
    [[nodiscard]] virtual auto
    read_configuration( std::string const& value ) const
        -> core::result<exchange::configuration_ptr> = 0;
    [[nodiscard]] virtual auto target_of( std::string const& key ) const
        -> core::target_id = 0;
    /// The data centre that a record of kind `drained_data_centre` names.
    [[nodiscard]] virtual auto data_centre_of( std::string const& key ) const
        -> core::data_centre_id = 0;
    [[nodiscard]] virtual auto read_target( std::string const& key,
                                            std::string const& value ) const
        -> core::result<exchange::target_properties> = 0;
    /// Key of the record of an instance of this system.
    [[nodiscard]] virtual auto instance_key( core::instance_id const& id ) const
        -> std::string = 0;
    /// Key of the record of the suspects' quarantine.
    [[nodiscard]] virtual auto
    quarantine_key( exchange::suspect_list const& suspects ) const
        -> std::string = 0;
    /// Formats the record. A group without crashes means that the quarantine
    /// has ended.
    [[nodiscard]] virtual auto
    write_quarantine( exchange::quarantined_group const& group ) const
        -> std::string = 0;
    /// Parses the record; `at` becomes the time of the crashes.
    [[nodiscard]] virtual auto read_quarantine( std::string const& value,
                                                core::instant at ) const
        -> core::result<exchange::quarantined_group> = 0;
};

}

#endif
