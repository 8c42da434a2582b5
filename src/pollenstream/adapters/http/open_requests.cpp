#include <pollenstream/adapters/http/open_requests.hpp>

#include <utility>

namespace pollenstream::adapters::http
{

auto open_requests::give_up_all( exchange::whole_answer const& answer ) -> void
{
    for ( auto* const each : std::set( all_ ) )
        each->give_up( answer );
}

request_in_work::request_in_work( std::shared_ptr<core::memory_claim> memory,
                                  std::weak_ptr<reply_channel> reply,
                                  std::shared_ptr<open_requests> open )
    : memory_( std::move( memory ) ), reply_( std::move( reply ) ),
      open_( std::move( open ) )
{
    open_->all_.insert( this );
}

request_in_work::~request_in_work()
{
    open_->all_.erase( this );
}

auto request_in_work::give_up( exchange::whole_answer const& answer ) -> void
{
    if ( auto const reply = reply_.lock() )
        reply->send_if_none( answer );
}

auto request_in_work::on_caller_gone() -> void
{
    if ( auto const reply = reply_.lock() )
        reply->note_gone();
}

}
