#ifndef POLLENSTREAM_EXCHANGE_WIDE_QUEUE_HPP
#define POLLENSTREAM_EXCHANGE_WIDE_QUEUE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace pollenstream::exchange
{

/// Wide prompts that wait at one instance. A prompt is wide where it is read by
/// several engines at once.
struct wide_waiting
{
    std::int64_t count{ 0 };
    /// When the first of those that are still in time has to have its first
    /// event; none where all are late.
    std::optional<core::instant> first_due;
};

/// Whose turn it is to take engines for a wide prompt, over all instances.
///
/// When engines come free, every instance hears of it at the same moment. If
/// all that wait chose then, they would choose the same engines, and an engine
/// reads what came last first: the earlier ones would starve. So the prompt
/// that is due first goes first, and the others draw lots, so that about one of
/// them tries in the time in which its choice becomes known.
///
/// Used by one thread.
class wide_queue
{
public:
    /// A wide prompt of this instance waits, or does not wait any more.
    auto enter( core::instant due ) -> void;
    auto leave( core::instant due ) -> void;

    /// Takes over what another instance tells of its own.
    auto note( core::instance_id const& id, wide_waiting const& what ) -> void;
    auto forget( core::instance_id const& id ) -> void;

    [[nodiscard]] auto own( core::instant now ) const -> wide_waiting;

    /// Wide prompts that wait at other instances.
    [[nodiscard]] auto others() const -> std::int64_t;

    /// True where a wide prompt that is still in time waits anywhere, besides
    /// one of this instance that is due at `except`.
    [[nodiscard]] auto others_in_time( core::instant except,
                                       core::instant now ) const -> bool;

    /// True where a prompt that is due at `due` may choose engines now; `draw`
    /// is uniform in 0 to 1. One that may not waits `turn_time` before it asks
    /// again.
    [[nodiscard]] auto may_choose( core::instant due,
                                   double draw,
                                   core::instant now ) const -> bool;

    /// Time in which an instance's choice becomes known to the others: it is
    /// sent at once, and a busy small machine takes tens of ms to read it.
    static constexpr auto turn_time = core::duration( 20'000 );

private:
    std::multiset<core::instant> own_;
    std::unordered_map<core::instance_id, wide_waiting> others_;
};

}

#endif
