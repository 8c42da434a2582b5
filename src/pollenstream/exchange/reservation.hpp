#ifndef POLLENSTREAM_EXCHANGE_RESERVATION_HPP
#define POLLENSTREAM_EXCHANGE_RESERVATION_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// Memory to reserve at one target.
struct target_memory
{
    core::target_id target;
    core::address address;
    std::int64_t tokens{ 0 };
};

/// Client for the targets' calls that reserve and release memory.
class reservation_client
{
public:
    using done = std::function<void( core::result<void> )>;

    virtual ~reservation_client() = default;
    /// Reserves memory under `id` for `hold`, counted from the arrival of the
    /// call. A further call with the same id renews the reservation. The error
    /// is `conflict` if the target lacks the memory.
    virtual auto reserve( target_memory const& memory,
                          core::reservation_id const& id,
                          core::duration hold,
                          done callback ) -> void = 0;
    virtual auto release( target_memory const& memory,
                          core::reservation_id const& id,
                          done callback ) -> void = 0;
};

/// Memory of one request at several targets, reserved at all of them or none.
/// Reservations are renewed until `release`, which every end of a request
/// calls; one that cannot be released expires when its hold time ends.
///
/// Memory that its request does not come to use is released after a while: a
/// target that hangs answers these calls and never begins with the request.
///
/// A target may carry out a call that it has not answered seconds later, after
/// newer calls. Where such a call would reserve memory, the release is repeated
/// until it can no longer come.
class reservation_group : public std::enable_shared_from_this<reservation_group>
{
public:
    using ready_callback = std::function<void( core::result<void> )>;
    using expired_callback = std::function<void( core::target_id const& )>;

    /// `max_unused`: time after which memory is released that is not known to
    /// be used; counted from the last reservation.
    reservation_group( reservation_client& client,
                       ports::scheduler& scheduler,
                       core::reservation_id id,
                       std::vector<target_memory> targets,
                       core::duration max_hold,
                       core::duration max_unused = core::duration::max() );

    /// Reserves the memory. Calls `ready` once: with success when all targets
    /// have reserved, or with the first error. Calls `expired` at most once,
    /// later, with a target that must have dropped the memory because no
    /// renewal has reached it in time, or with the first target if the memory
    /// was not used in time; all memory has been released by then. Calls
    /// neither after `release`.
    auto start( ready_callback ready, expired_callback expired ) -> void;
    /// The request has begun to use the memory.
    auto note_used() -> void;
    /// Releases the memory at all targets. May be called at any time and more
    /// than once.
    auto release() -> void;

    [[nodiscard]] auto id() const -> core::reservation_id const&
    {
        return id_;
    }

private:
    /// A reservation and the time at which it ends unless it is renewed.
    struct held_memory
    {
        target_memory memory;
        /// The latest time at which the target may still hold the memory.
        core::instant held_until;
        /// The latest time at which the target may still carry out a call that
        /// reserves or renews and that it has not answered.
        core::instant late_call_until;
        bool is_released_again{ false }; ///< the release is being repeated
    };

    auto on_reserved( std::size_t index, core::result<void> const& status )
        -> void;
    auto reserve_at( std::size_t index, reservation_client::done callback )
        -> void;
    auto note_held( std::size_t index ) -> void;
    auto note_unanswered( std::size_t index, core::instant sent_at ) -> void;
    auto arm_expiry_timer() -> void;
    auto on_expiry_timer() -> void;
    auto arm_unused_timer() -> void;
    auto expire( core::target_id const& target ) -> void;
    auto renew() -> void;
    auto renew_at( std::size_t index, int attempts ) -> void;
    /// Returns a callback that, if the call failed, calls `again` after
    /// `delay` with one attempt less.
    auto retry( void ( reservation_group::*again )( std::size_t, int ),
                std::size_t index,
                int attempts,
                core::duration delay ) -> reservation_client::done;
    /// Calls `callback` after `delay`; keeps the group alive until then.
    auto call_later( core::duration delay, std::function<void()> callback )
        -> void;
    auto release_at( std::size_t index, int attempts ) -> void;
    /// Repeats the release as long as a late call may reserve the memory again.
    auto release_again( std::size_t index ) -> void;
    auto on_release_due( std::size_t index ) -> void;

    reservation_client& client_;
    ports::scheduler& scheduler_;
    core::reservation_id id_;
    std::vector<held_memory> targets_;
    core::duration hold_;
    core::duration max_unused_;
    ready_callback ready_;
    expired_callback expired_;
    std::size_t pending_{ 0 };
    std::unique_ptr<ports::scheduled_call> renewal_;
    std::unique_ptr<ports::scheduled_call> expiry_;
    std::unique_ptr<ports::scheduled_call> unused_;
    bool released_{ false };
};

}

#endif
