#ifndef POLLENSTREAM_EXCHANGE_REPORT_MEMORY_HPP
#define POLLENSTREAM_EXCHANGE_REPORT_MEMORY_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace pollenstream::exchange
{

struct open_work;
struct placement_request;
class report_claim;

/// Counts the memory of what other instances have reported and this one keeps:
/// their open work and their placement requests. Whoever reaches the port for
/// datagrams can report any. Where the memory is used up, the instance gives
/// way that takes the most; it reports what is true again.
class report_memory
{
public:
    explicit report_memory( std::size_t max_bytes = default_max_bytes );

    auto set_max_bytes( std::size_t bytes ) -> void;
    /// Claims `bytes` for a report of `owner`; null if there is no memory.
    [[nodiscard]] auto take( core::instance_id const& owner, std::size_t bytes )
        -> std::shared_ptr<report_claim>;

    [[nodiscard]] auto used_bytes() const -> std::size_t;
    /// Reports that were not kept.
    [[nodiscard]] auto refused() const -> std::uint64_t
    {
        return refused_.value();
    }
    /// Instances whose reports were forgotten for others.
    [[nodiscard]] auto gave_way() const -> std::uint64_t
    {
        return gave_way_.value();
    }

    /// Has to forget all reports of an instance, and so end their claims.
    std::function<void( core::instance_id const& )> on_gives_way;

private:
    friend class report_claim;

    static constexpr auto default_max_bytes = std::size_t{ 32 } << 20U;

    /// Outlives this object where claims do.
    struct usage
    {
        std::size_t max_bytes{ 0 };
        std::size_t used_bytes{ 0 };
        std::map<core::instance_id, std::size_t> by_owner;
    };

    [[nodiscard]] auto has_room( std::size_t bytes ) const -> bool;
    auto make_room( core::instance_id const& owner, std::size_t bytes ) -> void;

    std::shared_ptr<usage> usage_;
    core::counter refused_;
    core::counter gave_way_;
};

/// The memory of one report, until the end of this object.
class report_claim
{
public:
    report_claim( std::shared_ptr<report_memory::usage> all,
                  core::instance_id owner,
                  std::size_t bytes );
    ~report_claim();
    report_claim( report_claim const& ) = delete;
    auto operator=( report_claim const& ) -> report_claim& = delete;

private:
    std::shared_ptr<report_memory::usage> all_;
    core::instance_id owner_;
    std::size_t bytes_;
};

/// Memory that a report takes where it is kept.
auto bytes_of( open_work const& work ) -> std::size_t;
auto bytes_of( placement_request const& request ) -> std::size_t;

}

#endif
