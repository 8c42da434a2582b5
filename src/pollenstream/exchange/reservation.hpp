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

/// Memory to be held at one target.
struct reservation_place
{
    core::target_id target;
    core::address address;
    std::int64_t tokens{ 0 };
};

/// Calls that set memory aside at targets and give it back.
class reservation_caller
{
public:
    using done = std::function<void( core::result<void> )>;

    virtual ~reservation_caller() = default;
    /// Holds memory under `id` for `hold`, counted from its arrival; a second
    /// call with the same id renews it. Error `conflict`: no room.
    virtual auto reserve( reservation_place const& place,
                          core::reservation_id const& id,
                          core::duration hold,
                          done callback ) -> void = 0;
    virtual auto release( reservation_place const& place,
                          core::reservation_id const& id,
                          done callback ) -> void = 0;
};

/// Memory of one request at several targets: all of it or none. It is given
/// back on every way out; what cannot be given back expires with its hold.
class reservation_group : public std::enable_shared_from_this<reservation_group>
{
public:
    using ready = std::function<void( core::result<void> )>;

    reservation_group( reservation_caller& caller,
                       ports::scheduler& scheduler,
                       core::reservation_id id,
                       std::vector<reservation_place> places,
                       core::duration longest_hold );

    /// Calls `callback` once: with success when all targets hold.
    auto start( ready callback ) -> void;
    /// Gives everything back. May be called at any time, and more than once.
    auto release() -> void;

    [[nodiscard]] auto id() const -> core::reservation_id const&
    {
        return id_;
    }

private:
    auto on_reserved( core::result<void> const& status ) -> void;
    auto renew() -> void;
    auto renew_at( std::size_t index, int tries ) -> void;
    /// What follows an order that failed: `again` with one try less.
    auto retry( void ( reservation_group::*again )( std::size_t, int ),
                std::size_t index,
                int tries,
                core::duration pause ) -> reservation_caller::done;
    /// Calls after `pause`; the call keeps the group.
    auto call_later( core::duration pause, std::function<void()> callback )
        -> void;
    auto release_at( std::size_t index, int tries ) -> void;

    reservation_caller& caller_;
    ports::scheduler& scheduler_;
    core::reservation_id id_;
    std::vector<reservation_place> places_;
    core::duration hold_;
    ready callback_;
    std::size_t pending_{ 0 };
    std::unique_ptr<ports::scheduled_call> renewal_;
    bool released_{ false };
};

}

#endif
