#ifndef POLLENSTREAM_ADMISSION_TOKEN_BUCKET_HPP
#define POLLENSTREAM_ADMISSION_TOKEN_BUCKET_HPP

#include <pollenstream/core/units.hpp>

namespace pollenstream::admission
{

/// Allows `rate` units a second with bursts of up to `burst_seconds` of it.
/// Not safe for several threads.
class token_bucket
{
public:
    /// Takes `amount`, or says after what time that can succeed. A bucket
    /// that is full lets one larger amount pass and goes into debt for it.
    auto
    take( double amount, double rate, double burst_seconds, core::instant now )
        -> core::duration;

    /// When the bucket was used last.
    [[nodiscard]] auto used_at() const -> core::instant
    {
        return at_;
    }

private:
    double level_{ 0 };
    core::instant at_;
    bool fresh_{ true };
};

}

#endif
