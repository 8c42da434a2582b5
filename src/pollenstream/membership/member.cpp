#include <pollenstream/membership/member.hpp>

#include <tuple>

namespace pollenstream::membership
{

auto name_of( member_phase phase ) -> std::string_view
{
    switch ( phase )
    {
    case member_phase::alive:
        return "alive";
    case member_phase::suspect:
        return "suspect";
    case member_phase::leaving:
        return "leaving";
    case member_phase::gone:
        return "gone";
    }
    return "unnamed";
}

auto is_newer( member const& update, member const& known ) -> bool
{
    auto const precedence = []( member const& m )
    {
        return std::tuple( m.incarnation, m.version, m.phase );
    };
    return precedence( update ) > precedence( known );
}

auto has_valid_names( member const& m ) -> bool
{
    return m.id.str().size() <= max_member_name_bytes &&
           m.data_centre.str().size() <= max_member_name_bytes;
}

}
