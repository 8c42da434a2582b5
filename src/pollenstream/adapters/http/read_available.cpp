#include <pollenstream/adapters/http/read_available.hpp>

#include <algorithm>

namespace pollenstream::adapters::http
{

auto read_available( concurrency::streams::streambuf<std::uint8_t> from,
                     std::uint8_t* into,
                     std::size_t size ) -> pplx::task<std::size_t>
{
    using traits = concurrency::streams::char_traits<std::uint8_t>;
    return from.getc().then(
        [from, into, size]( traits::int_type first ) mutable
        {
            if ( first == traits::eof() )
                return pplx::task_from_result( std::size_t{ 0 } );
            auto const ready = std::max( std::size_t{ 1 }, from.in_avail() );
            return from.getn( into, std::min( ready, size ) );
        } );
}

}
