#include <pollenstream/handover/outgoing_handovers.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::handover
{

namespace
{

using namespace std::chrono_literals;

/// Between two looks at the instances that have open requests.
constexpr auto check_period = core::duration( 100ms );
/// For how long an instance that has refused a request is asked for no other:
/// it may reach no target either, and tells all as soon as it knows.
constexpr auto refusal_memory = core::duration( 500ms );

/// Callers may be sent there, and it reaches targets as far as it knows.
/// Whoever reaches the port for datagrams can name instances, so that a request
/// goes only to one that was heard from its own address.
auto can_take( peers::peer const& p ) -> bool
{
    return p.alive && p.ready && !p.leaving && !p.cut_from_targets &&
           p.confirmed && p.handover_key != core::handover_key{};
}

}

/// One request at another instance. Passes its answer on until it ends.
class outgoing_handovers::open_handover
    : public exchange::attempt_listener,
      public exchange::open_attempt,
      public std::enable_shared_from_this<open_handover>
{
public:
    open_handover( std::shared_ptr<shared_state> owner,
                   ports::scheduler& scheduler,
                   peers::peer const& to,
                   std::shared_ptr<exchange::attempt_listener> listener )
        : owner_( std::move( owner ) ), scheduler_( scheduler ), to_( to.id ),
          incarnation_( to.incarnation ), listener_( std::move( listener ) )
    {
        owner_->open.insert( this );
    }
    ~open_handover() override
    {
        owner_->open.erase( this );
    }
    open_handover( open_handover const& ) = delete;
    auto operator=( open_handover const& ) -> open_handover& = delete;

    auto set_call( std::shared_ptr<exchange::open_attempt> call ) -> void
    {
        if ( listener_ )
            call_ = std::move( call );
    }
    [[nodiscard]] auto to() const -> core::instance_id const&
    {
        return to_;
    }
    /// False once another process has taken its place.
    [[nodiscard]] auto is_at( peers::peer const* p ) const -> bool
    {
        return p != nullptr && p->alive && p->incarnation == incarnation_;
    }
    /// Ends it because its instance is lost.
    auto lose() -> void
    {
        auto end = exchange::attempt_end{};
        end.error = { core::error_code::connection_lost,
                      "the instance fell silent" };
        end.sent = sent();
        auto const call = call_;
        on_end( std::move( end ) );
        if ( call )
            call->cancel();
    }

    auto on_head( exchange::answer_head head ) -> void override
    {
        if ( head.handover_refused )
            owner_->refused_at[to_] = scheduler_.now();
        if ( auto const listener = listener_ )
            listener->on_head( std::move( head ) );
    }
    auto on_body( std::string bytes ) -> void override
    {
        if ( auto const listener = listener_ )
            listener->on_body( std::move( bytes ) );
    }
    auto on_end( exchange::attempt_end end ) -> void override
    {
        call_.reset();
        owner_->open.erase( this );
        if ( auto const listener = std::exchange( listener_, nullptr ) )
            listener->on_end( std::move( end ) );
    }

    auto cancel() -> void override
    {
        auto const call = std::exchange( call_, nullptr );
        listener_.reset();
        owner_->open.erase( this );
        if ( call )
            call->cancel();
    }
    auto pause() -> void override
    {
        if ( call_ )
            call_->pause();
    }
    auto resume() -> void override
    {
        if ( call_ )
            call_->resume();
    }
    [[nodiscard]] auto sent() const -> bool override
    {
        return !call_ || call_->sent();
    }

private:
    std::shared_ptr<shared_state> owner_;
    ports::scheduler& scheduler_;
    core::instance_id to_;
    core::incarnation incarnation_;
    std::shared_ptr<exchange::attempt_listener> listener_;
    std::shared_ptr<exchange::open_attempt> call_;
};

outgoing_handovers::outgoing_handovers( ports::scheduler& scheduler,
                                        peers::peer_group const& group,
                                        handover_transport& transport,
                                        core::data_centre_id near,
                                        std::uint32_t random_seed )
    : scheduler_( scheduler ), group_( group ), transport_( transport ),
      near_( std::move( near ) ), random_( random_seed ),
      state_( std::make_shared<shared_state>() ), checks_( scheduler,
                                                           check_period,
                                                           [this]
                                                           {
                                                               end_lost();
                                                           } )
{
}

outgoing_handovers::~outgoing_handovers() = default;

auto outgoing_handovers::start() -> void
{
    checks_.start();
}

auto outgoing_handovers::choose( std::set<core::instance_id> const& asked )
    -> std::optional<core::instance_id>
{
    auto const now = scheduler_.now();
    std::erase_if( state_->refused_at,
                   [now]( auto const& entry )
                   {
                       return now - entry.second >= refusal_memory;
                   } );
    return choose_peer( candidates( asked ), random_ );
}

auto outgoing_handovers::candidates(
    std::set<core::instance_id> const& asked ) const -> std::vector<candidate>
{
    auto all = std::vector<candidate>{};
    for ( auto const& [id, p] : group_.peers() )
        if ( can_take( p ) && !asked.contains( id ) &&
             !state_->refused_at.contains( id ) )
            all.push_back( { id, p.data_centre == near_, open_at( id ) } );
    return all;
}

auto outgoing_handovers::open_at( core::instance_id const& id ) const
    -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if( state_->open.begin(), state_->open.end(),
                       [&id]( auto const* handover )
                       {
                           return handover->to() == id;
                       } ) );
}

auto outgoing_handovers::send(
    exchange::outgoing_handover handover,
    std::shared_ptr<exchange::attempt_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto const& to = group_.peers().at( handover.to );
    auto opened = std::make_shared<open_handover>( state_, scheduler_, to,
                                                   std::move( listener ) );
    opened->set_call( transport_.send( { to.ip, to.handover_key },
                                       std::move( handover ), opened ) );
    return opened;
}

auto outgoing_handovers::open() const -> std::size_t
{
    return state_->open.size();
}

auto outgoing_handovers::end_lost() -> void
{
    auto lost = std::vector<std::shared_ptr<open_handover>>{};
    for ( auto* const handover : state_->open )
    {
        auto const found = group_.peers().find( handover->to() );
        auto const* const p =
            found == group_.peers().end() ? nullptr : &found->second;
        if ( !handover->is_at( p ) )
            lost.push_back( handover->shared_from_this() );
    }
    for ( auto const& handover : lost )
        handover->lose();
}

}
