#ifndef POLLENSTREAM_ADAPTERS_ASIO_ARRIVING_BODY_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_ARRIVING_BODY_HPP

#include <pollenstream/adapters/asio/http_text.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string>

namespace pollenstream::adapters::asio
{

/// A message body that takes memory only for bytes that have arrived. The
/// string body of Beast reserves the length that the head announces.
struct arriving_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader( http::header<IsRequest, Fields>&, value_type& body )
            : body_( body )
        {
        }
        auto init( boost::optional<std::uint64_t> const& /*announced*/,
                   error_code& ec ) -> void
        {
            ec = {};
        }
        template <class Buffers>
        auto put( Buffers const& buffers, error_code& ec ) -> std::size_t
        {
            ec = {};
            auto size = std::size_t{ 0 };
            for ( auto const part : boost::beast::buffers_range_ref( buffers ) )
            {
                body_.append( static_cast<char const*>( part.data() ),
                              part.size() );
                size += part.size();
            }
            return size;
        }
        auto finish( error_code& ec ) -> void
        {
            ec = {};
        }

    private:
        value_type& body_;
    };
};

}

#endif
