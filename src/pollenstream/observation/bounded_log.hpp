#ifndef POLLENSTREAM_OBSERVATION_BOUNDED_LOG_HPP
#define POLLENSTREAM_OBSERVATION_BOUNDED_LOG_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstream::observation
{

/// Bounds the lines about requests. Within the budget of a second every
/// request is logged at once. Beyond it the lines of a request are held back
/// until its end: a request that ends badly is logged whole, one that is
/// served is left out whole and counted. Changes of belief are always logged.
class bounded_log : public exchange::event_log
{
public:
    bounded_log( exchange::event_log& next,
                 ports::scheduler& scheduler,
                 std::size_t requests_per_second );

    auto record( exchange::event const& what ) -> void override;

    /// Requests that were left out.
    [[nodiscard]] auto left_out() const -> std::uint64_t
    {
        return left_out_;
    }

private:
    auto admit( exchange::attempt_id const& id ) -> bool;
    auto hold( exchange::attempt_id const& id, exchange::event const& what )
        -> void;
    auto end( exchange::request_ended const& e, exchange::event const& what )
        -> void;
    auto next_second() -> void;

    exchange::event_log& next_;
    ports::scheduler& scheduler_;
    std::size_t budget_;
    core::instant second_;
    std::size_t begun_{ 0 };
    std::uint64_t left_out_{ 0 };
    std::uint64_t told_{ 0 };
    std::unordered_map<std::string, std::vector<exchange::event>> held_;
};

}

#endif
