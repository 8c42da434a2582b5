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

/// Every target that this instance uses, by service. Reads take no lock.
class target_table
{
public:
    target_table();

    /// Calls `f( target_list const& )` with the targets of `service`; an
    /// unknown service has an empty list. `f` must not block.
    template <class F>
    auto read( core::service_id const& service, F&& f ) const
        -> decltype( auto )
    {
        return lists_.read(
            [&]( by_service const& lists ) -> decltype( auto )
            {
                auto const at = lists.find( service );
                return std::forward<F>( f )( at == lists.end() ? none()
                                                               : at->second );
            } );
    }

    /// Replaces the set of targets. A target that stays keeps its load; one
    /// that is missing becomes gone.
    auto replace( std::vector<target_identity> const& present,
                  core::instant now ) -> void;

    /// The target, or null.
    [[nodiscard]] auto find( core::target_id const& id ) const
        -> std::shared_ptr<target>;
    /// All targets, for dumps and polls.
    [[nodiscard]] auto all() const -> target_list;

private:
    using by_service = std::unordered_map<core::service_id, target_list>;

    static auto none() -> target_list const&;

    std::mutex replacing_;
    core::snapshot<by_service> lists_;
};

}

#endif
