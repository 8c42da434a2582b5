#ifndef POLLENSTREAM_ADAPTERS_ASIO_CONNECTION_ACCOUNTS_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CONNECTION_ACCOUNTS_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/memory_budget.hpp>
#include <pollenstream/core/units.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace pollenstream::adapters::asio
{

/// A connection that others may take memory or a descriptor from.
class accounted_connection
{
public:
    virtual ~accounted_connection() = default;
    /// False while a request of the connection is being answered, or its caller
    /// takes the answer.
    [[nodiscard]] virtual auto can_give_way() const -> bool = 0;
    /// Refuses the request that is being received as not run, and releases its
    /// memory.
    virtual auto give_memory_back() -> void = 0;
    /// Closes the connection at once.
    virtual auto give_descriptor_back() -> void = 0;
    /// The caller's address, for logs.
    [[nodiscard]] virtual auto caller() const -> std::string = 0;
};

/// Memory of a connection beside its buffers: its objects and the kernel's.
inline constexpr auto connection_bytes = std::size_t{ 4 } * 1024;
/// The part of the memory that is left to small requests, as a divisor.
inline constexpr auto parts_for_small_requests = std::size_t{ 16 };

/// The resource that was short when a connection gave way or was refused.
enum class scarce_resource
{
    memory,
    descriptors,
};

/// For logs: what happened since the report before.
struct shortage_report
{
    scarce_resource resource{ scarce_resource::memory };
    std::uint64_t refused{ 0 };  ///< connections and requests
    std::uint64_t gave_way{ 0 }; ///< connections
    std::string caller;          ///< the last that gave way
    core::duration idle{ 0 };    ///< how long it had sent next to nothing
};

class connection_account;

/// Counts the descriptors and the memory that the connections at all ports of a
/// process take, with everything that they have received. Where either is used
/// up, the connections give way that have made no progress for the longest time
/// and, for memory, hold the most; those that hold nothing never do for memory.
/// Belongs to the thread of one event loop.
class connection_accounts : public core::memory_reclaimer
{
public:
    using shortage_listener = std::function<void( shortage_report const& )>;

    using steady_clock = std::chrono::steady_clock;
    using clock = std::function<steady_clock::time_point()>;

    /// `memory`: for what callers send, from its first byte until the request
    /// is answered. `max_connections`: at all ports together; fewer if their
    /// own memory were more than half of it.
    connection_accounts( std::shared_ptr<core::memory_budget> memory,
                         std::size_t max_connections,
                         clock now = steady_clock::now );
    ~connection_accounts() override;
    connection_accounts( connection_accounts const& ) = delete;
    auto operator=( connection_accounts const& )
        -> connection_accounts& = delete;

    /// Makes room for one more connection; false if there is none.
    [[nodiscard]] auto admit() -> bool;
    auto reclaim( std::size_t bytes ) -> void override;
    /// A request was refused for want of memory.
    auto note_refused() -> void;
    /// Reports the rest of a shortage that is over; to be called now and then.
    auto report_rest() -> void;

    [[nodiscard]] auto connections() const -> std::size_t
    {
        return accounts_.size();
    }
    [[nodiscard]] auto max_connections() const -> std::size_t
    {
        return max_connections_;
    }
    [[nodiscard]] auto received_bytes() const -> std::size_t
    {
        return memory_->used_bytes();
    }
    /// Connections that were closed, or whose request was refused, for others.
    [[nodiscard]] auto gave_way() const -> std::uint64_t
    {
        return gave_way_.value();
    }
    /// Connections that were closed as they came, and requests that were
    /// refused, as nobody could give way.
    [[nodiscard]] auto refused() const -> std::uint64_t
    {
        return refused_.value();
    }

    /// Called at most once a second.
    shortage_listener on_shortage;

private:
    friend class connection_account;

    auto take_back_reservations( std::size_t bytes ) -> void;
    [[nodiscard]] auto without_progress_longest() const -> connection_account*;
    auto note_gave_way( connection_account const& which,
                        scarce_resource resource ) -> void;
    auto report() -> void;

    std::shared_ptr<core::memory_budget> memory_;
    std::size_t max_connections_;
    clock now_;
    std::set<connection_account*> accounts_;
    connection_account* claiming_{ nullptr };
    core::counter gave_way_;
    core::counter refused_;
    shortage_report unreported_;
    steady_clock::time_point reported_at_{};
};

/// The share of one connection in `connection_accounts`.
class connection_account
{
public:
    using steady_clock = std::chrono::steady_clock;

    /// `all`: null if nothing limits the connection.
    connection_account( std::shared_ptr<connection_accounts> all,
                        accounted_connection& owner );
    ~connection_account();
    connection_account( connection_account const& ) = delete;
    auto operator=( connection_account const& ) -> connection_account& = delete;

    /// The connection holds `bytes` now, or will. Returns false, and counts
    /// what it held before, if there is no memory for more.
    [[nodiscard]] auto hold( std::size_t bytes ) -> bool;
    /// Claims memory for `bytes` in all that are announced. They are taken back
    /// if they do not arrive while others need the memory.
    [[nodiscard]] auto reserve( std::size_t bytes ) -> bool;
    /// The memory of a request that is handed on, which the connection no
    /// longer holds; null if nothing limits it.
    [[nodiscard]] auto take_for_request( std::size_t bytes )
        -> std::shared_ptr<core::memory_claim>;
    /// The connection holds nothing.
    auto release() -> void;
    auto note_received( std::size_t bytes ) -> void;
    /// A request begins or has ended.
    auto note_progress() -> void;
    /// The request was refused for want of memory.
    auto note_refused() -> void;
    /// The connection is closed: it counts no longer.
    auto close() -> void;

private:
    friend class connection_accounts;

    auto claim( std::size_t bytes ) -> bool;
    [[nodiscard]] auto reserved_bytes() const -> std::size_t
    {
        return received_.bytes() - held_bytes_;
    }
    [[nodiscard]] auto idle_at( steady_clock::time_point now ) const
        -> core::duration;

    std::shared_ptr<connection_accounts> all_;
    accounted_connection& owner_;
    core::memory_claim connection_;
    core::memory_claim received_; ///< held and reserved
    std::size_t held_bytes_{ 0 };
    std::size_t bytes_since_progress_{ 0 };
    steady_clock::time_point progress_at_;
};

}

#endif
