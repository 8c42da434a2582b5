#ifndef POLLENSTREAM_CORE_MEMORY_BUDGET_HPP
#define POLLENSTREAM_CORE_MEMORY_BUDGET_HPP

#include <cstddef>
#include <memory>
#include <utility>

namespace pollenstream::core
{

/// Bytes that several holders, which share the budget, may keep in memory
/// together.
class memory_budget
{
public:
    explicit memory_budget( std::size_t max_bytes ) : max_bytes_( max_bytes ) {}
    memory_budget( memory_budget const& ) = delete;
    auto operator=( memory_budget const& ) -> memory_budget& = delete;

    /// Returns false, and takes nothing, if fewer than `bytes` are left.
    auto take( std::size_t bytes ) -> bool
    {
        if ( bytes > max_bytes_ - used_bytes_ )
            return false;
        used_bytes_ += bytes;
        return true;
    }
    auto give_back( std::size_t bytes ) -> void
    {
        used_bytes_ -= bytes;
    }
    [[nodiscard]] auto used_bytes() const -> std::size_t
    {
        return used_bytes_;
    }

private:
    std::size_t max_bytes_;
    std::size_t used_bytes_{ 0 };
};

/// The bytes that one holder has taken from a budget. They return to it at the
/// end of the claim. One that has been moved from is empty and cannot grow.
class memory_claim
{
public:
    explicit memory_claim( std::shared_ptr<memory_budget> budget )
        : budget_( std::move( budget ) )
    {
    }
    ~memory_claim()
    {
        give_back();
    }
    memory_claim( memory_claim&& other ) noexcept
        : budget_( std::move( other.budget_ ) ),
          claimed_bytes_( std::exchange( other.claimed_bytes_, 0 ) )
    {
    }
    auto operator=( memory_claim&& other ) noexcept -> memory_claim&
    {
        if ( this == &other )
            return *this;
        give_back();
        budget_ = std::move( other.budget_ );
        claimed_bytes_ = std::exchange( other.claimed_bytes_, 0 );
        return *this;
    }
    memory_claim( memory_claim const& ) = delete;
    auto operator=( memory_claim const& ) -> memory_claim& = delete;

    /// Returns false, and claims nothing more, if fewer than `bytes` are left.
    auto grow( std::size_t bytes ) -> bool
    {
        if ( !budget_->take( bytes ) )
            return false;
        claimed_bytes_ += bytes;
        return true;
    }
    /// Claims what is missing to `bytes`, if anything.
    auto grow_to( std::size_t bytes ) -> bool
    {
        return bytes <= claimed_bytes_ || grow( bytes - claimed_bytes_ );
    }
    auto give_back() -> void
    {
        if ( claimed_bytes_ > 0 )
            budget_->give_back( std::exchange( claimed_bytes_, 0 ) );
    }

private:
    std::shared_ptr<memory_budget> budget_;
    std::size_t claimed_bytes_{ 0 };
};

}

#endif
