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

/// What a record of the store holds.
enum class record_kind
{
    configuration,
    target,
    instance,
    quarantine,
    other,
};

/// Reads the records that the platform's operators and targets write.
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
    [[nodiscard]] virtual auto read_target( std::string const& key,
                                            std::string const& value ) const
        -> core::result<exchange::target_properties> = 0;
    /// Key under which an instance of this system registers.
    [[nodiscard]] virtual auto instance_key( core::instance_id const& id ) const
        -> std::string = 0;
    /// Key under which a content's quarantine stands.
    [[nodiscard]] virtual auto quarantine_key( exchange::content_id id ) const
        -> std::string = 0;
    /// Zero for a key that names none.
    [[nodiscard]] virtual auto content_of( std::string const& key ) const
        -> exchange::content_id = 0;
    /// Empty: the content is not quarantined any more.
    [[nodiscard]] virtual auto
    write_quarantine( std::vector<exchange::crashed_run> const& runs ) const
        -> std::string = 0;
    /// The runs are said to have broken off at `at`.
    [[nodiscard]] virtual auto read_quarantine( std::string const& key,
                                                std::string const& value,
                                                core::instant at ) const
        -> core::result<std::vector<exchange::crashed_run>> = 0;
};

}

#endif
