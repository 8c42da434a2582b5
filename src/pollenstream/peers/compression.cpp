#include <pollenstream/peers/compression.hpp>

#include <algorithm>
#include <zlib.h>

namespace pollenstream::peers
{

namespace
{

/// Bytes by which an unpacked text grows at a time.
constexpr auto growth = std::size_t{ 65'536 };

auto bytes_of( std::string_view text ) -> Bytef const*
{
    return reinterpret_cast<Bytef const*>( text.data() );
}

}

auto compress( std::string_view bytes ) -> std::string
{
    auto packed = std::string( ::compressBound( bytes.size() ), '\0' );
    auto size = static_cast<uLongf>( packed.size() );
    // The buffer has the size that zlib asks for, so that this cannot fail.
    ::compress2( reinterpret_cast<Bytef*>( packed.data() ), &size,
                 bytes_of( bytes ), bytes.size(), Z_BEST_SPEED );
    packed.resize( size );
    return packed;
}

auto decompress( std::string_view bytes, std::size_t most )
    -> core::result<std::string>
{
    auto stream = z_stream{};
    if ( ::inflateInit( &stream ) != Z_OK )
        return core::error{ core::error_code::failed, "zlib" };
    stream.next_in = const_cast<Bytef*>( bytes_of( bytes ) );
    stream.avail_in = static_cast<uInt>( bytes.size() );
    auto text = std::string{};
    auto status = Z_OK;
    while ( status == Z_OK && text.size() <= most )
    {
        auto const from = text.size();
        text.resize( from + growth );
        stream.next_out = reinterpret_cast<Bytef*>( text.data() + from );
        stream.avail_out = static_cast<uInt>( growth );
        status = ::inflate( &stream, Z_NO_FLUSH );
        text.resize( from + growth - stream.avail_out );
    }
    ::inflateEnd( &stream );
    if ( text.size() > most )
        return core::error{ core::error_code::too_large, "packed text" };
    if ( status != Z_STREAM_END )
        return core::error{ core::error_code::malformed, "packed text" };
    return text;
}

}
