#include <pollenstream/core/invariant.hpp>
#include <pollenstream/exchange/own_answers.hpp>
#include <pollenstream/exchange/placement_coordinator.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Added to the order of a prompt that is past its objective, in seconds: it
/// earns less than one that can still be in time.
constexpr auto late_penalty = 1'000.0;
constexpr auto priority_step = 100'000.0;
/// A caller that is refused for a limit is not sent back at once.
constexpr auto shortest_return = core::duration( 20ms );

}

/// One ask that waits here for room.
class placement_coordinator::queued_prompt : public waiting_item
{
public:
    queued_prompt( placement_coordinator& owner,
                   placement_request what,
                   service_settings const& settings,
                   std::shared_ptr<placement_listener> listener )
        : request( std::move( what ) ), owner_( owner ),
          listener_( std::move( listener ) ),
          received_( owner.scheduler_.now() - request.demand.waited ),
          deadline_( owner.scheduler_.now() + request.demand.time_left ),
          patience_until_( owner.scheduler_.now() +
                           request.demand.patience_left ),
          is_long_( settings.engine &&
                    is_long_prompt( *settings.engine, request.demand ) ),
          is_split_( settings.engine &&
                     is_split_prompt( *settings.engine, request.demand ) )
    {
    }

    auto try_start() -> bool override;
    [[nodiscard]] auto order() const -> double override;
    [[nodiscard]] auto service() const -> core::service_id const& override
    {
        return request.demand.service;
    }
    [[nodiscard]] auto size() const -> std::int64_t override
    {
        return request.demand.prompt_tokens;
    }
    [[nodiscard]] auto is_long() const -> bool override
    {
        return is_long_;
    }
    /// Held back for its own sake, or kept from some of the targets, it says
    /// nothing of the room for others. One that waits for a limit is told as
    /// soon as it cannot be in time.
    [[nodiscard]] auto is_always_tried() const -> bool override
    {
        return is_held_back_ || limited_since_ ||
               !request.demand.tried.empty() || !request.demand.paused.empty();
    }

    /// Takes over where the same ask comes again.
    auto set_listener( std::shared_ptr<placement_listener> listener ) -> void
    {
        listener_ = std::move( listener );
    }
    [[nodiscard]] auto listener() const -> placement_listener&
    {
        return *listener_;
    }
    auto wait() -> void;
    /// Gives up what it holds; no answer follows.
    auto close() -> void;

    placement_request request;

private:
    [[nodiscard]] auto due() const -> core::instant
    {
        return received_ + request.demand.latency_objective;
    }
    /// Where a caller has a part of the answer already, or a silent target that
    /// may speak, its patience is not known: behind it, its time counts.
    [[nodiscard]] auto waits_until( core::instant now ) const -> core::instant
    {
        auto const is_past = now > patience_until_;
        return is_past && !request.may_be_refused ? deadline_ : patience_until_;
    }
    auto refresh_demand( core::instant now ) -> void;
    auto try_choose( core::instant now ) -> bool;
    auto wait_for_limit( core::instant now ) -> bool;
    [[nodiscard]] auto is_hopeless( service_settings const& settings ) const
        -> bool;
    [[nodiscard]] auto yields( placement_choice const& choice ) const -> bool;
    auto enter_split_queue() -> void;
    auto leave_split_queue() -> void;
    auto grant( placement_choice choice ) -> bool;
    auto refuse( std::string reason, core::duration retry_after ) -> bool;
    auto predicted_room( service_settings const& settings ) const
        -> core::duration;

    placement_coordinator& owner_;
    std::shared_ptr<placement_listener> listener_;
    core::instant received_;
    core::instant deadline_;
    core::instant patience_until_;
    bool is_long_{ false };
    bool is_split_{ false };
    bool in_split_queue_{ false };
    bool was_tried_{ false };
    bool is_held_back_{ false }; ///< until another run of the same has ended
    /// Since when all targets that are left have got what they take.
    std::optional<core::instant> limited_since_;
};

auto placement_coordinator::queued_prompt::order() const -> double
{
    auto const seconds = core::seconds_of( due().time_since_epoch() );
    auto const is_late = owner_.scheduler_.now() > due();
    return seconds + ( is_late ? late_penalty : 0 ) +
           request.priority * priority_step;
}

auto placement_coordinator::queued_prompt::refresh_demand( core::instant now )
    -> void
{
    auto& demand = request.demand;
    auto const& split_prompts = owner_.load_table_.split_prompts();
    demand.waited = now - received_;
    demand.time_left = deadline_ - now;
    demand.patience_left = waits_until( now ) - now;
    demand.crashes = owner_.crashes_.count( request.content );
    demand.is_only_split_prompt =
        ( in_split_queue_ ? split_prompts.others( due() )
                          : split_prompts.size() ) == 0;
    demand.others_in_time = split_prompts.others_in_time(
        in_split_queue_ ? due() : core::instant::min(), now );
    demand.draw =
        std::uniform_real_distribution<double>( 0, 1 )( owner_.random_ );
}

auto placement_coordinator::queued_prompt::try_start() -> bool
{
    auto const now = owner_.scheduler_.now();
    // Its asker has withdrawn it, which has not been heard, or has ended. One
    // that may be past its time when it comes gets one try.
    auto const is_over = now > waits_until( now );
    if ( std::exchange( was_tried_, true ) && is_over )
    {
        close();
        owner_.waiting_.erase( { request.requester, request.serial } );
        return true;
    }
    return try_choose( now );
}

auto placement_coordinator::queued_prompt::try_choose( core::instant now )
    -> bool
{
    auto const* const settings =
        owner_.configuration_->find_service( request.demand.service );
    if ( settings == nullptr )
        return refuse( "unknown_service", 0ms );
    if ( owner_.crashes_.is_quarantined( request.content ) )
        return refuse( quarantined_reason, 0ms );
    refresh_demand( now );
    // Its next run tells whether it ends its targets: one at a time.
    is_held_back_ =
        owner_.crashes_.awaits_confirmation( request.content ) ||
        ( request.demand.crashes + 1 >= crash_history::crashes_to_quarantine &&
          owner_.runs_now( request.content ) );
    if ( is_held_back_ )
        return false;
    auto result = owner_.chooser_.choose( request.demand, *settings, now );
    if ( result.choice && yields( *result.choice ) )
        result = not_placed( placement_obstacle::full );
    if ( result.choice )
    {
        result.choice->basis.limit_wait_ms =
            core::milliseconds_of( now - limited_since_.value_or( now ) );
        return grant( std::move( *result.choice ) );
    }
    if ( result.reason == placement_obstacle::too_large )
        return refuse( "too_large", 0ms );
    if ( result.reason == placement_obstacle::limited )
        return wait_for_limit( now );
    // A plain call waits for nothing else, unless its answer has begun.
    if ( !settings->engine && request.may_be_refused )
        return refuse( "no_targets", retry_after_no_target );
    if ( is_hopeless( *settings ) )
        return refuse( "no_room_in_time", predicted_room( *settings ) );
    return false;
}

/// Refuses what cannot be in time by the limits of the targets that are left.
/// One that comes while others wait has to be within its objective, as what is
/// late takes the place of what is not; else its caller's patience counts.
auto placement_coordinator::queued_prompt::wait_for_limit( core::instant now )
    -> bool
{
    auto const capacity = owner_.chooser_.capacity_by_limits( request.demand );
    auto const ahead = owner_.waiting_before( *this );
    auto const is_first_try = !limited_since_;
    limited_since_ = limited_since_.value_or( now );
    if ( !capacity || !request.may_be_refused )
        return false;
    auto const latest = is_first_try && ahead > 0 ? due() : waits_until( now );
    if ( capacity->available_after( ahead ) <= latest )
        return false;
    owner_.counters_.limited.add();
    return refuse( limited_reason, owner_.time_to_return( *this, *capacity ) );
}

/// True for a wide prompt that cannot be in time any more while others wait
/// that can: it would be kept waiting until its caller leaves. Told at once,
/// the caller comes back while there is time. One that may have run is not
/// refused.
auto placement_coordinator::queued_prompt::is_hopeless(
    service_settings const& settings ) const -> bool
{
    return is_split_ && request.may_be_refused &&
           request.demand.others_in_time &&
           owner_.chooser_.is_too_late( request.demand, settings );
}

/// True where a wide prompt would be late with `choice` while others wait that
/// can be in time: in a wave engines that serve the oldest first serve all of
/// them late.
auto placement_coordinator::queued_prompt::yields(
    placement_choice const& choice ) const -> bool
{
    auto const first = request.demand.waited +
                       core::duration_of( choice.first_event_ms / 1'000 );
    return is_split_ && request.may_be_refused &&
           request.demand.others_in_time &&
           first > request.demand.latency_objective;
}

auto placement_coordinator::queued_prompt::enter_split_queue() -> void
{
    if ( is_split_ && !std::exchange( in_split_queue_, true ) )
        owner_.load_table_.split_prompts().enter( due() );
}

auto placement_coordinator::queued_prompt::leave_split_queue() -> void
{
    if ( std::exchange( in_split_queue_, false ) )
        owner_.load_table_.split_prompts().leave( due() );
}

auto placement_coordinator::queued_prompt::wait() -> void
{
    enter_split_queue();
    listener_->on_queued( owner_.waiting_.size() );
}

auto placement_coordinator::queued_prompt::close() -> void
{
    leave_split_queue();
}

auto placement_coordinator::queued_prompt::grant( placement_choice choice )
    -> bool
{
    leave_split_queue();
    owner_.grant( *this, std::move( choice ) );
    return true;
}

auto placement_coordinator::queued_prompt::refuse( std::string reason,
                                                   core::duration retry_after )
    -> bool
{
    close();
    owner_.counters_.refused.add();
    auto const listener = listener_;
    owner_.waiting_.erase( { request.requester, request.serial } );
    listener->on_refused( { std::move( reason ), retry_after } );
    return true;
}

auto placement_coordinator::queued_prompt::predicted_room(
    service_settings const& settings ) const -> core::duration
{
    return retry_after_no_capacity(
        owner_.waiting_.size(),
        owner_.chooser_.shortest_prefill( request.demand, settings ),
        owner_.random_ );
}

placement_coordinator::placement_coordinator( core::instance_id self,
                                              ports::scheduler& scheduler,
                                              load_table& loads,
                                              crash_history& crashes,
                                              placement& chooser,
                                              wait_queue& queue,
                                              event_log& log )
    : self_( std::move( self ) ), scheduler_( scheduler ), load_table_( loads ),
      crashes_( crashes ), chooser_( chooser ), wait_queue_( queue ),
      log_( log ), random_( static_cast<std::uint32_t>(
                       std::hash<std::string>{}( self_.str() ) ) )
{
}

placement_coordinator::~placement_coordinator() = default;

auto placement_coordinator::set_configuration( configuration_ptr configuration )
    -> void
{
    configuration_ = std::move( configuration );
}

auto placement_coordinator::knows( core::service_id const& service ) const
    -> bool
{
    auto const* const settings =
        configuration_ ? configuration_->find_service( service ) : nullptr;
    return settings != nullptr;
}

auto placement_coordinator::others_waiting( queued_prompt const& who ) const
    -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if( waiting_.begin(), waiting_.end(),
                       [&]( auto const& entry )
                       {
                           return entry.second.get() != &who &&
                                  entry.second->service() == who.service();
                       } ) );
}

auto placement_coordinator::waiting_before( queued_prompt const& who ) const
    -> std::size_t
{
    auto const order = who.order();
    return static_cast<std::size_t>(
        std::count_if( waiting_.begin(), waiting_.end(),
                       [&]( auto const& entry )
                       {
                           return entry.second.get() != &who &&
                                  entry.second->service() == who.service() &&
                                  entry.second->order() <= order;
                       } ) );
}

/// Callers that are refused come back one after the other, as the targets take
/// them, behind those that wait. A moment that is past a caller's time is only
/// told, and kept for others.
auto placement_coordinator::time_to_return( queued_prompt const& who,
                                            limited_capacity const& capacity )
    -> core::duration
{
    auto const& demand = who.request.demand;
    auto const now = scheduler_.now();
    auto& last = returns_[demand.service];
    auto const next = last + core::duration_of( 1 / capacity.per_second );
    auto const at = std::max(
        { now, capacity.available_after( others_waiting( who ) ), next } );
    if ( at - now < demand.time_left )
        last = at;
    return std::max( at - now, shortest_return );
}

auto placement_coordinator::add_work( queued_prompt const& who,
                                      placement_choice const& choice ) -> void
{
    auto work = open_work{};
    work.serial = who.request.serial;
    work.parts = choice.parts;
    work.context_tokens = who.request.demand.prompt_tokens;
    work.tolerated_gap_ms =
        core::milliseconds_of( who.request.demand.gap_objective );
    work.is_suspect = who.request.demand.crashes > 0;
    work.reserves = choice.needs_reservation;
    auto const now = scheduler_.now();
    auto const use = who.request.demand.limits;
    for ( auto const& target : choice.targets )
        core::check_invariant( core::invariant::limit_holds,
                               load_table_.may_send( *target, use, now ),
                               "target " + target->properties.id.str() +
                                   " is granted over its limit" );
    if ( use == limit_use::uncoordinated )
        load_table_.note_uncoordinated( work.parts, now );
    load_table_.add_work( who.request.requester, work, now );
}

auto placement_coordinator::runs_now( content_id content ) const -> bool
{
    return std::any_of( granted_.begin(), granted_.end(),
                        [content]( auto const& entry )
                        {
                            return entry.second.content == content;
                        } );
}

auto placement_coordinator::grant( queued_prompt const& who,
                                   placement_choice choice ) -> void
{
    auto const name = key{ who.request.requester, who.request.serial };
    auto const found = waiting_.find( name );
    core::check_invariant(
        core::invariant::ends_in_time, found != waiting_.end(),
        "grant to " + who.request.attempt.str() + ", which does not wait" );
    // Keeps the prompt until the end of this call.
    auto const keep = found->second;
    waiting_.erase( found );
    add_work( *keep, choice );
    counters_.granted.add();
    auto const is_suspect = keep->request.demand.crashes > 0;
    granted_[name] = { choice, keep->request.content, is_suspect };
    keep->listener().on_granted(
        { name.second, std::move( choice ), self_, is_suspect } );
}

auto placement_coordinator::request(
    placement_request what, std::shared_ptr<placement_listener> listener )
    -> void
{
    auto const name = key{ what.requester, what.serial };
    auto const granted = granted_.find( name );
    if ( granted != granted_.end() )
    {
        counters_.asked_again.add();
        return listener->on_granted( { name.second, granted->second.choice,
                                       self_, granted->second.is_suspect } );
    }
    auto const waits = waiting_.find( name );
    if ( waits != waiting_.end() )
    {
        counters_.asked_again.add();
        waits->second->set_listener( listener );
        return listener->on_queued( waiting_.size() );
    }
    counters_.asked.add();
    for ( auto const& target : what.crashed_at )
        crashes_.note_crash( { what.content, target, scheduler_.now() } );
    if ( !knows( what.demand.service ) )
    {
        counters_.refused.add();
        return listener->on_refused( { "unknown_service", 0ms } );
    }
    auto const* const settings =
        configuration_->find_service( what.demand.service );
    auto const who = std::make_shared<queued_prompt>(
        *this, std::move( what ), *settings, std::move( listener ) );
    waiting_.emplace( name, who );
    if ( who->try_start() )
        return;
    wait_queue_.add( who );
    who->wait();
}

auto placement_coordinator::release( core::instance_id const& requester,
                                     std::uint64_t serial ) -> void
{
    auto const name = key{ requester, serial };
    auto const found = waiting_.find( name );
    if ( found != waiting_.end() )
    {
        auto const who = found->second;
        waiting_.erase( found );
        who->close();
        wait_queue_.remove( who.get() );
    }
    granted_.erase( name );
    load_table_.end_work( requester, serial, scheduler_.now() );
}

auto placement_coordinator::keep_only( core::instance_id const& requester,
                                       std::set<std::uint64_t> const& open )
    -> void
{
    auto gone = std::vector<std::uint64_t>{};
    auto const collect = [&]( auto const& all )
    {
        for ( auto at = all.lower_bound( { requester, 0 } );
              at != all.end() && at->first.first == requester; ++at )
            if ( !open.contains( at->first.second ) )
                gone.push_back( at->first.second );
    };
    collect( waiting_ );
    collect( granted_ );
    for ( auto const serial : gone )
        release( requester, serial );
}

auto placement_coordinator::forget( core::instance_id const& requester ) -> void
{
    keep_only( requester, {} );
}

}
