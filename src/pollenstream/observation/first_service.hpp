#ifndef POLLENSTREAM_OBSERVATION_FIRST_SERVICE_HPP
#define POLLENSTREAM_OBSERVATION_FIRST_SERVICE_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pollenstream::observation
{

/// What an instance needs before it can serve, in the usual order.
enum class start_stage
{
    configuration, ///< it has one
    targets,       ///< it knows of a target
    request,       ///< a request has come
    placed,        ///< a request was sent to a target
    number_of_stages,
};

/// Records when this process serves its first request: how long after its
/// start, when it had what it needs for that, and how many requests it had
/// refused until then, by reason. If it refuses a request and has still served
/// none after `patience`, it records that once.
///
/// Passes all events on to the next log. Not thread-safe.
class first_service : public exchange::event_log
{
public:
    static constexpr auto patience =
        core::duration( std::chrono::seconds( 5 ) );

    first_service( exchange::event_log& next,
                   ports::scheduler& scheduler,
                   core::instance_id self );

    auto record( exchange::event const& what ) -> void override;
    /// Only the first time counts.
    auto note( start_stage stage ) -> void;

    /// From the start to the end of the first answer that was served; nullopt
    /// before that.
    [[nodiscard]] auto served_after() const -> std::optional<core::duration>
    {
        return served_after_;
    }
    [[nodiscard]] auto age() const -> core::duration
    {
        return scheduler_.now() - started_;
    }

private:
    auto see( exchange::request_refused const& e ) -> void;
    auto see( exchange::request_placed const& e ) -> void;
    auto see( exchange::request_ended const& e ) -> void;
    template <class Other>
    auto see( Other const& /*event*/ ) -> void
    {
    }
    auto record_state( std::string now ) -> void;
    [[nodiscard]] auto describe() const -> std::string;

    using stage_times =
        std::array<std::optional<core::duration>,
                   static_cast<std::size_t>( start_stage::number_of_stages )>;

    exchange::event_log& next_log_;
    ports::scheduler& scheduler_;
    core::instance_id self_;
    core::instant started_;
    stage_times reached_after_;                    ///< since the start
    std::map<std::string, std::uint64_t> refused_; ///< by reason
    std::optional<core::duration> served_after_;
    bool is_overdue_{ false }; ///< recorded that nothing was served in time
};

}

#endif
