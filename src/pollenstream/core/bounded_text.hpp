#ifndef POLLENSTREAM_CORE_BOUNDED_TEXT_HPP
#define POLLENSTREAM_CORE_BOUNDED_TEXT_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace pollenstream::core
{

/// Bytes that several readers, which share it, may keep in memory together.
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

/// Text that is received piece by piece. Its memory grows with what has been
/// received, never with what was announced, and comes from a budget.
class bounded_text
{
public:
    bounded_text( std::shared_ptr<memory_budget> budget, std::size_t max_bytes )
        : budget_( std::move( budget ) ), max_bytes_( max_bytes )
    {
    }
    ~bounded_text()
    {
        clear();
    }
    bounded_text( bounded_text&& other ) noexcept
        : budget_( std::move( other.budget_ ) ), max_bytes_( other.max_bytes_ ),
          text_( std::exchange( other.text_, {} ) )
    {
    }
    auto operator=( bounded_text&& other ) noexcept -> bounded_text&
    {
        if ( this == &other )
            return *this;
        clear();
        budget_ = std::move( other.budget_ );
        max_bytes_ = other.max_bytes_;
        text_ = std::exchange( other.text_, {} );
        return *this;
    }
    bounded_text( bounded_text const& ) = delete;
    auto operator=( bounded_text const& ) -> bounded_text& = delete;

    /// Returns false, and appends nothing, if the text would exceed its maximum
    /// or the budget.
    auto append( std::string_view bytes ) -> bool
    {
        if ( bytes.size() > max_bytes_ - text_.size() ||
             !budget_->take( bytes.size() ) )
            return false;
        text_ += bytes;
        return true;
    }
    /// Moves the text out and returns its bytes to the budget.
    [[nodiscard]] auto release() -> std::string
    {
        auto released = std::exchange( text_, {} );
        if ( !released.empty() )
            budget_->give_back( released.size() );
        return released;
    }
    [[nodiscard]] auto max_bytes() const -> std::size_t
    {
        return max_bytes_;
    }

private:
    /// A text that has been moved from is empty and has no budget.
    auto clear() -> void
    {
        if ( text_.empty() )
            return;
        budget_->give_back( text_.size() );
        text_.clear();
    }

    std::shared_ptr<memory_budget> budget_;
    std::size_t max_bytes_;
    std::string text_;
};

}

#endif
