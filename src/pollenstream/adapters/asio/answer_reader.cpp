#include <pollenstream/adapters/asio/answer_reader.hpp>
#include <pollenstream/adapters/asio/http_text.hpp>

#include <boost/beast/core/string.hpp>

#include <charconv>
#include <iterator>
#include <limits>
#include <string_view>
#include <utility>

namespace pollenstream::adapters::asio
{

namespace
{

/// Bytes per read; an event of a stream has a few hundred bytes.
constexpr auto read_size = std::size_t{ 16 } * 1024;
constexpr auto min_status = 100;
constexpr auto min_final_status = 200;
constexpr auto max_status = 599;
/// Limit on the head of an answer, as the default one of callers' requests.
constexpr auto max_head_bytes = std::uint32_t{ 16 } * 1024;
/// Limit on the interim and stray answers before the answer to a call. Targets
/// send few of them, each with a small body.
constexpr auto max_skipped_bytes = std::size_t{ 256 } * 1024;

/// An answer that has been received and is not one.
auto invalid( answer_defect why, std::string detail ) -> broken_answer
{
    return { why, { core::error_code::malformed, std::move( detail ) } };
}

/// True if the body is coded in chunks alone, or not at all. Requests ask for
/// no other transfer coding, and the bytes would reach callers as they are
/// coded.
auto has_known_coding( http::fields const& fields ) -> bool
{
    auto const [first, last] =
        fields.equal_range( http::field::transfer_encoding );
    if ( first == last )
        return true;
    return std::next( first ) == last &&
           boost::beast::iequals( first->value(), "chunked" );
}

auto error_of( error_code ec ) -> core::error
{
    auto const lost = ec == net::error::eof ||
                      ec == net::error::connection_reset ||
                      ec == net::error::broken_pipe;
    auto const code = ec == net::error::timed_out ? core::error_code::timed_out
                      : lost ? core::error_code::connection_lost
                             : core::error_code::failed;
    return { code, ec.message() };
}

}

auto cause_of( connection_end const& end ) -> error_code
{
    auto const is_orderly = !end.write ||
                            end.write == net::error::broken_pipe ||
                            end.write == net::error::operation_aborted;
    if ( end.read == net::error::eof && !is_orderly )
        return end.write;
    return end.read;
}

auto answer_reader::begin( http_call const& call ) -> void
{
    ++calls_;
    accepts_head_ = call.accepts_head;
    is_head_request_ = call.is_head_request;
    skipped_bytes_ = 0;
    start_answer();
}

auto answer_reader::start_answer() -> void
{
    parser_.emplace();
    parser_->eager( true );
    parser_->header_limit( max_head_bytes );
    // The listener limits what it keeps; a long stream is never kept whole.
    // Without a limit the parser rejects a head that arrives alone.
    parser_->body_limit( std::numeric_limits<std::uint64_t>::max() );
    parser_->skip( is_head_request_ );
    has_head_ = false;
    is_skipped_ = false;
}

auto answer_reader::prepare() -> net::mutable_buffer
{
    return buffer_.prepare( read_size );
}

auto answer_reader::commit( std::size_t bytes ) -> void
{
    buffer_.commit( bytes );
}

auto answer_reader::read( answer_sink& sink ) -> result
{
    while ( buffer_.size() > 0 )
    {
        auto ec = error_code{};
        auto const used = parser_->put( buffer_.data(), ec );
        buffer_.consume( used );
        if ( ec && ec != http::error::need_more )
            return invalid( answer_defect::unreadable, ec.message() );
        auto delivered = deliver( sink );
        if ( !delivered || delivered.value() == answer_progress::cancelled )
            return delivered;
        auto checked = check_limits( used );
        if ( !checked )
            return checked;
        if ( parser_->is_done() )
        {
            auto finished = finish_answer();
            if ( !finished || finished.value() == answer_progress::whole )
                return finished;
            continue;
        }
        if ( ec == http::error::need_more || used == 0 )
            break;
    }
    return answer_progress::incomplete;
}

/// Passes the head and new bytes of the body on.
auto answer_reader::deliver( answer_sink& sink ) -> result
{
    if ( !parser_->is_header_done() )
        return answer_progress::incomplete;
    if ( !std::exchange( has_head_, true ) )
    {
        auto taken = take_head( sink );
        if ( !taken || taken.value() == answer_progress::cancelled )
            return taken;
    }
    auto bytes = parser_->get().body().release();
    if ( is_skipped_ || bytes.empty() || sink.on_body( std::move( bytes ) ) )
        return answer_progress::incomplete;
    return answer_progress::cancelled;
}

auto answer_reader::take_head( answer_sink& sink ) -> result
{
    auto& message = parser_->get();
    auto head = raw_head{ static_cast<int>( message.result_int() ),
                          fields_of( message.base() ), announced_bytes() };
    if ( head.status < min_status || head.status > max_status )
        return invalid( answer_defect::invalid_status,
                        "status " + std::to_string( head.status ) );
    if ( !has_known_coding( message.base() ) )
        return invalid( answer_defect::transfer_coding,
                        "a transfer coding that was not asked for" );
    auto const is_interim = head.status < min_final_status;
    auto const is_stray =
        !is_interim && accepts_head_ && !accepts_head_( head, position() );
    is_skipped_ = is_interim || is_stray;
    had_stray_ = had_stray_ || is_stray;
    if ( is_skipped_ || sink.on_head( std::move( head ) ) )
        return answer_progress::incomplete;
    return answer_progress::cancelled;
}

/// An error if the server sends more than may be skipped, or a chunk header or
/// trailer that is too long: the parser leaves these in the buffer until they
/// are complete.
auto answer_reader::check_limits( std::size_t parsed_bytes ) -> result
{
    if ( is_skipped_ )
        skipped_bytes_ += parsed_bytes;
    if ( skipped_bytes_ <= max_skipped_bytes &&
         buffer_.size() <= max_head_bytes + read_size )
        return answer_progress::incomplete;
    return invalid( answer_defect::too_large, "bytes that are no answer" );
}

auto answer_reader::finish_answer() -> result
{
    if ( !is_skipped_ )
        return answer_progress::whole;
    if ( !parser_->keep_alive() && had_stray_ )
        return invalid( answer_defect::stray, "stray answer" );
    start_answer();
    return answer_progress::incomplete;
}

auto answer_reader::end( connection_end const& how, answer_sink& sink )
    -> result
{
    auto const cause = cause_of( how );
    if ( cause == net::error::eof && ends_with_connection() )
    {
        auto ec = error_code{};
        parser_->put_eof( ec );
        if ( ec )
            return invalid( answer_defect::unreadable, ec.message() );
        auto delivered = deliver( sink );
        if ( !delivered || delivered.value() == answer_progress::cancelled )
            return delivered;
        return answer_progress::ended_by_close;
    }
    auto const has_begun = parser_->got_some() || buffer_.size() > 0;
    auto const why = !has_begun                 ? answer_defect::missing
                     : cause == net::error::eof ? answer_defect::cut
                                                : answer_defect::lost;
    return broken_answer{ why, error_of( cause ) };
}

auto answer_reader::ends_with_connection() const -> bool
{
    return parser_->is_header_done() && !is_skipped_ && parser_->need_eof();
}

auto answer_reader::allows_reuse() const -> bool
{
    return !had_stray_ && parser_->keep_alive() && buffer_.size() == 0;
}

auto answer_reader::position() const -> answer_position
{
    return calls_ == 1 && !had_stray_ ? answer_position::first
                                      : answer_position::later;
}

auto answer_reader::announced_bytes() const -> std::optional<std::uint64_t>
{
    auto const length = parser_->content_length();
    return length ? std::optional( *length ) : std::nullopt;
}

auto answer_reader::advertised_idle_time() const
    -> std::optional<core::duration>
{
    auto const value = parser_->get()[http::field::keep_alive];
    auto const text = std::string_view( value.data(), value.size() );
    constexpr auto field = std::string_view( "timeout=" );
    auto const at = text.find( field );
    if ( at == std::string_view::npos )
        return std::nullopt;
    auto seconds = 0;
    auto const from = text.substr( at + field.size() );
    auto const read =
        std::from_chars( from.data(), from.data() + from.size(), seconds );
    if ( read.ec != std::errc{} )
        return std::nullopt;
    return std::chrono::seconds( seconds );
}

}
