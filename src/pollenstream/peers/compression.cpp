#include <pollenstream/peers/compression.hpp>

#include <algorithm>
#include <zlib.h>

namespace pollenstream::peers
{

namespace
{

/// Bytes by which the output buffer grows in each step of decompression.
constexpr auto output_chunk = std::size_t{ 65'536 };

auto as_zlib_bytes( std::string_view text ) -> Bytef const*
{
    return reinterpret_cast<Bytef const*>( text.data() );
}

}

auto compress( std::string_view bytes ) -> std::string
{
    auto compressed = std::string( ::compressBound( bytes.size() ), '\0' );
    auto size = static_cast<uLongf>( compressed.size() );
    // Cannot fail: `compressBound` is the largest size of the output.
    ::compress2( reinterpret_cast<Bytef*>( compressed.data() ), &size,
                 as_zlib_bytes( bytes ), bytes.size(), Z_BEST_SPEED );
    compressed.resize( size );
    return compressed;
}

auto decompress( std::string_view bytes, std::size_t max_bytes )
    -> core::result<std::string>
{
    auto stream = z_stream{};
    if ( ::inflateInit( &stream ) != Z_OK )
        return core::error{ core::error_code::failed, "zlib" };
    stream.next_in = const_cast<Bytef*>( as_zlib_bytes( bytes ) );
    stream.avail_in = static_cast<uInt>( bytes.size() );
    auto text = std::string{};
    auto status = Z_OK;
    while ( status == Z_OK && text.size() <= max_bytes )
    {
        auto const offset = text.size();
        text.resize( offset + output_chunk );
        stream.next_out = reinterpret_cast<Bytef*>( text.data() + offset );
        stream.avail_out = static_cast<uInt>( output_chunk );
        status = ::inflate( &stream, Z_NO_FLUSH );
        text.resize( offset + output_chunk - stream.avail_out );
    }
    ::inflateEnd( &stream );
    if ( text.size() > max_bytes )
        return core::error{ core::error_code::too_large, "decompressed data" };
    if ( status != Z_STREAM_END )
        return core::error{ core::error_code::malformed, "compressed data" };
    return text;
}

}
