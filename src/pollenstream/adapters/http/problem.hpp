#ifndef POLLENSTREAM_ADAPTERS_HTTP_PROBLEM_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_PROBLEM_HPP

#include <pollenstream/exchange/message.hpp>
#include <pollenstream/ports/answer_sink.hpp>

#include <cpprest/json.h>

#include <string>

namespace pollenstream::adapters::http
{

/// Returns the HTTP status for an answer that is not complete.
auto status_of( ports::answer_end const& end ) -> int;

/// Builds the problem document of an answer that is not complete. Its member
/// `outcome` is `not-run`, `failed` or `unknown`.
auto problem_json( ports::answer_end const& end ) -> web::json::value;

/// Builds a reply with the problem document, and with a Retry-After header if a
/// retry may succeed.
auto problem_reply( ports::answer_end const& end ) -> exchange::whole_answer;

/// Builds the refusal of an invalid request, of which nothing was run.
auto bad_request( std::string reason, std::string detail ) -> ports::answer_end;

}

#endif
