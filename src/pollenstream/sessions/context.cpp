#include <pollenstream/sessions/context.hpp>

#include <utility>

namespace pollenstream::sessions
{

context::context( ports::memory_owner owner,
                  ports::clock& time,
                  ports::timer& alarms,
                  ports::engine_client& engine_calls,
                  routing::target_table& target_list,
                  routing::target_policy& target_choice,
                  admission::retry_budget& retry_credit,
                  metrics::request_metrics& measures )
    : self( std::move( owner ) ), clock( time ), timer( alarms ),
      engines( engine_calls ), targets( target_list ), policy( target_choice ),
      retries( retry_credit ), metrics( measures )
{
}

auto context::new_request_id() -> core::request_id
{
    auto const number = next_request.fetch_add( 1, std::memory_order_relaxed );
    return core::request_id( self.instance.str() + "." +
                             std::to_string( self.incarnation.count() ) + "." +
                             std::to_string( number ) );
}

}
