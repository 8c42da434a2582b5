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

/// Seconds added to the order of a prompt that has missed its latency
/// objective: a late answer is worth less than one that can still be in time.
constexpr auto late_penalty = 1'000.0;
/// Seconds added per priority level, so that the level outweighs due times and
/// the penalty for lateness.
constexpr auto priority_step = 100'000.0;
/// Minimum Retry-After of a refusal for a limit: the caller must not repeat the
/// request at once.
constexpr auto min_retry_delay = core::duration( 20ms );
/// Time after the end of a request within which its crash is reported.
constexpr auto crash_report_time = core::duration( 2500ms );

}

/// A placement request that waits for capacity at a target.
class placement_coordinator::queued_request : public waiting_item
{
public:
    queued_request( placement_coordinator& owner,
                    placement_request new_request,
                    service_settings const& settings,
                    std::shared_ptr<placement_listener> listener )
        : request( std::move( new_request ) ),
          suspects( suspects_of( request.content, request.shared_parts ) ),
          owner_( owner ), listener_( std::move( listener ) ),
          received_( owner.scheduler_.now() - request.demand.waited ),
          deadline_( owner.scheduler_.now() + request.demand.time_left ),
          patience_deadline_( owner.scheduler_.now() +
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
    /// A prompt that is held back for its content, or may not use some of the
    /// targets, can fail where others succeed. One that waits for a limit is
    /// tried in each round to refuse it as soon as it cannot be in time.
    [[nodiscard]] auto is_always_tried() const -> bool override
    {
        return is_held_back_ || is_trial_ || limited_since_ ||
               !request.demand.tried.empty() || !request.demand.paused.empty();
    }

    /// Replaces the listener when the request is repeated.
    auto set_listener( std::shared_ptr<placement_listener> listener ) -> void
    {
        listener_ = std::move( listener );
    }
    [[nodiscard]] auto listener() const -> placement_listener&
    {
        return *listener_;
    }
    auto start_waiting() -> void;
    /// Leaves the queue of split prompts without an answer to the listener.
    auto close() -> void;

    /// The request is quarantined and is to be sent as a trial.
    [[nodiscard]] auto is_trial() const -> bool
    {
        return is_trial_;
    }

    placement_request request;
    suspect_list suspects;

private:
    [[nodiscard]] auto due() const -> core::instant
    {
        return received_ + request.demand.latency_objective;
    }
    /// When the prompt stops waiting. A caller that has received part of the
    /// answer, or whose silent target may still answer, has no known patience:
    /// once the assumed one is over, the deadline of the request applies.
    [[nodiscard]] auto wait_deadline( core::instant now ) const -> core::instant
    {
        auto const is_past = now > patience_deadline_;
        return is_past && !request.may_be_refused ? deadline_
                                                  : patience_deadline_;
    }
    auto refresh_demand( core::instant now ) -> void;
    auto try_choose( core::instant now ) -> bool;
    auto wait_for_limit( core::instant now ) -> bool;
    [[nodiscard]] auto
    should_refuse_as_late( service_settings const& settings ) const -> bool;
    [[nodiscard]] auto should_yield( placement_choice const& choice ) const
        -> bool;
    auto enter_split_queue() -> void;
    auto leave_split_queue() -> void;
    auto grant( placement_choice choice ) -> bool;
    auto refuse( std::string reason, core::duration retry_after ) -> bool;
    auto retry_delay_when_full( service_settings const& settings ) const
        -> core::duration;

    placement_coordinator& owner_;
    std::shared_ptr<placement_listener> listener_;
    core::instant received_;
    core::instant deadline_;
    core::instant patience_deadline_;
    bool is_long_{ false };
    bool is_split_{ false };
    bool in_split_queue_{ false };
    bool was_tried_{ false };
    bool is_held_back_{ false }; ///< until another run of the content ends
    bool is_trial_{ false };
    /// Since when the limits of all remaining targets are used up.
    std::optional<core::instant> limited_since_;
};

auto placement_coordinator::queued_request::order() const -> double
{
    auto const seconds = core::seconds_of( due().time_since_epoch() );
    auto const is_late = owner_.scheduler_.now() > due();
    return seconds + ( is_late ? late_penalty : 0 ) +
           request.priority * priority_step;
}

auto placement_coordinator::queued_request::refresh_demand( core::instant now )
    -> void
{
    auto& demand = request.demand;
    auto const& split_prompts = owner_.load_table_.split_prompts();
    demand.waited = now - received_;
    demand.time_left = deadline_ - now;
    demand.patience_left = wait_deadline( now ) - now;
    demand.crashes = owner_.crashes_.count( suspect_of( request.content ) );
    demand.is_only_split_prompt =
        ( in_split_queue_ ? split_prompts.others( due() )
                          : split_prompts.size() ) == 0;
    demand.others_in_time = split_prompts.others_in_time(
        in_split_queue_ ? due() : core::instant::min(), now );
    demand.draw =
        std::uniform_real_distribution<double>( 0, 1 )( owner_.random_ );
}

auto placement_coordinator::queued_request::try_start() -> bool
{
    auto const now = owner_.scheduler_.now();
    // Past its time, nobody waits for the answer: the requester has ended, or
    // its withdrawal has not arrived. A request that arrives late is tried
    // once.
    auto const is_over = now > wait_deadline( now );
    if ( std::exchange( was_tried_, true ) && is_over )
    {
        close();
        owner_.waiting_.erase( { request.requester, request.serial } );
        return true;
    }
    return try_choose( now );
}

auto placement_coordinator::queued_request::try_choose( core::instant now )
    -> bool
{
    auto const* const settings =
        owner_.configuration_->find_service( request.demand.service );
    if ( settings == nullptr )
        return refuse( "unknown_service", 0ms );
    is_trial_ = owner_.crashes_.is_quarantined( suspects );
    if ( is_trial_ && !request.continues_trial &&
         !owner_.crashes_.is_trial_due( suspects, now ) )
        return refuse( quarantined_reason, 0ms );
    refresh_demand( now );
    // The next run may crash its target, and its outcome decides on the
    // quarantine of the content: one run at a time.
    is_held_back_ =
        owner_.crashes_.awaits_confirmation( suspects ) ||
        ( request.demand.crashes + 1 >= crash_history::crashes_to_quarantine &&
          owner_.is_running( request.content ) );
    if ( is_held_back_ )
        return false;
    auto result = owner_.chooser_.choose( request.demand, *settings, now );
    if ( result.choice && should_yield( *result.choice ) )
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
    if ( result.reason == placement_obstacle::drained &&
         request.may_be_refused )
        return refuse( drained_reason, retry_after_drained );
    // A plain call waits only for limits, unless it may have run already.
    if ( !settings->engine && request.may_be_refused )
        return refuse( "no_targets", retry_after_no_target );
    if ( should_refuse_as_late( *settings ) )
        return refuse( "no_room_in_time", retry_delay_when_full( *settings ) );
    return false;
}

/// Refuses a request that the limits of the remaining targets do not let start
/// in time. One that arrives while others wait has to start within its latency
/// objective, since a late request takes the slot of one that is in time. Any
/// other may wait as long as its caller does.
auto placement_coordinator::queued_request::wait_for_limit( core::instant now )
    -> bool
{
    auto const capacity =
        owner_.chooser_.capacity_by_limits( request.demand, now );
    auto const ahead = owner_.count_waiting_ahead( *this );
    auto const is_first_try = !limited_since_;
    limited_since_ = limited_since_.value_or( now );
    if ( !capacity || !request.may_be_refused )
        return false;
    auto const latest =
        is_first_try && ahead > 0 ? due() : wait_deadline( now );
    if ( capacity->available_after( ahead ) <= latest )
        return false;
    owner_.counters_.limited.add();
    return refuse( limited_reason,
                   owner_.next_retry_delay( *this, *capacity ) );
}

/// True for a split prompt that cannot meet its latency objective while another
/// one that can is waiting: it would wait until its caller leaves. Refused at
/// once, the caller can retry while there is time. A prompt that may have run
/// is not refused.
auto placement_coordinator::queued_request::should_refuse_as_late(
    service_settings const& settings ) const -> bool
{
    return is_split_ && request.may_be_refused &&
           request.demand.others_in_time &&
           owner_.chooser_.is_too_late( request.demand, settings );
}

/// True where a split prompt would be late with `choice` while another one that
/// can be in time is waiting. In a burst of split prompts, serving the oldest
/// first would make all of them late.
auto placement_coordinator::queued_request::should_yield(
    placement_choice const& choice ) const -> bool
{
    auto const first = request.demand.waited +
                       core::duration_of( choice.first_event_ms / 1'000 );
    return is_split_ && request.may_be_refused &&
           request.demand.others_in_time &&
           first > request.demand.latency_objective;
}

auto placement_coordinator::queued_request::enter_split_queue() -> void
{
    if ( is_split_ && !std::exchange( in_split_queue_, true ) )
        owner_.load_table_.split_prompts().enter( due() );
}

auto placement_coordinator::queued_request::leave_split_queue() -> void
{
    if ( std::exchange( in_split_queue_, false ) )
        owner_.load_table_.split_prompts().leave( due() );
}

auto placement_coordinator::queued_request::start_waiting() -> void
{
    enter_split_queue();
    listener_->on_queued( owner_.waiting_.size() );
}

auto placement_coordinator::queued_request::close() -> void
{
    leave_split_queue();
}

auto placement_coordinator::queued_request::grant( placement_choice choice )
    -> bool
{
    leave_split_queue();
    owner_.grant( *this, std::move( choice ) );
    return true;
}

auto placement_coordinator::queued_request::refuse( std::string reason,
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

auto placement_coordinator::queued_request::retry_delay_when_full(
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

auto placement_coordinator::count_other_waiting(
    queued_request const& item ) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if( waiting_.begin(), waiting_.end(),
                       [&]( auto const& entry )
                       {
                           return entry.second.get() != &item &&
                                  entry.second->service() == item.service();
                       } ) );
}

auto placement_coordinator::count_waiting_ahead(
    queued_request const& item ) const -> std::size_t
{
    auto const order = item.order();
    return static_cast<std::size_t>(
        std::count_if( waiting_.begin(), waiting_.end(),
                       [&]( auto const& entry )
                       {
                           return entry.second.get() != &item &&
                                  entry.second->service() == item.service() &&
                                  entry.second->order() <= order;
                       } ) );
}

/// Spreads the retries of refused callers at the rate of the targets' limits,
/// behind the requests that wait. A retry time past the caller's deadline is
/// returned but not reserved, so that another caller can have it.
auto placement_coordinator::next_retry_delay( queued_request const& item,
                                              limited_capacity const& capacity )
    -> core::duration
{
    auto const& demand = item.request.demand;
    auto const now = scheduler_.now();
    auto& last = retry_times_[demand.service];
    auto const next = last + core::duration_of( 1 / capacity.per_second );
    auto const at = std::max(
        { now, capacity.available_after( count_other_waiting( item ) ),
          next } );
    if ( at - now < demand.time_left )
        last = at;
    return std::max( at - now, min_retry_delay );
}

auto placement_coordinator::add_work( queued_request const& item,
                                      placement_choice const& choice ) -> void
{
    auto work = open_work{};
    work.serial = item.request.serial;
    work.parts = choice.parts;
    work.context_tokens = item.request.demand.prompt_tokens;
    work.tolerated_gap_ms =
        core::milliseconds_of( item.request.demand.gap_objective );
    work.is_suspect = item.request.demand.crashes > 0;
    work.reserves = choice.needs_reservation;
    auto const now = scheduler_.now();
    auto const use = item.request.demand.limits;
    for ( auto const& target : choice.targets )
        core::check_invariant( core::invariant::limit_holds,
                               load_table_.may_send( *target, use, now ),
                               "target " + target->properties.id.str() +
                                   " was granted beyond its limit" );
    if ( use == limit_use::uncoordinated )
        load_table_.note_uncoordinated( work.parts, now );
    load_table_.add_work( item.request.requester, work, now,
                          item.request.memory );
}

auto placement_coordinator::is_running( content_id content ) const -> bool
{
    return std::any_of( granted_.begin(), granted_.end(),
                        [content]( auto const& entry )
                        {
                            return entry.second.content == content;
                        } );
}

auto placement_coordinator::grant( queued_request const& item,
                                   placement_choice choice ) -> void
{
    auto const key = request_key{ item.request.requester, item.request.serial };
    auto const found = waiting_.find( key );
    core::check_invariant(
        core::invariant::ends_in_time, found != waiting_.end(),
        "grant to " + item.request.attempt.str() + ", which is not waiting" );
    // Keeps `item` alive until the end of this call.
    auto const kept_item = found->second;
    waiting_.erase( found );
    add_work( *kept_item, choice );
    counters_.granted.add();
    auto const is_suspect = crashes_.has_suspect( kept_item->suspects );
    auto const is_trial = kept_item->is_trial();
    granted_[key] = { choice, kept_item->request.content, is_suspect, is_trial,
                      kept_item->request.memory };
    if ( is_trial && !kept_item->request.continues_trial )
        begin_trial( key, kept_item->suspects );
    kept_item->listener().on_granted(
        { key.second, std::move( choice ), self_, is_suspect, is_trial } );
}

auto placement_coordinator::begin_trial( request_key const& key,
                                         suspect_list const& suspects ) -> void
{
    auto const now = scheduler_.now();
    crashes_.begin_trial( suspects, now );
    trials_[key] = { suspects, now, nullptr };
}

/// Waits for the reports of crashes before it judges the trial.
auto placement_coordinator::end_trial( request_key const& key ) -> void
{
    auto const found = trials_.find( key );
    if ( found == trials_.end() || found->second.end_call )
        return;
    found->second.end_call = scheduler_.call_after(
        crash_report_time,
        [this, key]
        {
            auto const ended = trials_.extract( key );
            crashes_.end_trial( ended.mapped().suspects, ended.mapped().began,
                                scheduler_.now() );
        } );
}

auto placement_coordinator::request(
    placement_request new_request,
    std::shared_ptr<placement_listener> listener ) -> void
{
    auto const key = request_key{ new_request.requester, new_request.serial };
    auto const granted = granted_.find( key );
    if ( granted != granted_.end() )
    {
        counters_.repeated.add();
        auto const& grant = granted->second;
        return listener->on_granted( { key.second, grant.choice, self_,
                                       grant.is_suspect, grant.is_trial } );
    }
    auto const queued = waiting_.find( key );
    if ( queued != waiting_.end() )
    {
        counters_.repeated.add();
        queued->second->set_listener( listener );
        return listener->on_queued( waiting_.size() );
    }
    counters_.requests.add();
    if ( !knows( new_request.demand.service ) )
    {
        counters_.refused.add();
        return listener->on_refused( { "unknown_service", 0ms } );
    }
    auto const* const settings =
        configuration_->find_service( new_request.demand.service );
    auto const item = std::make_shared<queued_request>(
        *this, std::move( new_request ), *settings, std::move( listener ) );
    waiting_.emplace( key, item );
    if ( item->try_start() )
        return;
    wait_queue_.add( item );
    item->start_waiting();
}

auto placement_coordinator::release( core::instance_id const& requester,
                                     std::uint64_t serial ) -> void
{
    auto const key = request_key{ requester, serial };
    auto const found = waiting_.find( key );
    if ( found != waiting_.end() )
    {
        auto const item = found->second;
        waiting_.erase( found );
        item->close();
        wait_queue_.remove( item.get() );
    }
    granted_.erase( key );
    end_trial( key );
    load_table_.end_work( requester, serial, scheduler_.now() );
}

auto placement_coordinator::keep_only( core::instance_id const& requester,
                                       std::set<std::uint64_t> const& open )
    -> void
{
    auto ended = std::vector<std::uint64_t>{};
    auto const collect = [&]( auto const& all )
    {
        for ( auto at = all.lower_bound( { requester, 0 } );
              at != all.end() && at->first.first == requester; ++at )
            if ( !open.contains( at->first.second ) )
                ended.push_back( at->first.second );
    };
    collect( waiting_ );
    collect( granted_ );
    for ( auto const serial : ended )
        release( requester, serial );
}

auto placement_coordinator::forget( core::instance_id const& requester ) -> void
{
    keep_only( requester, {} );
}

}
