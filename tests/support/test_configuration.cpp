#include "test_configuration.hpp"

namespace tests
{

namespace
{

auto no_answer() -> core::error
{
    return { core::error_code::timed_out, "no answer" };
}

}

auto sample_document( int number ) -> std::string
{
    return "[service model]\nkind = model\n\n[service plain]\nkind = plain\n\n"
           "[profile quick-" +
           std::to_string( number ) +
           "]\nservice = model\npriority = urgent\n\n"
           "[profile limited]\nservice = model\n"
           "workspace_requests_per_second = 1\n\n"
           "[profile once]\nservice = plain\nidempotent = no\nretries = 0\n\n"
           "[profile often]\nservice = plain\nretries = 2\n";
}

auto make_change( std::string const& id, std::string const& text )
    -> state::requested_change
{
    auto wanted = state::requested_change{};
    wanted.id = state::change_id( id );
    wanted.author = "test";
    wanted.put["sample.ini"] = text;
    return wanted;
}

auto has_profile( state::configuration_holder const& holder,
                  std::string const& name ) -> bool
{
    return holder.read(
        [&]( pollenstream::profiles::configuration const& c )
        {
            return c.find_profile( core::profile_id( name ) ) != nullptr;
        } );
}

disconnecting_store::disconnecting_store( ports::key_value_store& store )
    : store_( store )
{
}

auto disconnecting_store::get( std::string const& key )
    -> core::result<ports::key_value>
{
    if ( is_disconnected_ )
        return no_answer();
    return store_.get( key );
}

auto disconnecting_store::compare_and_swap( std::string const& key,
                                            ports::key_version expected,
                                            std::string const& value )
    -> core::result<ports::key_version>
{
    if ( is_disconnected_ )
        return no_answer();
    auto const written = store_.compare_and_swap( key, expected, value );
    if ( key != state::head_key )
        return written;
    is_disconnected_ = true;
    return no_answer();
}

auto disconnecting_store::watch( std::string const& key,
                                 ports::key_version known,
                                 core::duration limit )
    -> core::result<ports::key_value>
{
    if ( is_disconnected_ )
        return no_answer();
    return store_.watch( key, known, limit );
}

}
