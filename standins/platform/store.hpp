#ifndef POLLENSTREAM_STANDINS_PLATFORM_STORE_HPP
#define POLLENSTREAM_STANDINS_PLATFORM_STORE_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace standins::platform
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;
namespace exchange = pollenstream::exchange;
namespace asio = pollenstream::adapters::asio;

/// What the store does wrong at the moment.
struct store_faults
{
    bool silent{ false };          ///< answers nothing
    bool busy{ false };            ///< answers 503 and does nothing
    core::duration slow{ 0 };      ///< added to each answer
    double lost{ 0 };              ///< share of changes whose answer is lost
    core::duration lost_late{ 0 }; ///< these are made so much later
};

/// A stand-in for the platform's metadata store: one revision, conditions,
/// leases and watches, as its protocol page says. Loses nothing that it has
/// acknowledged; has outages, slow and lost answers, and forgets its history.
class store : public asio::request_handler
{
public:
    store( ports::scheduler& scheduler, std::uint64_t seed );

    [[nodiscard]] auto limits() const -> exchange::caller_limits override;
    auto handle( asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override;

    /// Changes by the platform itself.
    auto put( std::string const& key, std::string const& value ) -> void;
    auto remove( std::string const& key ) -> void;
    /// Drops the history and ends all watches.
    auto forget() -> void;
    auto set_faults( store_faults faults ) -> void;
    [[nodiscard]] auto revision() const -> std::int64_t
    {
        return revision_;
    }

private:
    struct item
    {
        std::string value; ///< base64, as on the wire
        std::int64_t revision{ 0 };
        std::int64_t created{ 0 };
        std::int64_t lease{ 0 };
    };
    struct change
    {
        std::string key;
        std::int64_t revision{ 0 };
    };
    struct watcher
    {
        std::string prefix;
        std::int64_t after{ 0 };
        std::shared_ptr<exchange::answer_channel> answer;
        std::unique_ptr<ports::scheduled_call> end;
    };
    struct lease
    {
        core::duration time{ 0 };
        std::unique_ptr<ports::scheduled_call> end;
    };
    using answer_ptr = std::shared_ptr<exchange::answer_channel>;
    using query = std::map<std::string, std::string>;

    auto serve( asio::raw_request const& request, answer_ptr const& answer )
        -> void;
    auto reply( answer_ptr const& answer,
                int status,
                nlohmann::json const& body ) -> void;
    auto range( query const& q, answer_ptr const& answer ) -> void;
    auto watch( query const& q, answer_ptr const& answer ) -> void;
    auto transact( nlohmann::json const& body, answer_ptr const& answer )
        -> void;
    auto grant( nlohmann::json const& body, answer_ptr const& answer ) -> void;
    auto keep( std::int64_t id, answer_ptr const& answer ) -> void;
    auto end_lease( std::int64_t id ) -> bool;
    auto apply( nlohmann::json const& body ) -> void;
    auto item_json( std::string const& key, item const& i ) const
        -> nlohmann::json;
    auto events_after( std::string const& prefix, std::int64_t after ) const
        -> nlohmann::json;
    auto tell_watchers() -> void;
    auto note( std::string const& key ) -> void;

    ports::scheduler& scheduler_;
    std::minstd_rand random_;
    store_faults faults_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::int64_t revision_{ 1 };
    std::int64_t history_from_{ 0 };
    std::list<watcher> watchers_;
    std::map<std::int64_t, lease> leases_;
    std::int64_t last_lease_{ 0 };
    std::uint64_t last_later_{ 0 };
    std::map<std::uint64_t, std::unique_ptr<ports::scheduled_call>> later_;
};

}

#endif
