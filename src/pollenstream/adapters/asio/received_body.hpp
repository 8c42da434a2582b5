#ifndef POLLENSTREAM_ADAPTERS_ASIO_RECEIVED_BODY_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_RECEIVED_BODY_HPP

#include <pollenstream/adapters/asio/http_text.hpp>
#include <pollenstream/adapters/asio/prelude.hpp>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace pollenstream::adapters::asio
{

/// Text that asks for memory before it grows, if it was told whom.
class counted_text
{
public:
    /// Returns false if the text may not take so many bytes in all.
    using permission = std::function<bool( std::size_t bytes )>;

    auto ask_before_growing( permission may_take ) -> void
    {
        may_take_ = std::move( may_take );
    }
    /// The size that the text will have. It then never takes more, and takes
    /// nothing before it has bytes.
    auto expect( std::size_t bytes ) -> void
    {
        expected_bytes_ = bytes;
    }
    /// Returns false, and appends nothing, if there is no memory.
    auto append( std::string_view bytes ) -> bool
    {
        if ( !make_room( text_.size() + bytes.size() ) )
            return false;
        text_.append( bytes );
        return true;
    }
    [[nodiscard]] auto capacity() const -> std::size_t
    {
        return text_.empty() ? 0 : text_.capacity();
    }
    auto release() -> std::string
    {
        return std::exchange( text_, {} );
    }

private:
    [[nodiscard]] auto may_take( std::size_t bytes ) const -> bool
    {
        return !may_take_ || may_take_( bytes );
    }

    auto make_room( std::size_t bytes ) -> bool
    {
        if ( bytes <= text_.capacity() )
            return true;
        auto capacity = bytes + text_.size() / 2;
        if ( bytes <= expected_bytes_ )
            capacity = std::min( capacity, expected_bytes_ );
        if ( !may_take( capacity ) )
            capacity = bytes;
        if ( !may_take( capacity ) )
            return false;
        // `reserve` of a text with bytes may take more than it is asked to.
        auto grown = std::string{};
        grown.reserve( capacity );
        grown.append( text_ );
        text_.swap( grown );
        return true;
    }

    std::string text_;
    std::size_t expected_bytes_{ 0 }; ///< 0: not known
    permission may_take_;
};

/// A message body that takes memory only for bytes that have arrived. The
/// string body of Beast reserves the length that the head announces.
struct received_body
{
    using value_type = counted_text;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader( http::header<IsRequest, Fields>&, value_type& body )
            : body_( body )
        {
        }
        auto init( boost::optional<std::uint64_t> const& announced,
                   error_code& ec ) -> void
        {
            body_.expect( static_cast<std::size_t>( announced.value_or( 0 ) ) );
            ec = {};
        }
        template <class Buffers>
        auto put( Buffers const& buffers, error_code& ec ) -> std::size_t
        {
            ec = {};
            auto size = std::size_t{ 0 };
            for ( auto const part : boost::beast::buffers_range_ref( buffers ) )
            {
                auto const bytes = std::string_view(
                    static_cast<char const*>( part.data() ), part.size() );
                if ( !body_.append( bytes ) )
                {
                    ec = net::error::no_memory;
                    return size;
                }
                size += bytes.size();
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
