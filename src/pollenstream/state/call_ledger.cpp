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

auto call_ledger::names_this_incarnation( call_ticket const& ticket ) const
    -> bool
{
    return ticket.instance == self_ && ticket.incarnation == incarnation_;
}

auto call_ledger::begin( call_ticket const& ticket,
                         std::string const& scope,
                         core::instant now,
                         outcome_callback callback ) -> begin_result
{
    auto known_outcome = std::optional<call_outcome>{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        auto const key = key_of( ticket, scope );
        auto const known = entries_.find( key );
        if ( known == entries_.end() )
        {
            if ( now >= ticket.expires )
                return begin_result::expired;
            if ( closed_ )
                return begin_result::closed;
            auto& new_entry = entries_[key];
            new_entry.expires = ticket.expires;
            new_entry.callbacks.push_back( std::move( callback ) );
            new_entry.run_count = 1;
            return begin_result::run;
        }
        if ( !known->second.outcome )
        {
            known->second.callbacks.push_back( std::move( callback ) );
            return begin_result::wait;
        }
        known_outcome = known->second.outcome;
    }
    callback( *known_outcome );
    return begin_result::wait;
}

auto call_ledger::finish( call_ticket const& ticket,
                          std::string const& scope,
                          call_outcome const& outcome ) -> void
{
    auto callbacks = std::vector<outcome_callback>{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        auto const known = entries_.find( key_of( ticket, scope ) );
        auto const is_running =
            known != entries_.end() && !known->second.outcome;
        core::check_invariant( core::invariant::at_most_once,
                               is_running && known->second.run_count == 1,
                               to_string( ticket ) );
        if ( !is_running )
            return;
        callbacks = std::exchange( known->second.callbacks, {} );
        if ( outcome.status == ports::answer_status::not_run )
            entries_.erase( known );
        else
            known->second.outcome = outcome;
    }
    for ( auto const& each : callbacks )
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
