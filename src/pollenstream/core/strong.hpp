#ifndef POLLENSTREAM_CORE_STRONG_HPP
#define POLLENSTREAM_CORE_STRONG_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace pollenstream::core
{

/// A string identifier with a type of its own for each `Tag`, so that different
/// kinds do not convert to each other. `Tag` may be incomplete.
template <class Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id( std::string value ) : value_( std::move( value ) ) {}

    [[nodiscard]] auto str() const noexcept -> std::string const&
    {
        return value_;
    }
    [[nodiscard]] auto empty() const noexcept -> bool
    {
        return value_.empty();
    }

    friend auto operator<=>( strong_id const&, strong_id const& ) = default;
    friend auto operator==( strong_id const&, strong_id const& )
        -> bool = default;

private:
    std::string value_;
};

/// An integer with a type of its own for each `Tag`, so that different kinds do
/// not convert to each other. `Tag` may be incomplete.
template <class Tag>
class strong_number
{
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number( std::int64_t value ) noexcept
        : value_( value )
    {
    }

    [[nodiscard]] constexpr auto count() const noexcept -> std::int64_t
    {
        return value_;
    }

    friend constexpr auto operator<=>( strong_number, strong_number ) = default;
    friend constexpr auto operator==( strong_number, strong_number )
        -> bool = default;
    friend constexpr auto operator+( strong_number a, strong_number b ) noexcept
        -> strong_number
    {
        return strong_number( a.value_ + b.value_ );
    }
    friend constexpr auto operator-( strong_number a, strong_number b ) noexcept
        -> strong_number
    {
        return strong_number( a.value_ - b.value_ );
    }
    constexpr auto operator+=( strong_number other ) noexcept -> strong_number&
    {
        value_ += other.value_;
        return *this;
    }
    constexpr auto operator-=( strong_number other ) noexcept -> strong_number&
    {
        value_ -= other.value_;
        return *this;
    }

private:
    std::int64_t value_{ 0 };
};

}

template <class Tag>
struct std::hash<pollenstream::core::strong_id<Tag>>
{
    auto
    operator()( pollenstream::core::strong_id<Tag> const& id ) const noexcept
        -> std::size_t
    {
        return std::hash<std::string>{}( id.str() );
    }
};

template <class Tag>
struct std::hash<pollenstream::core::strong_number<Tag>>
{
    auto operator()( pollenstream::core::strong_number<Tag> n ) const noexcept
        -> std::size_t
    {
        return std::hash<std::int64_t>{}( n.count() );
    }
};

#endif
