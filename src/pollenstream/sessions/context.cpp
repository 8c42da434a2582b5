#include <pollenstream/sessions/context.hpp>

#include <utility>

namespace pollenstream::sessions
{

context::context( ports::memory_owner owner,
                  ports::clock& clock_port,
                  ports::timer& timer_port,
                  ports::engine_client& engine_port,
                  routing::target_table& target_table,
                  routing::target_policy& target_policy,
                  admission::retry_budget& retry_budget,
                  metrics::request_metrics& request_metrics )
    : self( std::move( owner ) ), clock( clock_port ), timer( timer_port ),
      engines( engine_port ), targets( target_table ), policy( target_policy ),
      retries( retry_budget ), metrics( request_metrics )
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
