#include "engine_model.hpp"

#include <pollenstream/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace standins
{

namespace
{

/// Prefixes told in one report.
constexpr auto most_cache_events = std::size_t{ 32 };
constexpr auto words_in_vocabulary = 9'973;

auto is_before( ports::engine_request const& a, ports::engine_request const& b )
    -> bool
{
    return profiles::index_of( a.priority ) < profiles::index_of( b.priority );
}

}

auto prompt_hash( std::string const& prompt ) -> std::uint64_t
{
    return core::stable_hash( prompt );
}

auto token_text( std::uint64_t hash, std::int64_t position ) -> std::string
{
    auto const mixed = core::stable_hash( std::to_string( position ), hash );
    return "w" + std::to_string( mixed % words_in_vocabulary ) + " ";
}

auto token_text( std::string const& prompt, std::int64_t position )
    -> std::string
{
    return token_text( prompt_hash( prompt ), position );
}

engine_model::engine_model( engine_settings settings ) : settings_( settings )
{
}

auto engine_model::submit( ports::engine_request const& request,
                           core::instant now ) -> core::result<void>
{
    auto s = stream{ request };
    s.position = request.from_position;
    s.expires = now + request.time_left;
    auto const to_write = request.max_tokens.count() - request.from_position;
    auto const prompt = request.prompt_tokens.count() + request.from_position;
    if ( request.spans.empty() )
    {
        s.memory = prompt + to_write;
        s.to_read = prompt;
    }
    else
    {
        auto const own =
            std::any_of( request.spans.begin(), request.spans.end(),
                         [&]( auto const& id )
                         {
                             return reservations_.contains( id );
                         } );
        if ( !own )
            return core::error{ core::error_code::refused,
                                "no span of the prompt is held here" };
        s.context = prompt;
    }
    if ( s.memory > settings_.memory_tokens )
        return core::error{ core::error_code::refused,
                            "the prompt does not fit into memory" };
    if ( by_id_.contains( request.request ) )
        remove( request.request );
    streams_.push_back( std::move( s ) );
    by_id_[request.request] = std::prev( streams_.end() );
    if ( !step_ )
        start_step( now );
    return core::success();
}

auto engine_model::cancel( core::request_id const& request, core::instant now )
    -> void
{
    if ( by_id_.contains( request ) )
        remove( request );
    if ( !step_ )
        start_step( now );
}

auto engine_model::holds( core::request_id const& request ) const -> bool
{
    return by_id_.contains( request );
}

auto engine_model::reserve( ports::reservation_request const& wanted,
                            core::instant now ) -> core::result<void>
{
    if ( reservations_.contains( wanted.id ) )
        return core::success();
    if ( memory_used_ + wanted.tokens.count() > settings_.memory_tokens )
        return core::error{ core::error_code::refused,
                            "too little memory is free" };
    memory_used_ += wanted.tokens.count();
    reservations_[wanted.id] = { wanted, now + wanted.time_to_live };
    return core::success();
}

auto engine_model::release( core::reservation_id const& id, core::instant now )
    -> void
{
    auto const at = reservations_.find( id );
    if ( at == reservations_.end() )
        return;
    memory_used_ -= at->second.wanted.tokens.count();
    reservations_.erase( at );
    if ( !step_ )
        start_step( now );
}

auto engine_model::fill( core::reservation_id const& id,
                         std::int64_t tokens,
                         core::instant now ) -> core::result<void>
{
    auto const at = reservations_.find( id );
    if ( at == reservations_.end() )
        return core::error{ core::error_code::refused, "no such reservation" };
    at->second.to_fill = tokens;
    at->second.filled = 0;
    if ( !step_ )
        start_step( now );
    return core::success();
}

auto engine_model::next_event() const -> std::optional<core::instant>
{
    if ( !step_ )
        return std::nullopt;
    return step_->ends;
}

auto engine_model::expires_by( core::instant now ) const -> bool
{
    auto const stream_is_over = std::any_of( streams_.begin(), streams_.end(),
                                             [now]( stream const& each )
                                             {
                                                 return each.expires <= now;
                                             } );
    return stream_is_over ||
           std::any_of( reservations_.begin(), reservations_.end(),
                        [now]( auto const& each )
                        {
                            return each.second.expires <= now;
                        } );
}

auto engine_model::advance( core::instant now ) -> std::vector<engine_output>
{
    auto out = std::vector<engine_output>{};
    while ( step_ && step_->ends <= now )
    {
        time_ = step_->ends;
        finish_step( out );
        expire( time_, out );
        step_.reset();
        start_step( time_ );
    }
    time_ = std::max( time_, now );
    expire( now, out );
    if ( !step_ )
        start_step( now );
    return out;
}

auto engine_model::admit_waiting( core::instant ) -> void
{
    auto waiting = std::vector<stream*>{};
    for ( auto& each : streams_ )
    {
        if ( !each.is_running )
            waiting.push_back( &each );
    }
    if ( settings_.honours_priority )
        std::stable_sort( waiting.begin(), waiting.end(),
                          []( auto const* a, auto const* b )
                          {
                              return is_before( a->request, b->request );
                          } );
    for ( auto* const each : waiting )
    {
        auto const fits =
            memory_used_ + each->memory <= settings_.memory_tokens &&
            running_ < settings_.most_running;
        if ( !fits )
            return;
        each->is_running = true;
        ++running_;
        memory_used_ += each->memory;
        if ( each->to_read == 0 )
            continue;
        auto const cached = std::min( cached_tokens( each->request.prefixes ),
                                      each->to_read - 1 );
        each->to_read -= cached;
        each->context += cached;
    }
}

auto engine_model::start_step( core::instant now ) -> void
{
    admit_waiting( now );
    auto next = step{};
    auto const reading = plan_reads( next );
    for ( auto const& each : streams_ )
    {
        if ( each.is_running && each.to_read == 0 )
            next.writers.push_back( each.request.request );
    }
    if ( next.reads.empty() && next.writers.empty() )
        return;
    last_step_seconds_ =
        settings_.base_step_seconds + reading +
        settings_.decode_seconds * static_cast<double>( next.writers.size() );
    next.ends = now + core::duration_of( last_step_seconds_ );
    step_ = std::move( next );
}

auto engine_model::plan_reads( step& next ) -> double
{
    auto readers = std::vector<stream*>{};
    for ( auto& each : streams_ )
    {
        if ( each.is_running && each.to_read > 0 )
            readers.push_back( &each );
    }
    if ( settings_.honours_priority )
        std::stable_sort( readers.begin(), readers.end(),
                          []( auto const* a, auto const* b )
                          {
                              return is_before( a->request, b->request );
                          } );
    auto left = settings_.chunk_tokens;
    auto seconds = 0.0;
    auto const read = [&]( std::int64_t wanted, std::int64_t context )
    {
        auto const tokens = std::min( left, wanted );
        left -= tokens;
        auto const slower =
            1.0 + static_cast<double>( context ) / settings_.attention_scale;
        seconds +=
            static_cast<double>( tokens ) / settings_.prefill_rate * slower;
        return tokens;
    };
    for ( auto* const each : readers )
    {
        if ( left == 0 )
            break;
        auto const tokens = read( each->to_read, each->context );
        next.reads.push_back( { each->request.request, {}, tokens } );
    }
    for ( auto const& [id, held] : reservations_ )
    {
        if ( left == 0 )
            break;
        if ( held.to_fill == 0 )
            continue;
        auto const tokens = read( held.to_fill, held.filled );
        next.reads.push_back( { {}, id, tokens } );
    }
    return seconds;
}

auto engine_model::finish_step( std::vector<engine_output>& out ) -> void
{
    auto const done = std::move( *step_ );
    step_.reset();
    for ( auto const& id : done.writers )
    {
        auto const at = by_id_.find( id );
        if ( at != by_id_.end() )
            write_token( *at->second, out );
    }
    finish_reads( done, out );
}

auto engine_model::finish_reads( step const& done,
                                 std::vector<engine_output>& out ) -> void
{
    for ( auto const& read : done.reads )
    {
        auto const at = by_id_.find( read.request );
        if ( at != by_id_.end() )
        {
            auto& reader = *at->second;
            reader.to_read -= read.tokens;
            reader.context += read.tokens;
            if ( reader.to_read > 0 )
                continue;
            cache( reader.request.prefixes );
            write_token( reader, out );
            continue;
        }
        auto const held = reservations_.find( read.reservation );
        if ( held == reservations_.end() )
            continue;
        held->second.filled += read.tokens;
        held->second.to_fill -= read.tokens;
        if ( held->second.to_fill > 0 )
            continue;
        auto filled = engine_output{ engine_output::kind::filled };
        filled.reservation = read.reservation;
        out.push_back( std::move( filled ) );
    }
}

auto engine_model::write_token( stream& writer,
                                std::vector<engine_output>& out ) -> void
{
    auto event = engine_output{ engine_output::kind::token,
                                writer.request.request,
                                writer.request.attempt,
                                {},
                                writer.position };
    ++writer.position;
    ++writer.context;
    out.push_back( event );
    if ( writer.position < writer.request.max_tokens.count() )
        return;
    event.what = engine_output::kind::end;
    event.position = writer.position;
    remove( writer.request.request );
    out.push_back( std::move( event ) );
}

auto engine_model::expire( core::instant now, std::vector<engine_output>& out )
    -> void
{
    auto expired = std::vector<engine_output>{};
    for ( auto const& each : streams_ )
    {
        if ( each.expires <= now )
            expired.push_back( { engine_output::kind::expired,
                                 each.request.request,
                                 each.request.attempt,
                                 {},
                                 each.position } );
    }
    for ( auto& each : expired )
    {
        remove( each.request );
        out.push_back( std::move( each ) );
    }
    auto stale = std::vector<core::reservation_id>{};
    for ( auto const& [id, held] : reservations_ )
    {
        if ( held.expires <= now )
            stale.push_back( id );
    }
    for ( auto const& id : stale )
        release( id, now );
}

auto engine_model::remove( core::request_id const& request ) -> void
{
    auto const at = by_id_.find( request );
    auto const& gone = *at->second;
    if ( gone.is_running )
    {
        memory_used_ -= gone.memory;
        --running_;
    }
    streams_.erase( at->second );
    by_id_.erase( at );
}

auto engine_model::cached_tokens( core::prefix_chain const& prefixes ) const
    -> std::int64_t
{
    auto longest = std::int64_t{ 0 };
    for ( auto const& mark : prefixes )
    {
        if ( std::find( cache_.begin(), cache_.end(), mark ) != cache_.end() )
            longest = std::max( longest, mark.tokens );
    }
    return longest;
}

auto engine_model::cache( core::prefix_chain const& prefixes ) -> void
{
    for ( auto const& mark : prefixes )
    {
        auto const at = std::find( cache_.begin(), cache_.end(), mark );
        if ( at != cache_.end() )
        {
            cache_.splice( cache_.begin(), cache_, at );
            continue;
        }
        cache_.push_front( mark );
        newly_cached_.push_back( mark );
    }
    auto used = std::int64_t{ 0 };
    auto at = cache_.begin();
    while ( at != cache_.end() && used + at->tokens <= settings_.cache_tokens )
    {
        used += at->tokens;
        ++at;
    }
    cache_.erase( at, cache_.end() );
}

auto engine_model::take_report( core::instant now ) -> void
{
    report_ = ports::load_report{};
    for ( auto const& each : streams_ )
        report_.backlog[profiles::index_of( each.request.priority )] +=
            each.to_read;
    for ( auto const& [id, held] : reservations_ )
        report_.backlog[profiles::index_of( profiles::priority::bulk )] +=
            held.to_fill;
    report_.requests = static_cast<std::int64_t>( streams_.size() );
    report_.memory_used = memory_used_;
    for ( auto const& each : streams_ )
    {
        if ( !each.is_running )
            report_.memory_used += each.memory;
    }
    report_.memory_total = settings_.memory_tokens;
    report_.prefill_rate = settings_.prefill_rate;
    report_.step_seconds = step_ ? last_step_seconds_ : 0;
    report_.decode_rate =
        1.0 / std::max( settings_.base_step_seconds, last_step_seconds_ );
    auto const told = std::min( newly_cached_.size(), most_cache_events );
    report_.cached.assign( newly_cached_.end() -
                               static_cast<std::ptrdiff_t>( told ),
                           newly_cached_.end() );
    newly_cached_.clear();
    reported_ = now;
}

auto engine_model::load( core::instant now ) -> ports::load_report
{
    auto const is_due =
        !reported_ || now - *reported_ >= settings_.report_period;
    if ( is_due )
        take_report( now );
    report_.age = now - *reported_;
    return report_;
}

auto engine_model::held() const -> std::vector<ports::held_memory>
{
    auto all = std::vector<ports::held_memory>{};
    for ( auto const& each : streams_ )
        all.push_back( { each.request.owner,
                         each.request.request,
                         {},
                         core::token_count( each.memory ) } );
    for ( auto const& [id, held] : reservations_ )
        all.push_back( { held.wanted.owner, {}, id, held.wanted.tokens } );
    return all;
}

}
