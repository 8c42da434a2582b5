#ifndef POLLENSTREAM_ADMISSION_TOKEN_BUCKET_HPP
#define POLLENSTREAM_ADMISSION_TOKEN_BUCKET_HPP

#include <pollenstream/core/units.hpp>

namespace pollenstream::admission
{

/// Token bucket: allows `rate` units per second and, after idle time, a burst
/// of `burst_seconds` at that rate. Not thread-safe.
class token_bucket
{
public:
    /// Takes `amount` and returns 0, or takes nothing and returns the time
    /// after which it can succeed. A full bucket lets an amount above its
    /// capacity pass; its level is negative until the rate has refilled it.
    auto
    take( double amount, double rate, double burst_seconds, core::instant now )
        -> core::duration;

    /// Time of the last call of `take`.
    [[nodiscard]] auto used_at() const -> core::instant
    {
        return used_at_;
    }

private:
    double level_{ 0 };
    core::instant used_at_;
    bool is_new_{ true };
};

}

#endif
