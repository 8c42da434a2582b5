#ifndef POLLENSTREAM_CORE_MEMORY_BUDGET_HPP
#define POLLENSTREAM_CORE_MEMORY_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace pollenstream::core
{

/// Gives memory back to a budget that is used up.
class memory_reclaimer
{
public:
    virtual ~memory_reclaimer() = default;
    /// Gives back at least `bytes`, or what can be spared.
    virtual auto reclaim( std::size_t bytes ) -> void = 0;
};

/// Bytes that several holders, which share the budget, may keep in memory
/// together.
class memory_budget
{
public:
    explicit memory_budget( std::size_t max_bytes ) : max_bytes_( max_bytes ) {}
    memory_budget( memory_budget const& ) = delete;
    auto operator=( memory_budget const& ) -> memory_budget& = delete;

    /// Asked before bytes are refused; null: nobody. Must outlive its use here.
    auto set_reclaimer( memory_reclaimer* reclaimer ) -> void
    {
        reclaimer_ = reclaimer;
    }
    /// Returns false, and takes nothing, if fewer than `bytes` are left, or
    /// fewer than `kept_bytes` would be afterwards.
    auto take( std::size_t bytes, std::size_t kept_bytes = 0 ) -> bool
    {
        make_room( bytes + kept_bytes );
        if ( bytes + kept_bytes > left_bytes() )
            return false;
        used_bytes_ += bytes;
        return true;
    }
    /// Takes `bytes` even if fewer are left, for what cannot be refused. The
    /// budget then refuses others until enough is given back.
    auto take_in_any_case( std::size_t bytes ) -> void
    {
        make_room( bytes );
        used_bytes_ += bytes;
    }
    auto give_back( std::size_t bytes ) -> void
    {
        used_bytes_ -= bytes;
    }
    [[nodiscard]] auto max_bytes() const -> std::size_t
    {
        return max_bytes_;
    }
    [[nodiscard]] auto used_bytes() const -> std::size_t
    {
        return used_bytes_;
    }
    [[nodiscard]] auto left_bytes() const -> std::size_t
    {
        return max_bytes_ - std::min( used_bytes_, max_bytes_ );
    }

private:
    auto make_room( std::size_t bytes ) -> void
    {
        if ( reclaimer_ != nullptr && bytes > left_bytes() )
            reclaimer_->reclaim( bytes - left_bytes() );
    }

    std::size_t max_bytes_;
    std::size_t used_bytes_{ 0 };
    memory_reclaimer* reclaimer_{ nullptr };
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

    /// Returns false, and claims nothing more, if fewer than `bytes` are left,
    /// or fewer than `kept_bytes` would be afterwards.
    auto grow( std::size_t bytes, std::size_t kept_bytes = 0 ) -> bool
    {
        if ( !budget_->take( bytes, kept_bytes ) )
            return false;
        claimed_bytes_ += bytes;
        return true;
    }
    /// Claims what is missing to `bytes`, if anything.
    auto grow_to( std::size_t bytes, std::size_t kept_bytes = 0 ) -> bool
    {
        return bytes <= claimed_bytes_ ||
               grow( bytes - claimed_bytes_, kept_bytes );
    }
    /// Claims `bytes` more even if fewer are left.
    auto grow_in_any_case( std::size_t bytes ) -> void
    {
        budget_->take_in_any_case( bytes );
        claimed_bytes_ += bytes;
    }
    /// Claims `bytes` in all, even if fewer are left, and gives back the rest.
    auto resize( std::size_t bytes ) -> void
    {
        if ( bytes > claimed_bytes_ )
            return grow_in_any_case( bytes - claimed_bytes_ );
        budget_->give_back( claimed_bytes_ - bytes );
        claimed_bytes_ = bytes;
    }
    /// Moves `bytes`, or all if there are fewer, to a claim of their own.
    [[nodiscard]] auto split( std::size_t bytes ) -> memory_claim
    {
        auto taken = memory_claim( budget_ );
        taken.claimed_bytes_ = std::min( bytes, claimed_bytes_ );
        claimed_bytes_ -= taken.claimed_bytes_;
        return taken;
    }
    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return claimed_bytes_;
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
