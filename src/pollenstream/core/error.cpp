#include <pollenstream/core/error.hpp>

namespace pollenstream::core
{

auto name_of( error_code code ) -> std::string_view
{
    switch ( code )
    {
    case error_code::malformed:
        return "malformed";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::refused:
        return "refused";
    case error_code::unreachable:
        return "unreachable";
    case error_code::connection_lost:
        return "connection_lost";
    case error_code::timed_out:
        return "timed_out";
    case error_code::too_large:
        return "too_large";
    case error_code::expired:
        return "expired";
    case error_code::failed:
        return "failed";
    }
    return "unnamed";
}

auto proves_not_run( error_code code ) -> bool
{
    return code == error_code::refused || code == error_code::unreachable;
}

}
