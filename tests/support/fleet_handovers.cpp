#include "support/fleet_handovers.hpp"

#include <chrono>
#include <utility>

namespace tests
{

namespace
{

using namespace std::chrono_literals;

constexpr auto transit_time = core::duration( 1ms );

}

/// One request on its way to another instance, and the answer on its way back.
/// Timers keep it alive.
class fleet_handovers::connection
    : public exchange::open_attempt,
      public std::enable_shared_from_this<connection>
{
public:
    connection( fleet_handovers& owner,
                std::string from_ip,
                handover::peer_access to,
                std::shared_ptr<exchange::attempt_listener> listener )
        : owner_( owner ), from_ip_( std::move( from_ip ) ),
          to_( std::move( to ) ), listener_( std::move( listener ) )
    {
    }

    auto begin( exchange::outgoing_handover const& handover ) -> void
    {
        auto request = *handover.request;
        request.received = owner_.scheduler_.now() - handover.origin.waited;
        request.time_limit = handover.time_left + handover.origin.waited;
        request.last_event = handover.last_event;
        request.handed_over = handover.origin;
        later(
            [this, request = std::move( request )]() mutable
            {
                if ( listener_ )
                    arrive( std::move( request ) );
            } );
    }
    auto back( std::function<void( exchange::attempt_listener& )> what ) -> void
    {
        later(
            [this, what = std::move( what )]
            {
                auto const listener = listener_;
                if ( listener )
                    what( *listener );
            } );
    }
    auto end( bool complete ) -> void
    {
        back(
            [this, complete]( auto& listener )
            {
                listener_.reset();
                auto ended = exchange::attempt_end{};
                ended.complete = complete;
                ended.sent = true;
                if ( !complete )
                    ended.error = { core::error_code::connection_lost, "lost" };
                listener.on_end( ended );
            } );
    }
    [[nodiscard]] auto is_of( std::string const& ip ) const -> bool
    {
        return ip == from_ip_ || ip == to_.ip;
    }

    auto cancel() -> void override
    {
        listener_.reset();
        if ( auto const end_there = std::exchange( end_there_, nullptr ) )
            end_there();
    }
    [[nodiscard]] auto sent() const -> bool override
    {
        return true;
    }

private:
    class channel;

    auto arrive( exchange::caller_request request ) -> void;
    auto later( std::function<void()> what ) -> void
    {
        timers_.push_back( owner_.scheduler_.call_after(
            transit_time,
            [self = shared_from_this(), what = std::move( what )]
            {
                what();
            } ) );
    }

    fleet_handovers& owner_;
    std::string from_ip_;
    handover::peer_access to_;
    std::shared_ptr<exchange::attempt_listener> listener_;
    std::function<void()> end_there_;
    std::vector<std::unique_ptr<ports::scheduled_call>> timers_;
};

/// Passes the answer of the other instance back.
class fleet_handovers::connection::channel : public exchange::answer_channel
{
public:
    explicit channel( std::shared_ptr<connection> owner )
        : owner_( std::move( owner ) )
    {
    }
    auto send_whole( exchange::whole_answer answer ) -> void override
    {
        auto head = head_of( answer.status );
        head.handover_refused = answer.is_refused_here;
        owner_->back(
            [head, body = std::move( answer.body )]( auto& listener )
            {
                listener.on_head( head );
                listener.on_body( body );
            } );
        owner_->end( true );
    }
    auto start_stream( int status, exchange::header_list ) -> void override
    {
        owner_->back(
            [head = head_of( status )]( auto& listener )
            {
                listener.on_head( head );
            } );
    }
    auto send_chunk( std::string bytes ) -> void override
    {
        owner_->back(
            [bytes = std::move( bytes )]( auto& listener )
            {
                listener.on_body( bytes );
            } );
    }
    auto end_stream() -> void override
    {
        owner_->end( true );
    }
    auto abort() -> void override
    {
        owner_->end( false );
    }
    [[nodiscard]] auto unsent_bytes() const -> std::size_t override
    {
        return 0;
    }

private:
    static auto head_of( int status ) -> exchange::answer_head
    {
        auto head = exchange::answer_head{};
        head.status = status;
        head.has_seal = status < exchange::first_failure_status;
        return head;
    }

    std::shared_ptr<connection> owner_;
};

auto fleet_handovers::connection::arrive( exchange::caller_request request )
    -> void
{
    end_there_ =
        owner_.take_over_( to_, std::move( request ),
                           std::make_shared<channel>( shared_from_this() ) );
    if ( !end_there_ )
        end( false );
}

fleet_handovers::fleet_handovers( held_scheduler& scheduler,
                                  take_over_request take_over )
    : scheduler_( scheduler ), take_over_( std::move( take_over ) )
{
}

auto fleet_handovers::send(
    std::string const& from_ip,
    handover::peer_access const& to,
    exchange::outgoing_handover handover,
    std::shared_ptr<exchange::attempt_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    ++sent;
    auto const opened = std::make_shared<connection>( *this, from_ip, to,
                                                      std::move( listener ) );
    open_.push_back( opened );
    opened->begin( handover );
    return opened;
}

auto fleet_handovers::close_all( std::string const& ip ) -> void
{
    for ( auto const& weak : open_ )
        if ( auto const one = weak.lock(); one && one->is_of( ip ) )
            one->end( false );
    std::erase_if( open_,
                   []( auto const& weak )
                   {
                       return weak.expired();
                   } );
}

}
