#include <pollenstream/sessions/context.hpp>

namespace pollenstream::sessions
{

auto context::new_request_id() -> core::request_id
{
    auto const number = next_request.fetch_add( 1, std::memory_order_relaxed );
    return core::request_id( self.instance.str() + "." +
                             std::to_string( self.incarnation.count() ) + "." +
                             std::to_string( number ) );
}

}
