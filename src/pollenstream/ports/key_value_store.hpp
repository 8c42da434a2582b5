#ifndef POLLENSTREAM_PORTS_KEY_VALUE_STORE_HPP
#define POLLENSTREAM_PORTS_KEY_VALUE_STORE_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <string>

namespace pollenstream::ports
{

/// Version of one key in the platform's store; 0 means that it is absent.
using key_version = core::strong_number<struct key_version_tag>;

/// A value with the version that a compare-and-swap has to name.
struct key_value
{
    std::string value;
    key_version version;
};

/// The platform's key-value service. Calls block up to the adapter's timeout
/// and are never made on the path of a request.
///
/// Errors: `conflict` where the version did not match, `unreachable` where
/// the call was never sent, `timed_out` or `connection_lost` where a change
/// may have taken effect all the same.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Reads `key`; an absent key is a value with version 0.
    virtual auto get( std::string const& key ) -> core::result<key_value> = 0;

    /// Writes `value` if `key` still has `expected`; returns the new version.
    virtual auto compare_and_swap( std::string const& key,
                                   key_version expected,
                                   std::string const& value )
        -> core::result<key_version> = 0;

    /// Waits until `key` has a version other than `known`, `limit` at most;
    /// after `limit` returns the value as it stands.
    virtual auto watch( std::string const& key,
                        key_version known,
                        core::duration limit ) -> core::result<key_value> = 0;
};

}

#endif
