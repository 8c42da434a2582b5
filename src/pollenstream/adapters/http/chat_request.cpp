#include <pollenstream/adapters/http/chat_request.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>

namespace pollenstream::adapters::http
{

namespace
{

constexpr auto max_output_tokens = std::int64_t{ 1'000'000 };

auto read_message( web::json::value const& json, std::string const& path )
    -> core::result<std::string>
{
    auto fields = json_fields( json, path );
    auto const role = fields.required_text( "role" );
    auto const content = fields.required_text( "content" );
    if ( !fields.status() )
        return fields.status().error();
    return role + ": " + content + "\n";
}

}

auto read_chat_request( std::string const& body ) -> core::result<chat_request>
{
    auto const json = parse_json( body );
    if ( !json )
        return json.error();
    auto fields = json_fields( json.value(), "$" );
    auto chat = chat_request{};
    chat.model = fields.text( "model", {} );
    chat.stream = fields.flag( "stream", false );
    auto const token_limit = fields.integer( "max_tokens", 0 );
    if ( token_limit < 0 || token_limit > max_output_tokens )
        fields.fault( "max_tokens", "is out of range" );
    if ( token_limit > 0 )
        chat.max_tokens = core::token_count( token_limit );
    auto const& messages = fields.array( "messages" );
    if ( messages.size() == 0 )
        fields.fault( "messages", "needs at least one message" );
    if ( !fields.status() )
        return fields.status().error();
    auto number = 0;
    for ( auto const& each : messages )
    {
        auto const path = "$.messages[" + std::to_string( number++ ) + "]";
        auto const text = read_message( each, path );
        if ( !text )
            return text.error();
        chat.prompt += text.value();
    }
    return chat;
}

}
