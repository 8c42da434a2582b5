#ifndef POLLENSTREAM_PORTS_RECORD_STORE_HPP
#define POLLENSTREAM_PORTS_RECORD_STORE_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::ports
{

/// Revision of the whole store; each change increments it.
using store_revision = core::strong_number<struct store_revision_tag>;
/// A lease of the store; 0 means no lease.
using lease_id = core::strong_number<struct lease_id_tag>;

/// One record of the store; it has no value if it was removed.
struct record
{
    std::string key;
    std::optional<std::string> value;
    store_revision revision;
};

/// Records, complete up to the store revision `at`.
struct record_batch
{
    std::vector<record> records;
    store_revision at;
};

/// A record to write.
struct record_put
{
    std::string key;
    std::string value;
};

/// Changes of records that the store makes all or not at all.
struct record_changes
{
    /// Puts and removals that the store accepts in one call.
    static constexpr auto max_size = std::size_t{ 32 };

    std::vector<record_put> puts;
    std::vector<std::string> removals; ///< keys

    [[nodiscard]] auto size() const -> std::size_t
    {
        return puts.size() + removals.size();
    }
};

/// How old the records may be that a read returns.
enum class read_age
{
    latest, ///< no change that the store acknowledged before the call is
            ///< missing
    any,    ///< may be seconds old; costs the store a tenth
};

/// Asynchronous calls to the platform's store. Each callback runs exactly once,
/// on the thread that handles requests.
///
/// Errors: `refused` if nothing was done, `expired` if the requested history is
/// no longer available or the lease has ended, `conflict` if a condition did
/// not hold, `unreachable`, `connection_lost` and `timed_out` if a change may
/// have been made or may still be made.
class record_store
{
public:
    using batch_done = std::function<void( core::result<record_batch> )>;
    using lease_done = std::function<void( core::result<lease_id> )>;
    using done = std::function<void( core::result<void> )>;

    virtual ~record_store() = default;

    /// All records whose keys begin with `prefix` and that this system reads.
    /// They are read page by page: more than one page is not a consistent
    /// snapshot, and the batch has the revision of the oldest page.
    virtual auto list( std::string const& prefix,
                       read_age age,
                       batch_done callback ) -> void = 0;
    /// Changes of such records after revision `known`; empty if there is none
    /// within `limit`.
    virtual auto watch( std::string const& prefix,
                        store_revision known,
                        core::duration limit,
                        batch_done callback ) -> void = 0;
    /// Makes the changes. The records that are put are removed when `lease`
    /// ends.
    virtual auto write( record_changes const& changes,
                        lease_id lease,
                        done callback ) -> void = 0;
    virtual auto grant_lease( core::duration time, lease_done callback )
        -> void = 0;
    virtual auto renew_lease( lease_id lease, done callback ) -> void = 0;
    virtual auto end_lease( lease_id lease, done callback ) -> void = 0;
};

}

#endif
