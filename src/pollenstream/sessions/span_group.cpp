#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/routing/first_token_model.hpp>
#include <pollenstream/sessions/span_group.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>
#include <utility>

namespace pollenstream::sessions
{

namespace
{

using namespace std::chrono_literals;

/// Bounds of the pause width between two reservation rounds.
constexpr auto min_pause = core::duration( 20ms );
constexpr auto max_pause = core::duration( 2s );
/// The time to live of a reservation exceeds the deadline of the request by
/// this much, to cover the time that a release takes.
constexpr auto reservation_slack = core::duration( 2s );
/// Shares of a target's memory that one span may use, tried in this order.
constexpr auto span_memory_shares = std::array{ 0.25, 0.5, 0.85, 1.0 };
/// Share of a target's memory that spans leave free for short prompts.
constexpr auto min_free_share = 0.15;

/// Returns the pause before the next round: exponential backoff with a hash of
/// `name` as jitter, so that two instances do not collide repeatedly.
auto pause_before( std::string const& name, std::int64_t round )
    -> core::duration
{
    constexpr auto max_doublings = std::int64_t{ 6 };
    auto const doublings = std::min( round, max_doublings );
    auto const width = std::min( max_pause, min_pause * ( 1 << doublings ) );
    auto const seed = static_cast<std::uint64_t>( round );
    auto const jitter = core::stable_hash( name, seed ) %
                        static_cast<std::uint64_t>( width.count() );
    return width / 2 +
           core::duration( static_cast<std::int64_t>( jitter / 2 ) );
}

}

span_group::span_group( context& session_context,
                        std::string name,
                        core::token_count prompt_tokens,
                        core::token_count output_tokens,
                        core::instant deadline )
    : context_( session_context ), name_( std::move( name ) ),
      prompt_tokens_( prompt_tokens.count() ),
      output_tokens_( output_tokens.count() ), deadline_( deadline )
{
}

span_group::~span_group()
{
    core::check_invariant( core::invariant::memory_is_returned, spans_.empty(),
                           "a group of " + name_ + " was dropped" );
    release();
}

auto span_group::prepare( core::service_id const& service,
                          std::vector<core::target_id> avoided,
                          ready_callback callback ) -> void
{
    {
        auto const lock = std::scoped_lock( mutex_ );
        service_ = service;
        avoided_ = std::move( avoided );
        callback_ = std::move( callback );
    }
    reserve_spans();
}

auto span_group::usable_targets( core::service_id const& service ) const
    -> routing::target_list
{
    auto const is_usable = [this]( std::shared_ptr<routing::target> const& t )
    {
        return t->phase() == routing::target_phase::alive &&
               std::find( avoided_.begin(), avoided_.end(),
                          t->identity().id ) == avoided_.end();
    };
    return context_.targets.read(
        service,
        [&]( routing::target_list const& all )
        {
            auto usable = routing::target_list{};
            std::copy_if( all.begin(), all.end(), std::back_inserter( usable ),
                          is_usable );
            return usable;
        } );
}

auto span_group::plan_spans( core::service_id const& service ) -> bool
{
    auto const now = context_.clock.now();
    auto candidates = usable_targets( service );
    // Targets that the policy keeps clear of long prompts come last. The others
    // are ordered by backlog, then by free memory.
    auto const sort_key = [&]( std::shared_ptr<routing::target> const& t )
    {
        auto const is_kept_clear =
            !context_.policy.may_place( *t, prompt_tokens_, now );
        return std::tuple( is_kept_clear, t->backlog( now ),
                           -t->free_memory() );
    };
    std::stable_sort( candidates.begin(), candidates.end(),
                      [&]( auto const& a, auto const& b )
                      {
                          return sort_key( a ) < sort_key( b );
                      } );
    // Small spans finish their prefill sooner and leave memory for other
    // requests; larger ones are used if there are too few targets.
    for ( auto const memory_share : span_memory_shares )
    {
        if ( place_spans( candidates, memory_share ) )
        {
            split_output();
            return true;
        }
    }
    return false;
}

auto span_group::place_spans( routing::target_list const& candidates,
                              double memory_share ) -> bool
{
    spans_.clear();
    auto remaining = prompt_tokens_ + output_tokens_;
    for ( auto const& each : candidates )
    {
        if ( remaining <= 0 )
            break;
        auto const total_tokens = static_cast<double>( each->total_memory() );
        auto const max_tokens =
            static_cast<std::int64_t>( memory_share * total_tokens );
        auto const kept_free = static_cast<std::int64_t>(
            std::min( min_free_share, 1.0 - memory_share ) * total_tokens );
        auto const capacity = std::min(
            { remaining, max_tokens, each->free_memory() - kept_free } );
        if ( capacity <= 0 )
            continue;
        remaining -= capacity;
        spans_.push_back( { each, {}, capacity, capacity } );
    }
    return remaining <= 0 && !spans_.empty();
}

auto span_group::split_output() -> void
{
    // The output is placed at the end of the last spans; the engine of the last
    // span decodes.
    auto output = output_tokens_;
    for ( auto it = spans_.rbegin(); it != spans_.rend() && output > 0; ++it )
    {
        auto const output_part = std::min( output, it->tokens );
        it->tokens -= output_part;
        output -= output_part;
    }
}

auto span_group::reserve_spans() -> void
{
    auto round = std::int64_t{ 0 };
    auto planned = span_list{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        if ( released_ )
            return;
        round = ++round_;
        if ( plan_spans( service_ ) )
        {
            for ( auto i = std::size_t{ 0 }; i < spans_.size(); ++i )
            {
                spans_[i].id = core::reservation_id(
                    name_ + "/" + std::to_string( round ) + "/" +
                    std::to_string( i ) );
            }
            planned = spans_;
            pending_replies_ = spans_.size();
            reserving_ = true;
            error_.reset();
        }
        else
        {
            spans_.clear();
        }
    }
    if ( planned.empty() )
    {
        retry_later( "no set of targets has the memory free" );
        return;
    }
    auto const time_to_live =
        deadline_ - context_.clock.now() + reservation_slack;
    auto const self = shared_from_this();
    for ( auto const& each : planned )
    {
        core::check_invariant(
            core::invariant::leaving_gets_no_work,
            each.target->may_get_work( context_.clock.now() ),
            each.target->identity().id.str() );
        context_.metrics.reservations_made.add();
        auto const reservation = ports::reservation_request{
            each.id, context_.self, core::token_count( each.memory_tokens ),
            time_to_live };
        context_.engines.reserve( each.target->endpoint(), reservation,
                                  [self, round]( core::result<void> status )
                                  {
                                      self->on_reserved( round, status );
                                  } );
    }
}

auto span_group::on_reserved( std::int64_t round, core::result<void> status )
    -> void
{
    auto refusal = std::optional<core::error>{};
    auto is_released = false;
    auto to_release = span_list{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        if ( round != round_ || pending_replies_ == 0 )
            return;
        if ( !status )
            error_ = status.error();
        if ( --pending_replies_ > 0 )
            return;
        reserving_ = false;
        refusal = error_;
        is_released = released_;
        if ( refusal || is_released )
            to_release = std::exchange( spans_, {} );
    }
    release_reservations( to_release );
    if ( is_released )
        return;
    if ( refusal )
        retry_later( refusal->detail );
    else
        fill_spans();
}

auto span_group::retry_later( std::string const& why ) -> void
{
    auto const now = context_.clock.now();
    auto const when = now + pause_before( name_, round_ );
    // At least half of the remaining time must be left for the prefill.
    if ( when >= deadline_ - ( deadline_ - now ) / 2 )
    {
        end( core::error{ core::error_code::refused, why } );
        return;
    }
    auto const self = shared_from_this();
    context_.timer.at( when,
                       [self]
                       {
                           self->reserve_spans();
                       } );
}

auto span_group::fill_spans() -> void
{
    auto spans = span_list{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        if ( released_ )
            return;
        prefill_started_ = true;
        spans = spans_;
        pending_replies_ = spans.size();
        error_.reset();
    }
    auto const limit = deadline_ - context_.clock.now();
    auto const self = shared_from_this();
    for ( auto const& each : spans )
    {
        context_.engines.fill_span( each.target->endpoint(), each.id,
                                    core::token_count( each.tokens ), limit,
                                    [self]( core::result<void> status )
                                    {
                                        self->on_filled( status );
                                    } );
    }
}

auto span_group::on_filled( core::result<void> status ) -> void
{
    auto failure = std::optional<core::error>{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        if ( pending_replies_ == 0 )
            return;
        if ( !status )
            error_ = status.error();
        if ( --pending_replies_ > 0 || released_ )
            return;
        failure = error_;
    }
    if ( failure )
    {
        release();
        end( *failure );
        return;
    }
    end( core::success() );
}

auto span_group::end( core::result<void> status ) -> void
{
    auto callback = ready_callback{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        callback = std::exchange( callback_, nullptr );
    }
    if ( callback )
        callback( std::move( status ) );
}

auto span_group::release() -> void
{
    auto spans = span_list{};
    auto callback = ready_callback{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        released_ = true;
        // A release must not overtake its reserve call: while replies are
        // pending, `on_reserved` releases the memory on the last reply.
        if ( !reserving_ )
            spans = std::exchange( spans_, {} );
        callback = std::move( callback_ );
        callback_ = nullptr;
    }
    release_reservations( spans );
    if ( callback )
        callback( core::error{ core::error_code::failed, "released" } );
}

auto span_group::release_reservations( span_list const& spans ) -> void
{
    for ( auto const& each : spans )
    {
        context_.metrics.reservations_released.add();
        context_.engines.release( each.target->endpoint(), each.id,
                                  []( core::result<void> ) {} );
    }
}

auto span_group::prefill_started() const -> bool
{
    auto const lock = std::scoped_lock( mutex_ );
    return prefill_started_;
}

auto span_group::decode_target() const -> std::shared_ptr<routing::target>
{
    auto const lock = std::scoped_lock( mutex_ );
    return spans_.empty() ? nullptr : spans_.back().target;
}

auto span_group::reservations() const -> std::vector<core::reservation_id>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto ids = std::vector<core::reservation_id>{};
    for ( auto const& each : spans_ )
        ids.push_back( each.id );
    return ids;
}

}
