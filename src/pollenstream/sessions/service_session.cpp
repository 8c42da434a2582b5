#include <pollenstream/core/invariant.hpp>
#include <pollenstream/sessions/service_session.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::sessions
{

namespace
{

/// Work that one call adds to a target: an open request without tokens.
constexpr auto call_work =
    routing::dispatched_work{ profiles::priority::normal, 0, 0 };

}

service_session::service_session( context& session_context,
                                  ports::service_client& services,
                                  profiles::profile profile,
                                  ports::service_call call,
                                  done callback )
    : context_( session_context ), services_( services ),
      profile_( std::move( profile ) ), call_( std::move( call ) ),
      callback_( std::move( callback ) )
{
    context_.open_sessions.fetch_add( 1 );
}

service_session::~service_session()
{
    core::check_invariant( core::invariant::ends_in_time, finished_,
                           "a service call was dropped open" );
    context_.open_sessions.fetch_sub( 1 );
}

auto service_session::start() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    context_.metrics.started.add();
    auto limit = profiles::time_limit( profile_, core::token_count( 0 ) );
    if ( call_.time_left > core::duration( 0 ) )
        limit = std::min( limit, call_.time_left );
    deadline_ = context_.clock.now() + limit;
    context_.retries.note_request();
    context_.timer.at( deadline_,
                       [weak = weak_from_this()]
                       {
                           if ( auto const self = weak.lock() )
                               self->on_deadline();
                       } );
    send();
}

auto service_session::on_deadline() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    // A call in flight may be running at its target.
    may_have_run_ = may_have_run_ || in_flight_;
    finish_without_reply( status_without_reply(), "deadline",
                          "the time is over" );
}

auto service_session::status_without_reply() const -> ports::answer_status
{
    return may_have_run_ ? ports::answer_status::unknown
                         : ports::answer_status::not_run;
}

auto service_session::choose_target() -> std::shared_ptr<routing::target>
{
    return context_.targets.read(
        profile_.service,
        [this]( routing::target_list const& all )
        {
            auto best = std::shared_ptr<routing::target>{};
            for ( auto const& each : all )
            {
                auto const is_tried =
                    std::find( tried_.begin(), tried_.end(),
                               each->identity().id ) != tried_.end();
                auto const is_usable =
                    !is_tried && each->phase() == routing::target_phase::alive;
                if ( !is_usable )
                    continue;
                if ( !best || each->open_requests() < best->open_requests() )
                    best = each;
            }
            return best;
        } );
}

auto service_session::send() -> void
{
    auto const target = choose_target();
    if ( !target )
    {
        finish_without_reply( status_without_reply(), "no-target",
                              "no target of the service is left" );
        return;
    }
    auto const now = context_.clock.now();
    core::check_invariant( core::invariant::leaving_gets_no_work,
                           target->may_get_work( now ),
                           target->identity().id.str() );
    core::check_invariant( core::invariant::at_most_once,
                           profile_.idempotent || !may_have_run_,
                           call_.key.str() );
    ++attempts_;
    tried_.push_back( target->identity().id );
    target->add_dispatch( call_work );
    call_.time_left = deadline_ - now;
    in_flight_ = true;
    auto const self = shared_from_this();
    services_.call(
        target->identity().address, call_,
        [self, target]( core::result<ports::service_reply> const& r )
        {
            self->on_reply( target, r );
        } );
}

auto service_session::on_reply(
    std::shared_ptr<routing::target> const& target,
    core::result<ports::service_reply> const& reply ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    target->end_dispatch( call_work );
    in_flight_ = false;
    if ( finished_ )
    {
        context_.metrics.stray_events.add();
        return;
    }
    if ( reply )
    {
        auto outcome = state::call_outcome{};
        outcome.status = ports::answer_status::complete;
        outcome.reply = reply.value();
        finish( outcome );
        return;
    }
    auto const why = reply.error();
    if ( !core::proves_not_run( why.code ) )
        may_have_run_ = true;
    else
        target->set_phase( routing::target_phase::suspect,
                           context_.clock.now() );
    if ( may_retry( why.code ) )
    {
        context_.metrics.retries.add();
        send();
        return;
    }
    finish_without_reply( status_without_reply(), "target-failed", why.detail );
}

auto service_session::may_retry( core::error_code why ) -> bool
{
    if ( attempts_ > profile_.retries )
        return false;
    auto const is_safe = profile_.idempotent ||
                         ( core::proves_not_run( why ) && !may_have_run_ );
    return is_safe && context_.retries.take();
}

auto service_session::finish_without_reply( ports::answer_status status,
                                            std::string reason,
                                            std::string detail ) -> void
{
    auto outcome = state::call_outcome{};
    outcome.status = status;
    outcome.reason = std::move( reason );
    outcome.detail = std::move( detail );
    finish( outcome );
}

auto service_session::finish( state::call_outcome const& outcome ) -> void
{
    if ( std::exchange( finished_, true ) )
        return;
    core::check_invariant( core::invariant::not_run_is_true,
                           outcome.status != ports::answer_status::not_run ||
                               !may_have_run_,
                           call_.key.str() );
    if ( outcome.status == ports::answer_status::complete )
        context_.metrics.completed.add();
    else if ( outcome.status == ports::answer_status::not_run )
        context_.metrics.refusals.add( outcome.reason );
    else
        context_.metrics.failed.add();
    auto const callback = std::exchange( callback_, nullptr );
    callback( outcome );
}

}
