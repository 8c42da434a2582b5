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

constexpr auto shortest_pause = core::duration( 20ms );
constexpr auto longest_pause = core::duration( 2s );
/// Engines keep a reservation this much longer than the request lives, to
/// cover the time that a release takes.
constexpr auto reservation_slack = core::duration( 2s );
/// Parts of a target's memory that one span may take, tried in this order.
constexpr auto span_parts = std::array{ 0.25, 0.5, 0.85, 1.0 };
/// Part of a target's memory that spans leave free for short prompts.
constexpr auto least_free = 0.15;

/// A pause before round `round`, which doubles and is spread by a hash of the
/// name, so that two instances do not meet again and again.
auto pause_before( std::string const& name, std::int64_t round )
    -> core::duration
{
    constexpr auto most_doublings = std::int64_t{ 6 };
    auto const doublings = std::min( round, most_doublings );
    auto const width =
        std::min( longest_pause, shortest_pause * ( 1 << doublings ) );
    auto const seed = static_cast<std::uint64_t>( round );
    auto const spread = core::stable_hash( name, seed ) %
                        static_cast<std::uint64_t>( width.count() );
    return width / 2 +
           core::duration( static_cast<std::int64_t>( spread / 2 ) );
}

}

span_group::span_group( context& shared,
                        std::string name,
                        core::token_count prompt_tokens,
                        core::token_count output_tokens,
                        core::instant deadline )
    : shared_( shared ), name_( std::move( name ) ),
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
                          ready callback ) -> void
{
    {
        auto const lock = std::scoped_lock( mutex_ );
        service_ = service;
        avoided_ = std::move( avoided );
        callback_ = std::move( callback );
    }
    try_reserve();
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
    return shared_.targets.read( service,
                                 [&]( routing::target_list const& all )
                                 {
                                     auto usable = routing::target_list{};
                                     std::copy_if( all.begin(), all.end(),
                                                   std::back_inserter( usable ),
                                                   is_usable );
                                     return usable;
                                 } );
}

auto span_group::plan( core::service_id const& service ) -> bool
{
    auto const now = shared_.clock.now();
    auto candidates = usable_targets( service );
    // Away from the targets that are kept clear, as far as the others reach;
    // then the least busy first, and the emptiest of these.
    auto const order = [&]( std::shared_ptr<routing::target> const& t )
    {
        auto const is_kept =
            !shared_.policy.may_place( *t, prompt_tokens_, now );
        return std::tuple( is_kept, t->backlog( now ), -t->free_memory() );
    };
    std::stable_sort( candidates.begin(), candidates.end(),
                      [&]( auto const& a, auto const& b )
                      {
                          return order( a ) < order( b );
                      } );
    // Small spans are read sooner and leave room for others; larger ones are
    // taken where there are too few targets.
    for ( auto const part : span_parts )
    {
        if ( place_spans( candidates, part ) )
        {
            split_output();
            return true;
        }
    }
    return false;
}

auto span_group::place_spans( routing::target_list const& candidates,
                              double part ) -> bool
{
    spans_.clear();
    auto left = prompt_tokens_ + output_tokens_;
    for ( auto const& each : candidates )
    {
        if ( left <= 0 )
            break;
        auto const total = static_cast<double>( each->total_memory() );
        auto const most = static_cast<std::int64_t>( part * total );
        auto const kept_free = static_cast<std::int64_t>(
            std::min( least_free, 1.0 - part ) * total );
        auto const room =
            std::min( { left, most, each->free_memory() - kept_free } );
        if ( room <= 0 )
            continue;
        left -= room;
        spans_.push_back( { each, {}, room, room } );
    }
    return left <= 0 && !spans_.empty();
}

auto span_group::split_output() -> void
{
    // The span with the output in it goes to the end: its engine decodes.
    auto output = output_tokens_;
    for ( auto at = spans_.rbegin(); at != spans_.rend() && output > 0; ++at )
    {
        auto const taken = std::min( output, at->tokens );
        at->tokens -= taken;
        output -= taken;
    }
}

auto span_group::try_reserve() -> void
{
    auto round = std::int64_t{ 0 };
    auto to_ask = span_list{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        if ( released_ )
            return;
        round = ++round_;
        if ( plan( service_ ) )
        {
            for ( auto i = std::size_t{ 0 }; i < spans_.size(); ++i )
            {
                spans_[i].id = core::reservation_id(
                    name_ + "/" + std::to_string( round ) + "/" +
                    std::to_string( i ) );
            }
            to_ask = spans_;
            awaited_ = spans_.size();
            reserving_ = true;
            refusal_.reset();
        }
        else
        {
            spans_.clear();
        }
    }
    if ( to_ask.empty() )
    {
        try_later( "no set of targets has the memory free" );
        return;
    }
    auto const time_to_live =
        deadline_ - shared_.clock.now() + reservation_slack;
    auto const self = shared_from_this();
    for ( auto const& each : to_ask )
    {
        core::check_invariant( core::invariant::leaving_gets_no_work,
                               each.at->may_get_work( shared_.clock.now() ),
                               each.at->identity().id.str() );
        shared_.metrics.reservations_made.add();
        auto const wanted = ports::reservation_request{
            each.id, shared_.self, core::token_count( each.memory_tokens ),
            time_to_live };
        shared_.engines.reserve( each.at->endpoint(), wanted,
                                 [self, round]( core::result<void> status )
                                 {
                                     self->on_reserved( round, status );
                                 } );
    }
}

auto span_group::on_reserved( std::int64_t round, core::result<void> status )
    -> void
{
    auto refused = std::optional<core::error>{};
    auto given_up = false;
    auto to_release = span_list{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        if ( round != round_ || awaited_ == 0 )
            return;
        if ( !status )
            refusal_ = status.error();
        if ( --awaited_ > 0 )
            return;
        reserving_ = false;
        refused = refusal_;
        given_up = released_;
        if ( refused || given_up )
            to_release = std::exchange( spans_, {} );
    }
    give_back( to_release );
    if ( given_up )
        return;
    if ( refused )
        try_later( refused->detail );
    else
        fill();
}

auto span_group::try_later( std::string const& why ) -> void
{
    auto const now = shared_.clock.now();
    auto const when = now + pause_before( name_, round_ );
    // Reading still has to fit in behind the pause.
    if ( when >= deadline_ - ( deadline_ - now ) / 2 )
    {
        end( core::error{ core::error_code::refused, why } );
        return;
    }
    auto const self = shared_from_this();
    shared_.timer.at( when,
                      [self]
                      {
                          self->try_reserve();
                      } );
}

auto span_group::fill() -> void
{
    auto spans = span_list{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        if ( released_ )
            return;
        started_ = true;
        spans = spans_;
        awaited_ = spans.size();
        refusal_.reset();
    }
    auto const limit = deadline_ - shared_.clock.now();
    auto const self = shared_from_this();
    for ( auto const& each : spans )
    {
        shared_.engines.fill_span( each.at->endpoint(), each.id,
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
        if ( awaited_ == 0 )
            return;
        if ( !status )
            refusal_ = status.error();
        if ( --awaited_ > 0 || released_ )
            return;
        failure = refusal_;
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
    auto callback = ready{};
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
    auto callback = ready{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        released_ = true;
        // A release must not overtake the reserve call that it undoes: while
        // answers are awaited, the last of them gives the memory back.
        if ( !reserving_ )
            spans = std::exchange( spans_, {} );
        callback = std::move( callback_ );
        callback_ = nullptr;
    }
    give_back( spans );
    if ( callback )
        callback( core::error{ core::error_code::failed, "released" } );
}

auto span_group::give_back( span_list const& spans ) -> void
{
    for ( auto const& each : spans )
    {
        shared_.metrics.reservations_released.add();
        shared_.engines.release( each.at->endpoint(), each.id,
                                 []( core::result<void> ) {} );
    }
}

auto span_group::started() const -> bool
{
    auto const lock = std::scoped_lock( mutex_ );
    return started_;
}

auto span_group::lead() const -> std::shared_ptr<routing::target>
{
    auto const lock = std::scoped_lock( mutex_ );
    return spans_.empty() ? nullptr : spans_.back().at;
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
