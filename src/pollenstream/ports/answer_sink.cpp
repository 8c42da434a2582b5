#include <pollenstream/ports/answer_sink.hpp>

namespace pollenstream::ports
{

auto name_of( answer_status status ) -> std::string_view
{
    switch ( status )
    {
    case answer_status::complete:
        return "complete";
    case answer_status::not_run:
        return "not-run";
    case answer_status::failed:
        return "failed";
    case answer_status::unknown:
        return "unknown";
    }
    return "unnamed";
}

}
