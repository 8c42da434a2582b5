#ifndef POLLENSTREAM_CORE_SHARED_LIMIT_HPP
#define POLLENSTREAM_CORE_SHARED_LIMIT_HPP

#include <atomic>
#include <cstddef>

namespace pollenstream::core
{

/// Bytes that holders on any threads may keep in memory together.
class shared_limit
{
public:
    explicit shared_limit( std::size_t max_bytes ) : max_bytes_( max_bytes ) {}
    shared_limit( shared_limit const& ) = delete;
    auto operator=( shared_limit const& ) -> shared_limit& = delete;

    auto set_max( std::size_t max_bytes ) -> void
    {
        max_bytes_.store( max_bytes );
    }
    /// Returns false, and takes nothing, if fewer than `bytes` are left.
    [[nodiscard]] auto take( std::size_t bytes ) -> bool
    {
        if ( used_bytes_.fetch_add( bytes ) + bytes <= max_bytes_.load() )
            return true;
        give_back( bytes );
        return false;
    }
    auto give_back( std::size_t bytes ) -> void
    {
        used_bytes_.fetch_sub( bytes );
    }
    [[nodiscard]] auto used_bytes() const -> std::size_t
    {
        return used_bytes_.load();
    }

private:
    std::atomic<std::size_t> max_bytes_;
    std::atomic<std::size_t> used_bytes_{ 0 };
};

}

#endif
