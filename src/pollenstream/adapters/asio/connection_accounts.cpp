#include <pollenstream/adapters/asio/connection_accounts.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;

/// A sender makes progress with so many bytes at a time, not with each byte.
constexpr auto progress_bytes = std::size_t{ 4 } * 1024;
/// A sender that has made no progress for less than this may only be slow.
constexpr auto min_idle = core::duration( 250ms );
/// The same for memory that is reserved for bytes that have not come.
constexpr auto min_idle_of_reservation = core::duration( 50ms );
/// A request of so many bytes is small.
constexpr auto small_request_bytes = std::size_t{ 32 } * 1024;
constexpr auto report_period = core::duration( 1s );
/// The part of the memory that connections without any request may take, as a
/// divisor. Nobody has to give way for the memory of idle connections then.
constexpr auto parts_with_one_for_connections = std::size_t{ 2 };

/// A connection that may have to give way.
struct candidate
{
    connection_account* account;
    double byte_seconds; ///< held, times the time without progress
};

auto by_byte_seconds( candidate const& a, candidate const& b ) -> bool
{
    return a.byte_seconds > b.byte_seconds;
}

}

connection_accounts::connection_accounts(
    std::shared_ptr<core::memory_budget> memory,
    std::size_t max_connections,
    clock now )
    : memory_( std::move( memory ) ),
      max_connections_(
          std::min( max_connections,
                    memory_->max_bytes() / parts_with_one_for_connections /
                        connection_bytes ) ),
      now_( std::move( now ) )
{
    memory_->set_reclaimer( this );
}

connection_accounts::~connection_accounts()
{
    memory_->set_reclaimer( nullptr );
}

auto connection_accounts::admit() -> bool
{
    if ( accounts_.size() >= max_connections_ )
    {
        auto* const account = without_progress_longest();
        if ( account != nullptr )
        {
            note_gave_way( *account, scarce_resource::descriptors );
            account->owner_.give_descriptor_back();
        }
    }
    if ( accounts_.size() < max_connections_ )
        return true;
    refused_.add();
    ++unreported_.refused;
    unreported_.resource = scarce_resource::descriptors;
    report();
    return false;
}

auto connection_accounts::note_refused() -> void
{
    refused_.add();
    ++unreported_.refused;
    unreported_.resource = scarce_resource::memory;
    report();
}

auto connection_accounts::without_progress_longest() const
    -> connection_account*
{
    auto* longest = static_cast<connection_account*>( nullptr );
    for ( auto* const account : accounts_ )
    {
        if ( !account->owner_.can_give_way() )
            continue;
        if ( longest == nullptr ||
             account->progress_at_ < longest->progress_at_ )
            longest = account;
    }
    return longest;
}

auto connection_accounts::reclaim( std::size_t bytes ) -> void
{
    auto const wanted = memory_->left_bytes() + bytes;
    take_back_reservations( bytes );
    if ( memory_->left_bytes() >= wanted )
        return;
    auto const now = now_();
    auto candidates = std::vector<candidate>{};
    for ( auto* const account : accounts_ )
    {
        auto const idle = account->idle_at( now );
        if ( account == claiming_ || account->held_bytes_ == 0 ||
             idle < min_idle || !account->owner_.can_give_way() )
            continue;
        candidates.push_back(
            { account, static_cast<double>( account->held_bytes_ ) *
                           core::seconds_of( idle ) } );
    }
    std::sort( candidates.begin(), candidates.end(), by_byte_seconds );
    for ( auto const& each : candidates )
    {
        if ( memory_->left_bytes() >= wanted )
            return;
        note_gave_way( *each.account, scarce_resource::memory );
        each.account->owner_.give_memory_back();
    }
}

/// Nobody is refused for this: who goes on to send claims the memory anew.
auto connection_accounts::take_back_reservations( std::size_t bytes ) -> void
{
    auto const wanted = memory_->left_bytes() + bytes;
    auto const now = now_();
    for ( auto* const account : accounts_ )
    {
        if ( memory_->left_bytes() >= wanted )
            return;
        if ( account == claiming_ || account->reserved_bytes() == 0 ||
             account->idle_at( now ) < min_idle_of_reservation )
            continue;
        account->received_.resize( account->held_bytes_ );
    }
}

auto connection_accounts::note_gave_way( connection_account const& which,
                                         scarce_resource resource ) -> void
{
    gave_way_.add();
    ++unreported_.gave_way;
    unreported_.resource = resource;
    unreported_.caller = which.owner_.caller();
    unreported_.idle = which.idle_at( now_() );
    report();
}

auto connection_accounts::report_rest() -> void
{
    if ( unreported_.refused > 0 || unreported_.gave_way > 0 )
        report();
}

auto connection_accounts::report() -> void
{
    auto const now = now_();
    if ( !on_shortage || now - reported_at_ < report_period )
        return;
    reported_at_ = now;
    on_shortage( std::exchange( unreported_, {} ) );
}

connection_account::connection_account(
    std::shared_ptr<connection_accounts> all, accounted_connection& owner )
    : all_( std::move( all ) ), owner_( owner ),
      connection_( all_ ? all_->memory_ : nullptr ),
      received_( all_ ? all_->memory_ : nullptr ),
      progress_at_( all_ ? all_->now_() : steady_clock::time_point{} )
{
    if ( !all_ )
        return;
    connection_.grow_in_any_case( connection_bytes );
    all_->accounts_.insert( this );
}

connection_account::~connection_account()
{
    close();
}

auto connection_account::hold( std::size_t bytes ) -> bool
{
    if ( !all_ )
        return true;
    if ( bytes > received_.bytes() && !claim( bytes ) )
        return false;
    auto const was_reserved = reserved_bytes() > 0;
    if ( bytes < held_bytes_ && !was_reserved )
        received_.resize( bytes );
    held_bytes_ = bytes;
    return true;
}

auto connection_account::reserve( std::size_t bytes ) -> bool
{
    return !all_ || bytes <= received_.bytes() || claim( bytes );
}

/// Claims what is missing to `bytes`. Large requests leave a part of the memory
/// to small ones.
auto connection_account::claim( std::size_t bytes ) -> bool
{
    auto const kept = bytes > small_request_bytes ? all_->memory_->max_bytes() /
                                                        parts_for_small_requests
                                                  : 0;
    auto* const outer = std::exchange( all_->claiming_, this );
    auto const claimed = received_.grow_to( bytes, kept );
    all_->claiming_ = outer;
    return claimed;
}

auto connection_account::take_for_request( std::size_t bytes )
    -> std::shared_ptr<core::memory_claim>
{
    if ( !all_ )
        return nullptr;
    auto taken =
        std::make_shared<core::memory_claim>( received_.split( bytes ) );
    // Bytes that were announced and did not come need no memory any more.
    held_bytes_ -= std::min( held_bytes_, bytes );
    received_.resize( held_bytes_ );
    return taken;
}

auto connection_account::release() -> void
{
    held_bytes_ = 0;
    received_.give_back();
}

auto connection_account::note_received( std::size_t bytes ) -> void
{
    bytes_since_progress_ += bytes;
    if ( bytes_since_progress_ >= progress_bytes )
        note_progress();
}

auto connection_account::note_progress() -> void
{
    bytes_since_progress_ = 0;
    if ( all_ )
        progress_at_ = all_->now_();
}

auto connection_account::note_refused() -> void
{
    if ( all_ )
        all_->note_refused();
}

auto connection_account::close() -> void
{
    if ( !all_ )
        return;
    all_->accounts_.erase( this );
    release();
    connection_.give_back();
}

auto connection_account::idle_at( steady_clock::time_point now ) const
    -> core::duration
{
    return std::chrono::duration_cast<core::duration>( now - progress_at_ );
}

}
