#ifndef POLLENSTREAM_ADAPTERS_HTTP_CONFIGURATION_TEXT_CODEC_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_CONFIGURATION_TEXT_CODEC_HPP

#include <pollenstream/ports/configuration_codec.hpp>

#include <cpprest/json.h>

namespace pollenstream::adapters::http
{

/// Encodes the configuration head as JSON and reads operators' documents as
/// INI.
class configuration_text_codec : public ports::configuration_codec
{
public:
    auto write_head( state::configuration_head const& head ) const
        -> std::string override;
    auto read_head( std::string const& text ) const
        -> core::result<state::configuration_head> override;
    auto read_document( std::string const& name,
                        std::string const& text,
                        core::findings& found ) const
        -> profiles::document override;
};

/// Encodes an accepted change, for the head and for replies to operators.
auto to_json( state::accepted_change const& change ) -> web::json::value;
/// Encodes findings for replies to operators.
auto to_json( core::findings const& found ) -> web::json::value;

}

#endif
