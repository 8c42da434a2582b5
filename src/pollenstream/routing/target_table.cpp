#include <pollenstream/routing/target_table.hpp>

#include <utility>

namespace pollenstream::routing
{

target_table::target_table() : lists_( std::make_unique<by_service const>() ) {}

auto target_table::empty_list() -> target_list const&
{
    static auto const list = target_list{};
    return list;
}

auto target_table::replace( std::vector<target_identity> const& present,
                            core::instant now ) -> void
{
    auto const lock = std::scoped_lock( replace_mutex_ );
    auto former =
        std::unordered_map<core::target_id, std::shared_ptr<target>>{};
    for ( auto const& each : all() )
        former.emplace( each->identity().id, each );
    auto next = std::make_unique<by_service>();
    for ( auto const& identity : present )
    {
        auto const known = former.find( identity.id );
        auto const same = known != former.end() &&
                          known->second->identity().address == identity.address;
        auto kept = same ? known->second : std::make_shared<target>( identity );
        if ( same )
            former.erase( known );
        ( *next )[identity.service].push_back( std::move( kept ) );
    }
    lists_.publish( std::move( next ) );
    for ( auto const& [id, missing] : former )
        missing->set_phase( target_phase::gone, now );
}

auto target_table::find( core::target_id const& id ) const
    -> std::shared_ptr<target>
{
    for ( auto const& each : all() )
    {
        if ( each->identity().id == id )
            return each;
    }
    return nullptr;
}

auto target_table::all() const -> target_list
{
    return lists_.read(
        []( by_service const& lists )
        {
            auto every = target_list{};
            for ( auto const& [service, list] : lists )
                every.insert( every.end(), list.begin(), list.end() );
            return every;
        } );
}

}
