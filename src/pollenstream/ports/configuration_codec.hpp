#ifndef POLLENSTREAM_PORTS_CONFIGURATION_CODEC_HPP
#define POLLENSTREAM_PORTS_CONFIGURATION_CODEC_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/finding.hpp>
#include <pollenstream/profiles/document.hpp>
#include <pollenstream/state/configuration_head.hpp>

#include <string>

namespace pollenstream::ports
{

/// Converts the configuration from and to its stored text, and parses the
/// documents that operators write.
class configuration_codec
{
public:
    virtual ~configuration_codec() = default;

    virtual auto write_head( state::configuration_head const& head ) const
        -> std::string = 0;
    virtual auto read_head( std::string const& text ) const
        -> core::result<state::configuration_head> = 0;
    /// Parses one operator document; errors are added to `found` under `name`.
    virtual auto read_document( std::string const& name,
                                std::string const& text,
                                core::findings& found ) const
        -> profiles::document = 0;
};

}

#endif
