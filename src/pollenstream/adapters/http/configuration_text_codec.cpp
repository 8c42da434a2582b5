#include <pollenstream/adapters/http/configuration_text_codec.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/ini/ini_reader.hpp>

#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using web::json::value;

auto read_change( value const& json ) -> core::result<state::accepted_change>
{
    auto fields = json_fields( json, "$.changes[]" );
    auto change = state::accepted_change{};
    change.id = state::change_id( fields.required_text( "id" ) );
    change.revision = core::revision( fields.integer( "revision", 0 ) );
    change.author = fields.text( "author", {} );
    change.unix_seconds = fields.integer( "unix_seconds", 0 );
    for ( auto const& each : fields.array( "documents" ) )
    {
        if ( each.is_string() )
            change.documents.push_back( each.as_string() );
    }
    if ( !fields.status() )
        return fields.status().error();
    return change;
}

}

auto to_json( state::accepted_change const& change ) -> value
{
    auto json = value::object();
    json["id"] = value::string( change.id.str() );
    json["revision"] = value::number( change.revision.count() );
    json["author"] = value::string( change.author );
    json["unix_seconds"] = value::number( change.unix_seconds );
    auto documents = value::array( change.documents.size() );
    for ( auto i = std::size_t{ 0 }; i < change.documents.size(); ++i )
        documents[i] = value::string( change.documents[i] );
    json["documents"] = std::move( documents );
    return json;
}

auto to_json( core::findings const& found ) -> value
{
    auto const& all = found.all();
    auto json = value::array( all.size() );
    for ( auto i = std::size_t{ 0 }; i < all.size(); ++i )
    {
        json[i]["file"] = value::string( all[i].place.file );
        json[i]["line"] = value::number( all[i].place.line );
        json[i]["key"] = value::string( all[i].place.key );
        json[i]["message"] = value::string( all[i].message );
    }
    return json;
}

auto configuration_text_codec::write_head(
    state::configuration_head const& head ) const -> std::string
{
    auto json = value::object();
    json["revision"] = value::number( head.revision.count() );
    auto documents = value::object();
    for ( auto const& [name, hash] : head.documents )
        documents[name] = value::string( hash );
    json["documents"] = std::move( documents );
    auto changes = value::array( head.changes.size() );
    for ( auto i = std::size_t{ 0 }; i < head.changes.size(); ++i )
        changes[i] = to_json( head.changes[i] );
    json["changes"] = std::move( changes );
    return json.serialize();
}

auto configuration_text_codec::read_head( std::string const& text ) const
    -> core::result<state::configuration_head>
{
    auto const json = parse_json( text );
    if ( !json )
        return json.error();
    auto fields = json_fields( json.value(), "$" );
    auto head = state::configuration_head{};
    head.revision = core::revision( fields.integer( "revision", 0 ) );
    for ( auto const& each : fields.array( "changes" ) )
    {
        auto change = read_change( each );
        if ( !change )
            return change.error();
        head.changes.push_back( std::move( change.value() ) );
    }
    if ( !fields.status() )
        return fields.status().error();
    if ( !json.value().has_object_field( "documents" ) )
        return core::error{ core::error_code::malformed,
                            "$.documents is not an object" };
    for ( auto const& [name, hash] :
          json.value().at( "documents" ).as_object() )
    {
        if ( hash.is_string() )
            head.documents[name] = hash.as_string();
    }
    return head;
}

auto configuration_text_codec::read_document( std::string const& name,
                                              std::string const& text,
                                              core::findings& found ) const
    -> profiles::document
{
    return ini::read_text( name, text, found );
}

}
