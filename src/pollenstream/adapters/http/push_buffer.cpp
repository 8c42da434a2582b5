#include <pollenstream/adapters/http/push_buffer.hpp>

#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using state_manager =
    concurrency::streams::details::streambuf_state_manager<std::uint8_t>;
using traits = concurrency::streams::char_traits<std::uint8_t>;

auto eof_task() -> pplx::task<traits::int_type>
{
    return pplx::task_from_result( traits::eof() );
}

/// A write-only buffer that passes bytes on and stores none.
class push_buffer : public state_manager
{
public:
    explicit push_buffer( std::function<void( std::string_view )> on_bytes )
        : state_manager( std::ios_base::out ),
          on_bytes_( std::move( on_bytes ) )
    {
    }

    auto can_seek() const -> bool override
    {
        return false;
    }
    auto has_size() const -> bool override
    {
        return false;
    }
    auto buffer_size( std::ios_base::openmode ) const -> std::size_t override
    {
        return 0;
    }
    auto set_buffer_size( std::size_t, std::ios_base::openmode )
        -> void override
    {
    }
    auto in_avail() const -> std::size_t override
    {
        return 0;
    }
    auto getpos( std::ios_base::openmode ) const -> pos_type override
    {
        return static_cast<pos_type>( traits::eof() );
    }
    auto size() const -> utility::size64_t override
    {
        return 0;
    }
    auto seekpos( pos_type, std::ios_base::openmode ) -> pos_type override
    {
        return static_cast<pos_type>( traits::eof() );
    }
    auto seekoff( off_type, std::ios_base::seekdir, std::ios_base::openmode )
        -> pos_type override
    {
        return static_cast<pos_type>( traits::eof() );
    }
    auto acquire( std::uint8_t*& bytes, std::size_t& count ) -> bool override
    {
        bytes = nullptr;
        count = 0;
        return false;
    }
    auto release( std::uint8_t*, std::size_t ) -> void override {}

protected:
    auto _scopy( std::uint8_t*, std::size_t ) -> std::size_t override
    {
        return 0;
    }
    auto _putc( std::uint8_t byte ) -> pplx::task<int_type> override
    {
        return push<int_type>( &byte, 1, byte );
    }
    auto _putn( std::uint8_t const* bytes, std::size_t count )
        -> pplx::task<std::size_t> override
    {
        return push( bytes, count, count );
    }
    auto _sync() -> pplx::task<bool> override
    {
        return pplx::task_from_result( true );
    }
    auto _alloc( std::size_t ) -> std::uint8_t* override
    {
        return nullptr;
    }
    auto _commit( std::size_t ) -> void override {}
    auto _bumpc() -> pplx::task<int_type> override
    {
        return eof_task();
    }
    auto _sbumpc() -> int_type override
    {
        return traits::eof();
    }
    auto _getc() -> pplx::task<int_type> override
    {
        return eof_task();
    }
    auto _sgetc() -> int_type override
    {
        return traits::eof();
    }
    auto _nextc() -> pplx::task<int_type> override
    {
        return eof_task();
    }
    auto _ungetc() -> pplx::task<int_type> override
    {
        return eof_task();
    }
    auto _getn( std::uint8_t*, std::size_t ) -> pplx::task<std::size_t> override
    {
        return pplx::task_from_result( std::size_t{ 0 } );
    }

private:
    /// Returns `result`, or a failed task if the receiver throws: the library
    /// calls this from its event loop, which an exception would end together
    /// with the process.
    template <class Result>
    auto push( std::uint8_t const* bytes, std::size_t count, Result result )
        -> pplx::task<Result>
    {
        try
        {
            on_bytes_( { reinterpret_cast<char const*>( bytes ), count } );
            return pplx::task_from_result( result );
        }
        catch ( ... )
        {
            return pplx::task_from_exception<Result>(
                std::current_exception() );
        }
    }

    std::function<void( std::string_view )> on_bytes_;
};

}

auto make_push_stream( std::function<void( std::string_view )> on_bytes )
    -> concurrency::streams::basic_ostream<std::uint8_t>
{
    auto buffer = std::shared_ptr<
        concurrency::streams::details::basic_streambuf<std::uint8_t>>(
        std::make_shared<push_buffer>( std::move( on_bytes ) ) );
    return concurrency::streams::streambuf<std::uint8_t>( buffer )
        .create_ostream();
}

}
