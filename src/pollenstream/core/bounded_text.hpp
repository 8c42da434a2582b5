#ifndef POLLENSTREAM_CORE_BOUNDED_TEXT_HPP
#define POLLENSTREAM_CORE_BOUNDED_TEXT_HPP

#include <pollenstream/core/memory_budget.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace pollenstream::core
{

/// Text that is received piece by piece. Its memory grows with what has been
/// received, never with what was announced, and comes from a budget.
class bounded_text
{
public:
    bounded_text( std::shared_ptr<memory_budget> budget, std::size_t max_bytes )
        : memory_( std::move( budget ) ), max_bytes_( max_bytes )
    {
    }

    /// Returns false, and appends nothing, if the text would exceed its maximum
    /// or the budget.
    auto append( std::string_view bytes ) -> bool
    {
        if ( bytes.size() > max_bytes_ - text_.size() ||
             !memory_.grow( bytes.size() ) )
            return false;
        text_ += bytes;
        return true;
    }
    /// Appends `bytes` even if they exceed the budget. Returns false, and
    /// appends nothing, if the text would exceed its maximum.
    auto append_beyond_budget( std::string_view bytes ) -> bool
    {
        if ( bytes.size() > max_bytes_ - text_.size() )
            return false;
        memory_.grow_in_any_case( bytes.size() );
        text_ += bytes;
        return true;
    }
    /// Moves the text out and returns its bytes to the budget.
    [[nodiscard]] auto release() -> std::string
    {
        memory_.give_back();
        return std::exchange( text_, {} );
    }
    [[nodiscard]] auto empty() const -> bool
    {
        return text_.empty();
    }
    [[nodiscard]] auto max_bytes() const -> std::size_t
    {
        return max_bytes_;
    }

private:
    memory_claim memory_;
    std::size_t max_bytes_;
    std::string text_;
};

}

#endif
