#include <pollenstream/adapters/spdlog/structured_log.hpp>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

namespace pollenstream::adapters::spdlog
{

namespace
{

/// Maximum number of lines that wait to be written: about one second of output
/// at peak load.
constexpr auto max_queued_lines = std::size_t{ 4'096 };

/// Builds one log line from `name=value` pairs.
class line_builder
{
public:
    explicit line_builder( std::string_view event )
    {
        text( "event", event );
    }
    auto text( std::string_view name, std::string_view value ) -> line_builder&
    {
        auto const needs_quotes =
            value.empty() ||
            value.find_first_of( " =\"\n" ) != std::string_view::npos;
        if ( !needs_quotes )
        {
            fmt::format_to( std::back_inserter( out_ ), " {}={}", name, value );
            return *this;
        }
        fmt::format_to( std::back_inserter( out_ ), " {}=\"", name );
        for ( auto const c : value )
            out_.push_back( c == '"' ? '\'' : c == '\n' ? ' ' : c );
        out_.push_back( '"' );
        return *this;
    }
    auto number( std::string_view name, std::int64_t value ) -> line_builder&
    {
        fmt::format_to( std::back_inserter( out_ ), " {}={}", name, value );
        return *this;
    }
    auto milliseconds( std::string_view name, core::duration value )
        -> line_builder&
    {
        return milliseconds( name, core::seconds_of( value ) * 1'000 );
    }
    auto milliseconds( std::string_view name, double value ) -> line_builder&
    {
        fmt::format_to( std::back_inserter( out_ ), " {}={:.1f}", name, value );
        return *this;
    }
    [[nodiscard]] auto str() const -> std::string_view
    {
        return { out_.data(), out_.size() };
    }

private:
    fmt::memory_buffer out_;
};

/// Adds the instance that handed the request over, if it was handed over.
auto add_origin( line_builder& line, core::instance_id const& by ) -> void
{
    if ( !by.empty() )
        line.text( "handed_over_by", by.str() );
}

auto line_of( exchange::request_refused const& e ) -> line_builder
{
    auto line = line_builder( "refused" );
    line.text( "id", e.id.str() )
        .text( "content", exchange::to_string( e.content ) )
        .text( "workspace", e.workspace.str() )
        .text( "route", e.route )
        .text( "reason", e.reason )
        .number( "status", e.status )
        .milliseconds( "waited_ms", e.waited )
        .milliseconds( "retry_after_ms", e.retry_after )
        .number( "prompt", e.prompt_tokens )
        .number( "waiting", static_cast<std::int64_t>( e.waiting ) )
        .number( "configuration", e.configuration.count() );
    if ( !e.quarantine.empty() )
        line.text( "quarantine", exchange::to_string( e.quarantine ) );
    add_origin( line, e.handed_over_by );
    return line;
}

/// Comma-separated targets of all parts but the first.
auto helpers_of( std::vector<exchange::work_part> const& parts ) -> std::string
{
    auto names = std::string{};
    for ( auto i = std::size_t{ 1 }; i < parts.size(); ++i )
        names += ( i > 1 ? "," : "" ) + parts[i].target.str();
    return names;
}

/// Comma-separated ids of the first parts; `+` where some are left out.
auto parts_text( std::vector<exchange::prompt_part_id> const& parts )
    -> std::string
{
    constexpr auto max_logged_parts = std::size_t{ 8 };
    auto text = std::string{};
    for ( auto i = std::size_t{ 0 };
          i < std::min( parts.size(), max_logged_parts ); ++i )
        text += ( i > 0 ? "," : "" ) + exchange::to_string( parts[i] );
    return parts.size() > max_logged_parts ? text + "+" : text;
}

auto line_of( exchange::request_placed const& e ) -> line_builder
{
    auto line = line_builder( "placed" );
    line.text( "id", e.id.str() )
        .text( "content", exchange::to_string( e.content ) )
        .text( "route", e.route )
        .text( "target", e.target.str() )
        .number( "parts", static_cast<std::int64_t>( e.parts.size() ) )
        .milliseconds( "part_ms",
                       e.parts.empty() ? 0.0 : e.parts.front().prefill_ms )
        .number( "number", e.number )
        .milliseconds( "waited_ms", e.waited )
        .milliseconds( "left_ms", e.time_left )
        .milliseconds( "predicted_ms", e.predicted_ms )
        .number( "prompt", e.prompt_tokens )
        .number( "requests_there", e.basis.requests )
        .number( "reading_there", e.basis.prefilling )
        .milliseconds( "backlog_ms", e.basis.backlog_ms )
        .number( "configuration", e.configuration.count() )
        .text( "decided_by", e.decided_by.str() )
        .milliseconds( "asked_ms", e.placement_time );
    if ( e.basis.limit_wait_ms > 0 )
        line.number( "limit_ms", e.basis.limit_wait_ms );
    if ( e.parts.size() > 1 )
        line.text( "helpers", helpers_of( e.parts ) );
    if ( !e.shared_parts.empty() )
        line.text( "shared_parts", parts_text( e.shared_parts ) );
    add_origin( line, e.handed_over_by );
    return line;
}

auto line_of( exchange::request_handed_over const& e ) -> line_builder
{
    auto line = line_builder( "handed_over" );
    line.text( "id", e.id.str() )
        .text( "content", exchange::to_string( e.content ) )
        .text( "route", e.route )
        .text( "to", e.to.str() )
        .text( "because", e.because )
        .number( "number", e.number )
        .milliseconds( "waited_ms", e.waited )
        .milliseconds( "left_ms", e.time_left )
        .number( "retry", e.is_retry ? 1 : 0 );
    return line;
}

auto line_of( exchange::lateness_expected const& e ) -> line_builder
{
    auto line = line_builder( "late_expected" );
    line.text( "id", e.id.str() )
        .text( "content", exchange::to_string( e.content ) )
        .text( "workspace", e.workspace.str() )
        .text( "route", e.route )
        .text( "reason", scheduling::name_of( e.reason ) )
        .milliseconds( "waited_ms", e.waited )
        .milliseconds( "objective_ms", e.latency_objective );
    if ( e.predicted )
        line.milliseconds( "predicted_ms", *e.predicted );
    add_origin( line, e.handed_over_by );
    return line;
}

auto line_of( exchange::attempt_failed const& e ) -> line_builder
{
    auto line = line_builder( "attempt_failed" );
    line.text( "id", e.id.str() )
        .text( "content", exchange::to_string( e.content ) )
        .text( "target", e.target.str() )
        .text( "error", e.error )
        .number( "may_have_run", e.may_have_run ? 1 : 0 )
        .text( "decision", e.decision )
        .milliseconds( "silent_ms", e.silent_for )
        .number( "events", e.events )
        .number( "own_events", e.own_events )
        .number( "has_head", e.has_head ? 1 : 0 )
        .milliseconds( "timer_late_ms", e.timer_late );
    if ( !e.shared_parts.empty() )
        line.text( "shared_parts", parts_text( e.shared_parts ) );
    add_origin( line, e.handed_over_by );
    return line;
}

auto line_of( exchange::request_ended const& e ) -> line_builder
{
    auto line = line_builder( "ended" );
    line.text( "id", e.id.str() )
        .text( "content", exchange::to_string( e.content ) )
        .text( "workspace", e.workspace.str() )
        .text( "route", e.route )
        .text( "outcome", e.outcome )
        .number( "status", e.status )
        .text( "target", e.target.str() )
        .milliseconds( "total_ms", e.total )
        .milliseconds( "first_ms", e.first_event )
        .milliseconds( "gap_ms", e.longest_gap )
        .number( "events", e.events )
        .number( "targets", e.targets )
        .number( "prompt", e.prompt_tokens )
        .milliseconds( "objective_ms", e.latency_objective )
        .milliseconds( "gap_objective_ms", e.gap_objective )
        .number( "configuration", e.configuration.count() )
        .number( "configuration_now", e.configuration_now.count() );
    add_origin( line, e.handed_over_by );
    return line;
}

auto line_of( exchange::state_change const& e ) -> line_builder
{
    auto line = line_builder( "belief" );
    line.text( "what", e.what )
        .text( "name", e.name )
        .text( "now", e.now )
        .text( "because", e.because )
        .milliseconds( "age_ms", e.age );
    return line;
}

}

auto to_line( exchange::event const& what ) -> std::string
{
    return std::visit(
        []( auto const& e )
        {
            // Every field begins with a blank.
            return std::string( line_of( e ).str().substr( 1 ) );
        },
        what );
}

structured_log::structured_log( core::instance_id const& self,
                                core::data_centre_id const& data_centre )
{
    ::spdlog::init_thread_pool( max_queued_lines, 1 );
    auto sink = std::make_shared<::spdlog::sinks::stdout_sink_mt>();
    logger_ = std::make_shared<::spdlog::async_logger>(
        "events", std::move( sink ), ::spdlog::thread_pool(),
        ::spdlog::async_overflow_policy::overrun_oldest );
    logger_->set_pattern( "time=%Y-%m-%dT%H:%M:%S.%e instance=" + self.str() +
                              " place=" + data_centre.str() + " %v",
                          ::spdlog::pattern_time_type::utc );
}

structured_log::~structured_log()
{
    logger_->flush();
    logger_.reset();
    ::spdlog::shutdown();
}

auto structured_log::record( exchange::event const& what ) -> void
{
    logger_->info( "{}", to_line( what ) );
}

auto structured_log::dropped() const -> std::uint64_t
{
    auto const pool = ::spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

}
