#include "state_handler.hpp"

#include <pollenstream/peers/state_transfer.hpp>

namespace pollenstream::gateway
{

namespace
{

constexpr auto status_ok = 200;
constexpr auto status_not_found = 404;

}

state_handler::state_handler( registry::registry_watch const& registry )
    : registry_( registry )
{
}

auto state_handler::limits() const -> exchange::caller_limits
{
    return exchange::limits_without_body();
}

auto state_handler::handle( adapters::asio::raw_request request,
                            std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<adapters::asio::request_in_progress>
{
    if ( !request.target.starts_with( peers::state_path ) )
        answer->send_whole( { status_not_found, {}, "no such path\n" } );
    else
        answer->send_whole(
            { status_ok,
              { { "Content-Type", "application/cbor" } },
              peers::encode_update( registry_.changes_after(
                  peers::requested_revision( request.target ) ) ) } );
    return nullptr;
}

}
