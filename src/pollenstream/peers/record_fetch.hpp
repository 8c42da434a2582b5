#ifndef POLLENSTREAM_PEERS_RECORD_FETCH_HPP
#define POLLENSTREAM_PEERS_RECORD_FETCH_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace pollenstream::peers
{

/// Decides when an instance that is behind fetches the store's records from
/// another one, and from which: for changes that are too large for datagrams,
/// or while the store is unavailable to it.
///
/// An instance that is frozen accepts the connection and never answers. A fetch
/// that is not answered soon is therefore repeated at another instance, beside
/// the first.
class record_fetch
{
public:
    using instance_set = std::set<core::instance_id>;
    /// Chooses an instance that knows a newer state, none of `except`; nullopt
    /// if there is none.
    using source =
        std::function<std::optional<core::instance_id>( instance_set const& )>;
    /// Fetches from the instance and applies what it answers, then calls
    /// `ended`, also after a failure.
    using transport = std::function<void( core::instance_id const& from,
                                          std::function<void()> ended )>;

    record_fetch( ports::scheduler& scheduler,
                  source choose_source,
                  transport fetch );

    /// To be called periodically. `is_urgent`: nothing works without the
    /// records, so that there is no reason to wait for datagrams.
    auto update( bool is_urgent ) -> void;

    /// A fetch that has begun.
    struct begun_fetch
    {
        core::instance_id from;
        core::instant since;
    };
    /// The fetches since this instance fell behind, the oldest first.
    [[nodiscard]] auto begun() const -> std::vector<begun_fetch> const&
    {
        return begun_;
    }

private:
    [[nodiscard]] auto may_begin( core::instant now, bool is_urgent ) const
        -> bool;
    [[nodiscard]] auto sources_in_use() const -> instance_set;
    auto begin( core::instance_id const& from, core::instant now ) -> void;

    ports::scheduler& scheduler_;
    source choose_source_;
    transport fetch_;
    core::instant lagging_since_;
    std::vector<begun_fetch> open_; ///< the oldest first
    std::vector<begun_fetch> begun_;
};

}

#endif
