#ifndef POLLENSTREAM_PORTS_KEY_VALUE_STORE_HPP
#define POLLENSTREAM_PORTS_KEY_VALUE_STORE_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <string>

namespace pollenstream::ports
{

/// Version of one key in the platform's store; 0 if the key does not exist.
using key_version = core::strong_number<struct key_version_tag>;

/// A value and its version, which a compare-and-swap must pass as expected.
struct key_value
{
    std::string value;
    key_version version;
};

/// The platform's key-value store. Calls block up to the adapter's timeout and
/// are never made while handling a request.
///
/// Errors: `conflict` if the version did not match, `unreachable` if the call
/// was never sent, `timed_out` or `connection_lost` if a change may have taken
/// effect nevertheless.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Reads `key`; the result has version 0 if the key does not exist.
    virtual auto get( std::string const& key ) -> core::result<key_value> = 0;

    /// Writes `value` if `key` still has version `expected`; returns the new
    /// version.
    virtual auto compare_and_swap( std::string const& key,
                                   key_version expected,
                                   std::string const& value )
        -> core::result<key_version> = 0;

    /// Waits until the version of `key` differs from `known`, but not longer
    /// than `limit`; then returns the current value.
    virtual auto watch( std::string const& key,
                        key_version known,
                        core::duration limit ) -> core::result<key_value> = 0;
};

}

#endif
