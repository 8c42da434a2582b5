#include <pollenstream/adapters/asio/request_reader.hpp>

#include <utility>

namespace pollenstream::adapters::asio
{

namespace
{

/// The parser leaves heads, chunk headers and trailers unread until they are
/// complete. They are refused with so many bytes more than a head may have.
constexpr auto framing_slack_bytes = std::size_t{ 8 } * 1024;
/// Memory of a field of a head beside its text: a node of the parser, and an
/// entry in the list that is handed on.
constexpr auto field_bytes = std::size_t{ 160 };

constexpr auto bad_request = 400;
constexpr auto body_too_large = 413;
constexpr auto head_too_large = 431;

auto status_for( error_code ec ) -> int
{
    if ( ec == http::error::header_limit )
        return head_too_large;
    if ( ec == http::error::body_limit )
        return body_too_large;
    return bad_request;
}

/// Memory of a text beside the object itself.
auto memory_of( std::string const& text ) -> std::size_t
{
    return text.empty() ? 0 : text.capacity();
}

/// Memory of the fields, in the parser and in the list that is handed on.
auto bytes_of( http::fields const& fields ) -> std::size_t
{
    auto bytes = std::size_t{ 0 };
    for ( auto const& field : fields )
        bytes += field_bytes +
                 2 * ( field.name_string().size() + field.value().size() );
    return bytes;
}

}

request_reader::request_reader( connection_account& account )
    : account_( account )
{
}

auto request_reader::begin( exchange::caller_limits const& limits ) -> void
{
    limits_ = limits;
    parser_.reset();
    head_.reset();
    head_bytes_ = 0;
}

auto request_reader::parser() -> parser_type&
{
    if ( parser_ )
        return *parser_;
    auto& made = parser_.emplace();
    made.eager( true );
    made.header_limit( static_cast<std::uint32_t>( limits_.max_header_bytes ) );
    made.body_limit( limits_.max_body_bytes );
    made.get().body().ask_before_growing(
        [this]( std::size_t bytes )
        {
            return may_take_for_body( bytes );
        } );
    return made;
}

auto request_reader::add( std::string_view bytes ) -> bool
{
    unread_.erase( 0, std::exchange( consumed_, 0 ) );
    unread_.append( bytes );
    return hold_all();
}

auto request_reader::step() -> read_step
{
    auto& reading = parser();
    auto ec = error_code{};
    auto const used = reading.put(
        net::buffer( unread_.data() + consumed_, unread_bytes() ), ec );
    consume( used );
    if ( ec && ec != http::error::need_more )
        return step_after_error( ec );
    if ( reading.is_header_done() && !head_ )
    {
        head_ = parsed_head();
        head_bytes_ = bytes_of( reading.get().base() );
        return hold_all() ? read_step::head : read_step::no_memory;
    }
    if ( !hold_all() )
        return read_step::no_memory;
    if ( reading.is_done() )
        return read_step::request;
    if ( !ec && used > 0 )
        return read_step::some_body;
    if ( unread_bytes() > limits_.max_header_bytes + framing_slack_bytes )
        return refuse( head_too_large, "chunk header or trailer" );
    return read_step::needs_more;
}

auto request_reader::step_after_error( error_code ec ) -> read_step
{
    if ( ec == net::error::no_memory )
        return read_step::no_memory;
    return refuse( status_for( ec ), ec.message() );
}

auto request_reader::refuse( int status, std::string reason ) -> read_step
{
    refusal_ = { status, std::move( reason ) };
    return read_step::malformed;
}

auto request_reader::consume( std::size_t bytes ) -> void
{
    consumed_ += bytes;
    if ( consumed_ < unread_.size() )
        return;
    consumed_ = 0;
    // `clear` would keep the memory.
    std::string().swap( unread_ );
}

auto request_reader::reserve_announced() -> bool
{
    auto const announced = parser().content_length().value_or( 0 );
    return account_.reserve( memory_of( unread_ ) + head_bytes_ +
                             static_cast<std::size_t>( announced ) );
}

auto request_reader::discard() -> void
{
    parser_.reset();
    head_.reset();
    head_bytes_ = 0;
    consumed_ = 0;
    std::string().swap( unread_ );
    account_.release();
}

auto request_reader::field( http::field name ) const
    -> boost::beast::string_view
{
    return parser_->get()[name];
}

auto request_reader::head() const -> raw_request
{
    return head_ ? *head_ : parsed_head();
}

auto request_reader::parsed_head() const -> raw_request
{
    auto request = raw_request{};
    if ( !parser_ )
        return request;
    auto const& message = parser_->get();
    auto const method = message.method_string();
    auto const target = message.target();
    request.method.assign( method.data(), method.size() );
    request.target.assign( target.data(), target.size() );
    request.fields = fields_of( message.base() );
    return request;
}

auto request_reader::take_request() -> raw_request
{
    auto request = std::exchange( head_, std::nullopt ).value();
    auto const bytes = request_bytes();
    request.body = parser_->get().body().release();
    parser_.reset();
    head_bytes_ = 0;
    request.body_memory = account_.take_for_request( bytes );
    static_cast<void>( hold_all() );
    return request;
}

auto request_reader::may_take_for_body( std::size_t bytes ) -> bool
{
    return account_.hold( memory_of( unread_ ) + head_bytes_ + bytes );
}

auto request_reader::hold_all() -> bool
{
    return account_.hold( memory_of( unread_ ) + request_bytes() );
}

auto request_reader::request_bytes() const -> std::size_t
{
    return head_bytes_ + ( parser_ ? parser_->get().body().capacity() : 0 );
}

}
