#include <pollenstream/exchange/suspect.hpp>

#include <algorithm>
#include <iterator>

namespace pollenstream::exchange
{

namespace
{

/// Marks the ids of prompt parts. Ids of contents and parts are smaller.
constexpr auto part_flag = std::int64_t{ 1 } << 60U;

}

auto suspect_of( content_id content ) -> suspect_id
{
    return suspect_id( content.count() );
}

auto suspect_of( prompt_part_id part ) -> suspect_id
{
    return suspect_id( part.count() | part_flag );
}

auto suspects_of( content_id content,
                  std::vector<prompt_part_id> const& shared_parts )
    -> suspect_list
{
    auto all = suspect_list{ suspect_of( content ) };
    for ( auto const part : shared_parts )
        all.push_back( suspect_of( part ) );
    std::sort( all.begin(), all.end() );
    all.erase( std::unique( all.begin(), all.end() ), all.end() );
    return all;
}

auto is_prompt_part( suspect_id id ) -> bool
{
    return ( id.count() & part_flag ) != 0;
}

auto prompt_parts_of( suspect_list const& all ) -> suspect_list
{
    auto parts = suspect_list{};
    std::copy_if( all.begin(), all.end(), std::back_inserter( parts ),
                  is_prompt_part );
    return parts;
}

auto contains_all( suspect_list const& all, suspect_list const& some ) -> bool
{
    return std::includes( all.begin(), all.end(), some.begin(), some.end() );
}

auto to_string( suspect_id id ) -> std::string
{
    if ( is_prompt_part( id ) )
        return "part-" + to_string( prompt_part_id( id.count() & ~part_flag ) );
    return to_string( content_id( id.count() ) );
}

auto to_string( suspect_list const& all ) -> std::string
{
    auto text = std::string{};
    for ( auto const id : all )
        text += ( text.empty() ? "" : "," ) + to_string( id );
    return text;
}

}
