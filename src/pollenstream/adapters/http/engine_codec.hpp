#ifndef POLLENSTREAM_ADAPTERS_HTTP_ENGINE_CODEC_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_ENGINE_CODEC_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/ports/engine.hpp>

#include <cpprest/json.h>

#include <string>
#include <vector>

namespace pollenstream::adapters::http
{

/// Converts the messages exchanged with engines to and from JSON.
auto to_json( ports::engine_request const& request ) -> web::json::value;
auto to_json( ports::load_report const& report ) -> web::json::value;
auto to_json( ports::reservation_request const& reservation )
    -> web::json::value;
auto to_json( std::vector<ports::held_memory> const& held ) -> web::json::value;
auto to_json( ports::engine_event const& event ) -> web::json::value;

auto read_engine_request( web::json::value const& json )
    -> core::result<ports::engine_request>;
auto read_load_report( web::json::value const& json )
    -> core::result<ports::load_report>;
auto read_reservation_request( web::json::value const& json )
    -> core::result<ports::reservation_request>;
auto read_held_memory( web::json::value const& json )
    -> core::result<std::vector<ports::held_memory>>;
auto read_engine_event( std::string const& text )
    -> core::result<ports::engine_event>;

}

#endif
