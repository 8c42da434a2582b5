#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/placement_client.hpp>
#include <pollenstream/exchange/report_memory.hpp>
#include <pollenstream/exchange/suspect.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

/// Of an open request in all tables, without its parts.
constexpr auto work_bytes = std::size_t{ 320 };
/// Of a part of it, without the target's id.
constexpr auto work_part_bytes = std::size_t{ 96 };
/// Of a placement request that waits or is granted, without its lists.
constexpr auto request_bytes = std::size_t{ 768 };

auto bytes_of( std::vector<core::target_id> const& ids ) -> std::size_t
{
    auto bytes = std::size_t{ 0 };
    for ( auto const& id : ids )
        bytes += sizeof( id ) + id.str().size();
    return bytes;
}

}

auto bytes_of( open_work const& work ) -> std::size_t
{
    auto bytes = work_bytes;
    for ( auto const& part : work.parts )
        bytes += work_part_bytes + part.target.str().size();
    return bytes;
}

auto bytes_of( placement_request const& request ) -> std::size_t
{
    // The parts are kept once more as suspects.
    constexpr auto part_bytes = sizeof( prompt_part_id ) + sizeof( suspect_id );
    return request_bytes + request.attempt.str().size() +
           request.demand.service.str().size() +
           request.shared_parts.size() * part_bytes +
           bytes_of( request.demand.tried ) + bytes_of( request.demand.paused );
}

report_memory::report_memory( std::size_t max_bytes )
    : usage_( std::make_shared<usage>() )
{
    usage_->max_bytes = max_bytes;
}

auto report_memory::set_max_bytes( std::size_t bytes ) -> void
{
    usage_->max_bytes = bytes;
}

auto report_memory::take( core::instance_id const& owner, std::size_t bytes )
    -> std::shared_ptr<report_claim>
{
    if ( !has_room( bytes ) )
        make_room( owner, bytes );
    if ( has_room( bytes ) )
        return std::make_shared<report_claim>( usage_, owner, bytes );
    refused_.add();
    return nullptr;
}

auto report_memory::used_bytes() const -> std::size_t
{
    return usage_->used_bytes;
}

auto report_memory::has_room( std::size_t bytes ) const -> bool
{
    return usage_->used_bytes + bytes <= usage_->max_bytes;
}

/// Takes nothing from an instance that has less than `owner` would have.
auto report_memory::make_room( core::instance_id const& owner,
                               std::size_t bytes ) -> void
{
    auto const& all = usage_->by_owner;
    auto const own = all.find( owner );
    auto const wanted = bytes + ( own == all.end() ? 0 : own->second );
    while ( on_gives_way && !has_room( bytes ) && !all.empty() )
    {
        auto const largest =
            std::max_element( all.begin(), all.end(),
                              []( auto const& a, auto const& b )
                              {
                                  return a.second < b.second;
                              } );
        auto const used_before = usage_->used_bytes;
        if ( largest->second <= wanted )
            return;
        gave_way_.add();
        on_gives_way( core::instance_id( largest->first ) );
        if ( usage_->used_bytes >= used_before )
            return;
    }
}

report_claim::report_claim( std::shared_ptr<report_memory::usage> all,
                            core::instance_id owner,
                            std::size_t bytes )
    : all_( std::move( all ) ), owner_( std::move( owner ) ), bytes_( bytes )
{
    all_->used_bytes += bytes_;
    all_->by_owner[owner_] += bytes_;
}

report_claim::~report_claim()
{
    all_->used_bytes -= bytes_;
    auto const own = all_->by_owner.find( owner_ );
    own->second -= bytes_;
    if ( own->second == 0 )
        all_->by_owner.erase( own );
}

}
