#include "runner.hpp"

#include <pollenstream/core/hash.hpp>

namespace standins::platform
{

namespace
{

using nlohmann::json;

constexpr auto status_ok = 200;
constexpr auto status_failed = 500;
constexpr auto status_misdirected = 421;
constexpr auto status_busy = 503;
constexpr auto status_conflict = 409;
/// From the begin of a fatal run to the runner's end.
constexpr auto time_to_crash =
    core::duration( std::chrono::milliseconds( 40 ) );
constexpr auto time_to_lapse =
    core::duration( std::chrono::milliseconds( 1'200 ) );
constexpr auto time_to_return =
    core::duration( std::chrono::milliseconds( 1'600 ) );
constexpr auto fatal = "fatal";

auto field( asio::raw_request const& request, std::string const& name )
    -> std::string
{
    for ( auto const& f : request.fields )
        if ( f.name == name )
            return f.value;
    return {};
}

/// The first part of the prompt that ends runners, without the last part.
auto fatal_part_of( asio::raw_request const& request ) -> std::string
{
    auto const parts = field( request, "Prompt-Prefix" );
    auto at = std::size_t{ 0 };
    for ( auto comma = parts.find( ',' ); comma != std::string::npos;
          comma = parts.find( ',', at ) )
    {
        auto id = parts.substr( at, parts.find( ':', at ) - at );
        if ( id.starts_with( "dead" ) )
            return id;
        at = comma + 1;
    }
    return {};
}

auto seal_of( std::string const& id, std::string const& body ) -> std::string
{
    return id + "." + pollenstream::core::content_hash( body );
}

/// Bytes that a request adds to each body or event, as `bytes=N` in its query.
auto padding_of( asio::raw_request const& request ) -> std::string
{
    constexpr auto name = std::string_view( "?bytes=" );
    auto const at = request.target.find( name );
    if ( at == std::string::npos )
        return {};
    return std::string( std::stoul( request.target.substr( at + name.size() ) ),
                        'x' );
}

}

auto to_string( run_end end ) -> std::string
{
    switch ( end )
    {
    case run_end::answered:
        return "answered";
    case run_end::broke_off:
        return "broke_off";
    case run_end::let_go:
        return "let_go";
    case run_end::open:
        break;
    }
    return "open";
}

/// One request that a runner works on.
class runner::work : public asio::request_in_progress,
                     public std::enable_shared_from_this<work>
{
public:
    work( runner& owner,
          asio::raw_request request,
          std::shared_ptr<exchange::answer_channel> answer )
        : owner_( owner ), request_( std::move( request ) ),
          answer_( std::move( answer ) ), record_( owner.records_.size() - 1 ),
          is_fatal_( !fatal_part_of( request_ ).empty() )
    {
        ++owner_.open_;
        owner_.works_.insert( this );
        auto const last = field( request_, "Last-Event-Id" );
        next_ = last.empty() ? 1 : std::stoi( last ) + 1;
    }
    ~work() override
    {
        end( run_end::let_go );
    }

    auto start() -> void
    {
        auto const streams =
            request_.target.find( "stream" ) != std::string::npos;
        if ( request_.body.starts_with( fatal ) )
            return later( owner_.settings_.work + time_to_crash,
                          [this]
                          {
                              owner_.crash( request_ );
                          } );
        later( owner_.settings_.work + owner_.faults_.read,
               [this, streams]
               {
                   streams ? begin_stream() : answer_whole();
               } );
    }
    auto on_caller_gone() -> void override
    {
        end( run_end::let_go );
    }
    auto break_off() -> void
    {
        end( run_end::broke_off );
        answer_->abort();
    }

private:
    auto headers( std::string const& seal ) const -> exchange::header_list
    {
        auto all = owner_.own_headers( request_ );
        all.push_back( { "Server-Seal", seal } );
        record().head_ms = owner_.now_ms();
        record().limit = owner_.faults_.limit;
        return all;
    }
    auto later( core::duration time, std::function<void()> step ) -> void
    {
        call_ = owner_.scheduler_.call_after(
            time * owner_.faults_.slow,
            [self = shared_from_this(), step = std::move( step )]
            {
                auto const done = std::move( self->call_ );
                self->when_not_held( step );
            } );
    }
    auto when_not_held( std::function<void()> const& step ) -> void
    {
        auto const left = owner_.held_until_ - owner_.scheduler_.now();
        if ( left <= core::duration( 0 ) )
            return step();
        call_ = owner_.scheduler_.call_after( left,
                                              [self = shared_from_this(), step]
                                              {
                                                  auto const done =
                                                      std::move( self->call_ );
                                                  self->when_not_held( step );
                                              } );
    }
    [[nodiscard]] auto record() const -> run_record&
    {
        return owner_.records_[record_];
    }
    auto answer_whole() -> void
    {
        if ( owner_.faults_.mute )
            return;
        if ( owner_.drawn( owner_.faults_.cut ) )
            return break_off();
        auto const fails = owner_.drawn( owner_.faults_.fail );
        auto const body = field( request_, "Attempt-Id" ) + " " +
                          owner_.settings_.id + " " + request_.target +
                          padding_of( request_ );
        record().status = fails ? status_failed : status_ok;
        answer_->send_whole( { record().status,
                               headers( seal_of( owner_.settings_.id, body ) ),
                               body } );
        end( run_end::answered );
    }
    auto begin_stream() -> void
    {
        if ( owner_.faults_.mute )
            return;
        auto h = headers(
            seal_of( owner_.settings_.id, field( request_, "Attempt-Id" ) ) );
        h.push_back( { "Content-Type", "text/event-stream" } );
        record().status = status_ok;
        answer_->start_stream( status_ok, std::move( h ) );
        breaks_at_ = owner_.drawn( owner_.faults_.cut ) ? next_ + 2 : 0;
        // It may be resumed after its last event.
        if ( next_ > owner_.settings_.events )
            return end_stream();
        write_event();
    }
    auto write_event() -> void
    {
        auto const id = next_++;
        auto const event = "id: " + std::to_string( id ) +
                           "\ndata: " + field( request_, "Attempt-Id" ) + " " +
                           std::to_string( id ) + padding_of( request_ ) +
                           "\n\n";
        if ( is_fatal_ )
            return end_inside_event( event );
        if ( id == breaks_at_ )
        {
            answer_->send_chunk( event.substr( 0, event.size() / 2 ) );
            return break_off();
        }
        record().last_event_ms = owner_.now_ms();
        answer_->send_chunk( event );
        if ( id >= owner_.settings_.events )
            return end_stream();
        later( owner_.settings_.event_gap,
               [this]
               {
                   write_event();
               } );
    }
    auto end_stream() -> void
    {
        answer_->end_stream();
        end( run_end::answered );
    }
    auto end_inside_event( std::string const& event ) -> void
    {
        if ( owner_.drawn( 0.5 ) )
            answer_->send_chunk( event );
        answer_->send_chunk( event.substr( 0, event.size() / 2 ) );
        later( time_to_crash,
               [this]
               {
                   owner_.crash( request_ );
               } );
    }
    auto end( run_end how ) -> void
    {
        call_.reset();
        if ( std::exchange( ended_, true ) )
            return;
        record().end = how;
        record().ended_ms = owner_.now_ms();
        --owner_.open_;
        owner_.works_.erase( this );
    }

    runner& owner_;
    asio::raw_request request_;
    std::shared_ptr<exchange::answer_channel> answer_;
    std::unique_ptr<ports::scheduled_call> call_;
    std::size_t record_;     ///< its place in the runner's records
    bool is_fatal_{ false }; ///< by a part of the prompt
    int next_{ 1 };
    int breaks_at_{ 0 };
    bool ended_{ false };
};

runner::runner( settings s,
                store& registry,
                ports::scheduler& scheduler,
                run_records& records,
                crash_records& crashes,
                std::uint64_t seed )
    : settings_( std::move( s ) ), registry_( registry ),
      scheduler_( scheduler ), records_( records ), crashes_( crashes ),
      random_( static_cast<std::minstd_rand::result_type>( seed + 1 ) ),
      first_id_( settings_.id )
{
}

runner::~runner()
{
    // Timers of what is open may outlive the runner and its records.
    auto const open = std::vector( works_.begin(), works_.end() );
    for ( auto* const one : open )
        one->on_caller_gone();
}

auto runner::limits() const -> exchange::caller_limits
{
    return {};
}

auto runner::drawn( double share ) -> bool
{
    return std::uniform_real_distribution<>( 0, 1 )( random_ ) < share;
}

auto runner::entry() const -> std::string
{
    return json{ { "service", settings_.service },
                 { "address", address_ },
                 { "zone", "hall" },
                 { "version", "v1" },
                 { "slots", settings_.slots },
                 { "state", leaving_ ? "draining" : "ready" },
                 { "cold_remaining_ms", 0 },
                 { "sequence", 1 } }
        .dump();
}

auto runner::register_at( std::string const& address ) -> void
{
    address_ = address;
    registry_.put( "servers/" + settings_.id, entry() );
}

auto runner::set_faults( runner_faults faults ) -> void
{
    faults_ = faults;
}

auto runner::hold( core::duration time ) -> void
{
    held_until_ = scheduler_.now() + time;
}

auto runner::now_ms() const -> std::int64_t
{
    return core::milliseconds_of( scheduler_.now().time_since_epoch() );
}

auto runner::leave( leaving_told how ) -> void
{
    leaving_ = true;
    if ( how == leaving_told::in_answers_only )
        return;
    leaving_since_ = scheduler_.now();
    if ( how == leaving_told::in_store )
        registry_.put( "servers/" + settings_.id, entry() );
    else
        registry_.remove( "servers/" + settings_.id );
}

auto runner::own_headers( asio::raw_request const& request ) const
    -> exchange::header_list
{
    auto all =
        exchange::header_list{ { "Attempt-Id", field( request, "Attempt-Id" ) },
                               { "Instance-Id", settings_.id } };
    if ( leaving_ )
        all.push_back( { "Server-Leaving", "1" } );
    if ( faults_.limit >= 0 )
        all.push_back( { "Server-Limit", std::to_string( faults_.limit ) } );
    return all;
}

auto runner::crash( asio::raw_request const& cause ) -> void
{
    crashes_.push_back( { cause.body, fatal_part_of( cause ),
                          field( cause, "Attempt-Id" ), settings_.id,
                          now_ms() } );
    end_now();
}

auto runner::end_now() -> void
{
    if ( std::exchange( down_, true ) )
        return;
    reservations_.clear();
    if ( on_listening )
        on_listening( false );
    // Each takes itself off, and with it perhaps the request that is the cause.
    auto const open = std::vector( works_.begin(), works_.end() );
    for ( auto* const one : open )
        one->break_off();
    lapse_call_ =
        scheduler_.call_after( time_to_lapse,
                               [this, id = settings_.id]
                               {
                                   registry_.remove( "servers/" + id );
                               } );
    return_call_ = scheduler_.call_after( time_to_return,
                                          [this]
                                          {
                                              come_back();
                                          } );
}

auto runner::come_back() -> void
{
    down_ = false;
    if ( on_listening )
        on_listening( true );
    leaving_ = false;
    leaving_since_.reset();
    settings_.id = first_id_ + "." + std::to_string( ++lives_ );
    registry_.put( "servers/" + settings_.id, entry() );
}

auto runner::set_version( std::int64_t version ) -> void
{
    version_ = version;
}

auto runner::reserved_tokens() const -> std::int64_t
{
    auto sum = std::int64_t{ 0 };
    for ( auto const& [id, r] : reservations_ )
        sum += r.tokens;
    return sum;
}

auto runner::note( asio::raw_request const& request, bool ran ) -> void
{
    auto r = run_record{};
    r.attempt = field( request, "Attempt-Id" );
    r.target = settings_.id;
    r.path = request.target;
    r.workspace = field( request, "Tenant" );
    r.body = request.body;
    r.fatal_part = fatal_part_of( request );
    r.ran = ran;
    r.leaked_key = !field( request, "Api-Key" ).empty();
    r.at_ms = now_ms();
    if ( leaving_since_ )
        r.leaving_ms =
            core::milliseconds_of( scheduler_.now() - *leaving_since_ );
    r.version = version_;
    records_.push_back( std::move( r ) );
}

auto runner::order( asio::raw_request const& request,
                    exchange::answer_channel& answer ) -> void
{
    auto const body = json::parse( request.body, nullptr, false );
    auto const id = body.value( "id", std::string{} );
    if ( body.value( "operation", std::string{} ) == "release" )
    {
        reservations_.erase( id );
        return answer.send_whole( { status_ok, {}, "{}" } );
    }
    auto const tokens = body.value( "token_count", std::int64_t{ 0 } );
    auto const known = reservations_.count( id ) != 0;
    if ( !known && reserved_tokens() + tokens > settings_.memory )
        return answer.send_whole( { status_conflict, {}, "{}" } );
    auto& r = reservations_[id];
    r.tokens = tokens;
    r.end = scheduler_.call_after(
        std::chrono::milliseconds( body.value( "hold_ms", 0 ) ),
        [this, id]
        {
            reservations_.erase( id );
        } );
    answer.send_whole( { status_ok, {}, R"({"free_slots":1})" } );
}

auto runner::turn_away( asio::raw_request const& request,
                        exchange::answer_channel& answer ) -> void
{
    note( request, false );
    records_.back().head_ms = now_ms();
    records_.back().limit = faults_.limit;
    auto headers = own_headers( request );
    headers.push_back( { "Not-Executed", "1" } );
    if ( faults_.pause_s > 0 )
    {
        records_.back().pause_s = faults_.pause_s;
        headers.push_back(
            { "Retry-After", std::to_string( faults_.pause_s ) } );
    }
    answer.send_whole( { status_busy, std::move( headers ), "" } );
}

auto runner::handle( asio::raw_request request,
                     std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<asio::request_in_progress>
{
    if ( down_ )
    {
        answer->abort();
        return nullptr;
    }
    auto const expected = field( request, "Expect-Instance" );
    if ( !expected.empty() && expected != settings_.id )
    {
        note( request, false );
        answer->send_whole( { status_misdirected, {}, "" } );
        return nullptr;
    }
    if ( request.target == "/v1/order" )
    {
        order( request, *answer );
        return nullptr;
    }
    if ( open_ >= settings_.slots || drawn( faults_.shed ) )
    {
        turn_away( request, *answer );
        return nullptr;
    }
    note( request, true );
    auto started = std::make_shared<work>( *this, std::move( request ),
                                           std::move( answer ) );
    started->start();
    return started;
}

}
