#ifndef POLLENSTREAM_CORE_SNAPSHOT_HPP
#define POLLENSTREAM_CORE_SNAPSHOT_HPP

#include <urcu/urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace pollenstream::core
{

/// A value that threads read without locking and that is only replaced as a
/// whole (read-copy-update). Each call of `read` sees a single version.
template <class T>
class snapshot
{
public:
    explicit snapshot( std::unique_ptr<T const> first )
        : current_( first.release() )
    {
    }
    snapshot( snapshot const& ) = delete;
    auto operator=( snapshot const& ) -> snapshot& = delete;
    ~snapshot()
    {
        delete current_.load();
    }

    /// Calls `f` with the current version. `f` must not block, and must not
    /// keep a reference after it returns.
    template <class F>
    auto read( F&& f ) const -> decltype( auto )
    {
        auto const section = read_section{};
        T const* const seen = current_.load( std::memory_order_acquire );
        return std::forward<F>( f )( *seen );
    }

    /// Replaces the value, blocks until no reader uses the former one, and
    /// then deletes the former one.
    auto publish( std::unique_ptr<T const> next ) -> void
    {
        auto const lock = std::scoped_lock( publish_mutex_ );
        T const* const former = current_.exchange( next.release() );
        urcu_bp_synchronize_rcu();
        delete former;
    }

private:
    struct read_section
    {
        read_section()
        {
            urcu_bp_read_lock();
        }
        ~read_section()
        {
            urcu_bp_read_unlock();
        }
    };

    std::mutex publish_mutex_;
    std::atomic<T const*> current_;
};

}

#endif
