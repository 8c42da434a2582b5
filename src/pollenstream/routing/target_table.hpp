#ifndef POLLENSTREAM_ROUTING_TARGET_TABLE_HPP
#define POLLENSTREAM_ROUTING_TARGET_TABLE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/snapshot.hpp>
#include <pollenstream/routing/target.hpp>

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace pollenstream::routing
{

/// Targets of one service that this instance uses.
using target_list = std::vector<std::shared_ptr<target>>;

/// All targets that this instance uses, by service. Reads take no lock.
class target_table
{
public:
    target_table();

    /// Calls `f( target_list const& )` with the targets of `service`, or with
    /// an empty list for an unknown service. `f` must not block.
    template <class F>
    auto read( core::service_id const& service, F&& f ) const
        -> decltype( auto )
    {
        return lists_.read(
            [&]( by_service const& lists ) -> decltype( auto )
            {
                auto const at = lists.find( service );
                return std::forward<F>( f )( at == lists.end() ? empty_list()
                                                               : at->second );
            } );
    }

    /// Replaces the set of targets. A target that is still present at the same
    /// address keeps its load and phase; one that is missing becomes gone.
    auto replace( std::vector<target_identity> const& present,
                  core::instant now ) -> void;

    /// The target, or null.
    [[nodiscard]] auto find( core::target_id const& id ) const
        -> std::shared_ptr<target>;
    /// All targets, for state dumps and load polls.
    [[nodiscard]] auto all() const -> target_list;

private:
    using by_service = std::unordered_map<core::service_id, target_list>;

    static auto empty_list() -> target_list const&;

    std::mutex replace_mutex_;
    core::snapshot<by_service> lists_;
};

}

#endif
