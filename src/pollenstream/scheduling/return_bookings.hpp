#ifndef POLLENSTREAM_SCHEDULING_RETURN_BOOKINGS_HPP
#define POLLENSTREAM_SCHEDULING_RETURN_BOOKINGS_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace pollenstream::scheduling
{

/// Engine time that is booked for the return of a refused caller.
struct booking
{
    core::content_id content;
    core::service_id service;
    core::instant at; ///< when capacity for the prefill is expected
    core::duration prefill{ 0 };
    /// Lower values go first. A booking made by another coordinator has the
    /// default, as its priority is not known here.
    int priority{ std::numeric_limits<int>::min() };
};

/// A prompt that is refused because no engine has capacity for it.
struct refused_prompt
{
    core::content_id content;
    core::service_id service;
    int priority{ 0 };               ///< lower values go first
    core::duration prefill{ 0 };     ///< on one engine
    core::duration first_event{ 0 }; ///< from the start of its prefill, at best
    core::duration time_left{ 0 };   ///< until its caller's time ends
    /// Minimum time until it is booked: a prompt that needs several engines at
    /// one moment has to wait until they have finished their present parts.
    core::duration earliest{ 0 };
};

/// The prefill capacity of a service.
struct prefill_capacity
{
    std::int64_t engines{ 0 }; ///< that accept work
    /// Prefill that is open at them or waits before the refused prompt.
    core::duration ahead{ 0 };
};

/// How a request relates to the booking for its content.
enum class return_kind : std::uint8_t
{
    none,     ///< there is no booking
    repeated, ///< it is the refused attempt, whose answer was lost
    early,    ///< the caller returns before its booked time
    on_time,  ///< the caller returns when it was told to
};

/// A request whose content may be booked.
struct caller_return
{
    return_kind kind{ return_kind::none };
    core::instant booked_at; ///< unless `kind` is `none`
};

/// Counts of what became of the bookings that this coordinator made, and of
/// the returns that it decided.
struct booking_counters
{
    core::counter made;
    core::counter kept;    ///< the caller returned on time
    core::counter early;   ///< requests of callers before their booked time
    core::counter lapsed;  ///< the caller did not return in time
    core::counter dropped; ///< evicted, or not needed any more
};

/// Books engine time for callers that are refused for lack of capacity, and
/// recognises them by their content when they return.
///
/// Load: more long prompts than can be served in time. With the same
/// Retry-After for all, callers return together, find the capacity taken by
/// requests that arrived later, and are refused again.
///
/// The capacity of a service is modelled as one queue that is served at the
/// rate of all its engines that accept work. A booking does not withhold an
/// engine from other requests; it gives the returning caller a place before
/// requests that arrive later. It can be lost at any time, which costs its
/// caller only that place.
///
/// Not thread-safe.
class return_bookings
{
public:
    /// Maximum number of bookings; the oldest are evicted.
    static constexpr auto max_bookings = std::size_t{ 4'096 };

    /// Books a time for `refused`, or returns the booking that it has and that
    /// is not due yet. Returns nothing where the caller would not honour the
    /// time, or could not be served from then on.
    auto book( refused_prompt const& refused,
               prefill_capacity const& capacity,
               core::instant now ) -> std::optional<booking>;
    /// Looks up the booking for a request that arrived at `arrived`. An
    /// on-time booking is taken: it is out of use until it is released, and
    /// does not lapse.
    auto take( core::content_id content,
               core::service_id const& service,
               core::instant arrived,
               core::instant now ) -> caller_return;
    /// The request that has taken the booking is withdrawn undecided.
    auto release( core::content_id content ) -> void;
    /// The request for the content is decided. Returns true if it had a
    /// booking.
    auto close( core::content_id content ) -> bool;

    /// Adds a booking of another coordinator, which replaces an own one.
    auto add( booking const& other, core::instant now ) -> void;
    /// Another coordinator has ended the booking. One that is taken here stays.
    auto remove( core::content_id content ) -> void;

    /// Number of bookings that have not lapsed.
    [[nodiscard]] auto size( core::instant now ) const -> std::size_t;
    /// The earliest booked time that is still to come.
    [[nodiscard]] auto next( core::instant now ) const
        -> std::optional<core::instant>;
    [[nodiscard]] auto counters() const -> booking_counters const&
    {
        return counters_;
    }

private:
    struct entry
    {
        booking what;
        core::instant made;
        std::uint64_t serial{ 0 }; ///< in the order in which they were made
        bool is_own{ false };      ///< made by this coordinator
        bool is_taken{ false };    ///< its caller has returned
    };
    using entry_map = std::map<core::content_id, entry>;
    /// Sums of the prefill that is booked and not taken, by service and
    /// priority.
    using prefill_sums =
        std::map<std::pair<core::service_id, int>, core::duration>;

    [[nodiscard]] auto booked_before( refused_prompt const& refused ) const
        -> core::duration;
    auto insert( booking what, bool is_own, core::instant now ) -> void;
    auto erase( entry_map::iterator at ) -> void;
    auto add_prefill( booking const& what, core::duration change ) -> void;
    auto drop_lapsed( core::instant now ) -> void;
    auto evict_oldest() -> void;

    entry_map entries_;
    std::map<std::uint64_t, core::content_id> by_serial_;
    /// Bookings that are not taken, by time.
    std::set<std::pair<core::instant, core::content_id>> by_time_;
    prefill_sums prefill_;
    std::uint64_t last_serial_{ 0 };
    booking_counters counters_;
};

/// Receives the bookings that a coordinator makes and ends, to tell the other
/// coordinators.
class booking_announcer
{
public:
    virtual ~booking_announcer() = default;
    virtual auto booked( booking const& what ) -> void = 0;
    virtual auto unbooked( core::content_id content ) -> void = 0;
};

}

#endif
