#ifndef POLLENSTREAM_PORTS_RECORD_STORE_HPP
#define POLLENSTREAM_PORTS_RECORD_STORE_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::ports
{

/// Counts the changes of the whole store.
using store_revision = core::strong_number<struct store_revision_tag>;
/// A lease of the store; 0 is none.
using lease_id = core::strong_number<struct lease_id_tag>;

/// One record of the store; without a value it has been removed.
struct record
{
    std::string key;
    std::optional<std::string> value;
    store_revision revision;
};

/// Records with the store's revision up to which they are known.
struct record_batch
{
    std::vector<record> records;
    store_revision at;
};

/// Waiting calls to the platform's store. Each callback runs once, on the
/// thread that runs the requests.
///
/// Errors: `refused` where nothing was done, `expired` where the history that
/// was asked for is gone or a lease has ended, `conflict` where a condition
/// did not hold, `unreachable`, `connection_lost` and `timed_out` where a
/// change may have been made or may still be made.
class record_store
{
public:
    using batch_done = std::function<void( core::result<record_batch> )>;
    using lease_done = std::function<void( core::result<lease_id> )>;
    using done = std::function<void( core::result<void> )>;

    virtual ~record_store() = default;

    /// All records whose keys begin with `prefix`. Not a snapshot where there
    /// are many; the batch's revision is that of the first page.
    virtual auto list( std::string const& prefix, batch_done callback )
        -> void = 0;
    /// Changes after `known`; empty where none comes within `limit`.
    virtual auto watch( std::string const& prefix,
                        store_revision known,
                        core::duration limit,
                        batch_done callback ) -> void = 0;
    /// Writes `value` under `key` for as long as `lease` lives.
    virtual auto put( std::string const& key,
                      std::string const& value,
                      lease_id lease,
                      done callback ) -> void = 0;
    virtual auto grant_lease( core::duration time, lease_done callback )
        -> void = 0;
    virtual auto renew_lease( lease_id lease, done callback ) -> void = 0;
    virtual auto end_lease( lease_id lease, done callback ) -> void = 0;
};

}

#endif
