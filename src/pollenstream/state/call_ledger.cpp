#include <pollenstream/core/invariant.hpp>
#include <pollenstream/state/call_ledger.hpp>

#include <utility>

namespace pollenstream::state
{

namespace
{

auto key_of( call_ticket const& ticket, std::string const& scope )
    -> std::string
{
    return scope + '\n' + to_string( ticket );
}

}

call_ledger::call_ledger( core::instance_id self,
                          core::incarnation incarnation )
    : self_( std::move( self ) ), incarnation_( incarnation )
{
}

auto call_ledger::is_ours( call_ticket const& ticket ) const -> bool
{
    return ticket.instance == self_ && ticket.incarnation == incarnation_;
}

auto call_ledger::begin( call_ticket const& ticket,
                         std::string const& scope,
                         core::instant now,
                         done callback ) -> step
{
    auto known_outcome = std::optional<call_outcome>{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        auto const key = key_of( ticket, scope );
        auto const known = entries_.find( key );
        if ( known == entries_.end() )
        {
            if ( now >= ticket.expires )
                return step::expired;
            if ( closed_ )
                return step::closed;
            auto& fresh = entries_[key];
            fresh.expires = ticket.expires;
            fresh.waiting.push_back( std::move( callback ) );
            fresh.sends = 1;
            return step::run;
        }
        if ( !known->second.outcome )
        {
            known->second.waiting.push_back( std::move( callback ) );
            return step::wait;
        }
        known_outcome = known->second.outcome;
    }
    callback( *known_outcome );
    return step::wait;
}

auto call_ledger::finish( call_ticket const& ticket,
                          std::string const& scope,
                          call_outcome const& outcome ) -> void
{
    auto waiting = std::vector<done>{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        auto const known = entries_.find( key_of( ticket, scope ) );
        auto const is_running =
            known != entries_.end() && !known->second.outcome;
        core::check_invariant( core::invariant::at_most_once,
                               is_running && known->second.sends == 1,
                               to_string( ticket ) );
        if ( !is_running )
            return;
        waiting = std::exchange( known->second.waiting, {} );
        if ( outcome.status == ports::answer_status::not_run )
            entries_.erase( known );
        else
            known->second.outcome = outcome;
    }
    for ( auto const& each : waiting )
        each( outcome );
}

auto call_ledger::close() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    closed_ = true;
}

auto call_ledger::expire( core::instant now ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    std::erase_if( entries_,
                   [&]( auto const& each )
                   {
                       auto const& e = each.second;
                       return e.outcome && e.expires <= now;
                   } );
}

auto call_ledger::size() const -> std::size_t
{
    auto const lock = std::scoped_lock( mutex_ );
    return entries_.size();
}

}
