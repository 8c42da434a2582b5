#include <pollenstream/adapters/http/configuration_text_codec.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/http/operator_listener.hpp>
#include <pollenstream/adapters/http/problem.hpp>

#include <cpprest/http_msg.h>

#include <chrono>
#include <openssl/crypto.h>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using web::http::methods;
using web::json::value;

/// Maximum size of an operator's request body, which carries all documents of
/// one change, in bytes.
constexpr auto max_body_size = std::size_t{ 32 } * 1024 * 1024;
constexpr auto status_unauthorized = 401;
constexpr auto bearer = std::string_view( "Bearer " );

auto unix_seconds() -> std::int64_t
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>( now ).count();
}

auto refuse( received_request const& request, std::string const& why ) -> void
{
    request.reply->send( problem_reply( bad_request( "bad-request", why ) ) );
}

auto read_texts( value const& json ) -> state::document_texts
{
    auto texts = state::document_texts{};
    if ( !json.has_object_field( "put" ) )
        return texts;
    for ( auto const& [name, text] : json.at( "put" ).as_object() )
    {
        if ( text.is_string() )
            texts[name] = text.as_string();
    }
    return texts;
}

auto read_change( std::string const& body )
    -> core::result<state::requested_change>
{
    auto const json = parse_json( body );
    if ( !json )
        return json.error();
    auto fields = json_fields( json.value(), "$" );
    auto change = state::requested_change{};
    change.id = state::change_id( fields.required_text( "change_id" ) );
    change.author = fields.text( "author", {} );
    change.unix_seconds = unix_seconds();
    for ( auto const& each : fields.array( "remove" ) )
    {
        if ( each.is_string() )
            change.remove.push_back( each.as_string() );
    }
    auto const base = fields.integer( "based_on", -1 );
    if ( base >= 0 )
        change.based_on = core::revision( base );
    if ( !fields.status() )
        return fields.status().error();
    change.put = read_texts( json.value() );
    return change;
}

auto report_json( state::change_report const& report ) -> value
{
    auto json = value::object();
    json["outcome"] = value::string( std::string( name_of( report.outcome ) ) );
    json["revision"] = value::number( report.revision.count() );
    json["findings"] = to_json( report.findings );
    auto since = value::array( report.since.size() );
    for ( auto i = std::size_t{ 0 }; i < report.since.size(); ++i )
        since[i] = to_json( report.since[i] );
    json["since"] = std::move( since );
    json["detail"] = value::string( report.detail );
    return json;
}

}

auto equal_tokens( std::string const& given, std::string const& expected )
    -> bool
{
    return given.size() == expected.size() &&
           CRYPTO_memcmp( given.data(), expected.data(), expected.size() ) == 0;
}

operator_listener::operator_listener( core::address const& at,
                                      std::string token,
                                      dump_sources sources,
                                      state::configuration_publisher& publisher,
                                      ports::configuration_codec const& codec,
                                      operator_actions actions,
                                      std::shared_ptr<listening_loop> loop )
    : token_( std::move( token ) ), sources_( sources ),
      publisher_( publisher ), codec_( codec ),
      actions_( std::move( actions ) ),
      listener_( at, max_body_size, routes(), std::move( loop ) )
{
}

auto operator_listener::open() -> void
{
    listener_.open();
}

auto operator_listener::close() -> void
{
    listener_.close();
}

auto operator_listener::guarded( handler handle )
    -> std::function<void( received_request )>
{
    return [this, handle]( received_request const& request )
    {
        auto const given = request.header( "Authorization" );
        auto const is_bearer = given.substr( 0, bearer.size() ) == bearer;
        auto const is_authorized =
            is_bearer && equal_tokens( given.substr( bearer.size() ), token_ );
        if ( is_authorized )
        {
            ( this->*handle )( request );
            return;
        }
        auto refusal = problem_reply(
            bad_request( "no-token", "the operators' token is missing" ) );
        refusal.status = status_unauthorized;
        request.reply->send( std::move( refusal ) );
    };
}

auto operator_listener::guarded_blocking( handler handle )
    -> std::function<void( received_request )>
{
    return [this, inner = guarded( handle )]( received_request const& request )
    {
        actions_.run_blocking(
            [inner, request]
            {
                inner( request );
            } );
    };
}

auto operator_listener::routes() -> std::vector<route>
{
    using self = operator_listener;
    auto const configuration = std::string( "configuration" );
    return {
        { methods::GET, { "v1", "dump" }, false, guarded( &self::on_dump ) },
        { methods::GET,
          { "v1", "instances" },
          false,
          guarded( &self::on_instances ) },
        { methods::GET,
          { "v1", "targets" },
          false,
          guarded( &self::on_targets ) },
        { methods::GET,
          { "v1", configuration },
          false,
          guarded( &self::on_show ) },
        { methods::POST,
          { "v1", configuration, "check" },
          false,
          guarded( &self::on_check ) },
        { methods::POST,
          { "v1", configuration, "apply" },
          false,
          guarded_blocking( &self::on_apply ) },
        { methods::GET,
          { "v1", configuration, "reach" },
          false,
          guarded_blocking( &self::on_reach ) },
        { methods::POST, { "v1", "drain" }, false, guarded( &self::on_drain ) },
    };
}

auto operator_listener::on_dump( received_request const& request ) -> void
{
    request.reply->send_json( dump_all( sources_ ) );
}

auto operator_listener::on_instances( received_request const& request ) -> void
{
    request.reply->send_json( dump_members( sources_ ) );
}

auto operator_listener::on_targets( received_request const& request ) -> void
{
    request.reply->send_json( dump_targets( sources_ ) );
}

auto operator_listener::on_show( received_request const& request ) -> void
{
    auto const bundle = sources_.holder.bundle();
    auto json = value::object();
    json["revision"] = value::number( bundle.head.revision.count() );
    auto documents = value::object();
    for ( auto const& [name, text] : bundle.texts )
        documents[name] = value::string( text );
    json["documents"] = std::move( documents );
    auto changes = value::array( bundle.head.changes.size() );
    for ( auto i = std::size_t{ 0 }; i < bundle.head.changes.size(); ++i )
        changes[i] = to_json( bundle.head.changes[i] );
    json["changes"] = std::move( changes );
    request.reply->send_json( json );
}

auto operator_listener::on_check( received_request const& request ) -> void
{
    auto const json = parse_json( request.body );
    if ( !json )
    {
        refuse( request, json.error().detail );
        return;
    }
    auto texts = sources_.holder.bundle().texts;
    for ( auto const& [name, text] : read_texts( json.value() ) )
        texts[name] = text;
    auto found = core::findings{};
    state::check_documents( texts, codec_, found );
    auto reply = value::object();
    reply["findings"] = to_json( found );
    request.reply->send_json( reply );
}

auto operator_listener::on_apply( received_request const& request ) -> void
{
    auto const change = read_change( request.body );
    if ( !change )
    {
        refuse( request, change.error().detail );
        return;
    }
    request.reply->send_json(
        report_json( publisher_.apply( change.value() ) ) );
}

auto operator_listener::on_reach( received_request const& request ) -> void
{
    auto const revision =
        core::revision( std::atoll( request.query( "revision" ).c_str() ) );
    auto const reach = actions_.reach( revision );
    auto json = value::object();
    json["asked"] = value::number( reach.asked );
    json["in_force"] = value::number( reach.in_force );
    request.reply->send_json( json );
}

auto operator_listener::on_drain( received_request const& request ) -> void
{
    actions_.drain();
    auto json = value::object();
    json["draining"] = value::boolean( true );
    request.reply->send_json( json );
}

}
