#ifndef POLLENSTREAM_STANDINS_PLATFORM_RUNNER_HPP
#define POLLENSTREAM_STANDINS_PLATFORM_RUNNER_HPP

#include "store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace standins::platform
{

/// What a runner does wrong at the moment.
struct runner_faults
{
    bool mute{ false };  ///< takes requests and answers nothing
    double fail{ 0 };    ///< share of requests answered with 500
    double shed{ 0 };    ///< share of requests turned away
    double cut{ 0 };     ///< share of answers that break off
    double pause_s{ 0 }; ///< asked for by those that are turned away; 0: none
    int slow{ 1 };       ///< all work takes this many times as long
    core::duration read{ 0 }; ///< added before an answer begins, as of a prompt
    /// Requests a second that its answers name as its limit; below 0: none.
    double limit{ -1 };
};

/// How a run ended, as its runner saw it.
enum class run_end
{
    open,
    answered,  ///< whole
    broke_off, ///< by the runner
    let_go,    ///< by the one that had sent it
};

auto to_string( run_end end ) -> std::string;

/// One request as it came to a runner; the truth that tests check against.
struct run_record
{
    std::string attempt;
    std::string target; ///< the runner
    std::string path;
    std::string workspace;
    std::string body;
    std::string fatal_part; ///< of the prompt; empty: none
    bool ran{ false };
    bool leaked_key{ false };
    std::int64_t at_ms{ 0 };
    /// Time since the runner's leaving stood in the store; -1: it does not
    /// leave.
    std::int64_t leaving_ms{ -1 };
    std::int64_t version{ 0 }; ///< of the configuration in the store
    double pause_s{ 0 };       ///< that the answer asked for
    run_end end{ run_end::open };
    std::int64_t ended_ms{ -1 };
    int status{ 0 };                  ///< of the answer; 0: none
    std::int64_t last_event_ms{ -1 }; ///< written last; -1: none
    double limit{ -1 };               ///< that the answer named; below 0: none
    std::int64_t head_ms{ -1 };       ///< when the answer began; -1: it has not
};

/// An end of a runner under a request that ends each runner that runs it.
struct crash_record
{
    std::string body;
    std::string fatal_part; ///< the cause, if it is not the body
    std::string attempt;
    std::string target;
    std::int64_t at_ms{ 0 };
};

using run_records = std::vector<run_record>;
using crash_records = std::vector<crash_record>;

/// A stand-in for a model runner or plain service of the platform. Paths with
/// `stream` answer with events, others with one body. Reads and writes take
/// fixed times; memory is counted for requests and reservations. One that is
/// held lives and keeps its entry, but its open and new answers go on only when
/// the hold is over. A request whose body begins with `fatal` ends the runner a
/// moment after it has begun to run: all that is open breaks off, the entry
/// lapses, and after some seconds the runner is back under another id. A stream
/// with a part of the prompt whose id begins with `dead`, unless it is the
/// last, does so once its answer has begun, inside its first or second event.
/// A query `bytes=N` makes each body or event that much longer.
class runner : public asio::request_handler
{
public:
    struct settings
    {
        std::string id;
        std::string service;
        std::int64_t slots{ 8 };
        std::int64_t memory{ 450'000 };
        core::duration work{ std::chrono::milliseconds( 10 ) };
        core::duration event_gap{ std::chrono::milliseconds( 15 ) };
        int events{ 8 };
    };

    runner( settings s,
            store& registry,
            ports::scheduler& scheduler,
            run_records& records,
            crash_records& crashes,
            std::uint64_t seed );
    runner( runner const& ) = delete;
    auto operator=( runner const& ) -> runner& = delete;
    ~runner() override;

    [[nodiscard]] auto limits() const -> exchange::caller_limits override;
    auto handle( asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override;

    /// Called when the runner ends and when it is back: it listens or not.
    std::function<void( bool is_up )> on_listening;

    /// Writes the entry into the store, now and again.
    auto register_at( std::string const& address ) -> void;
    auto set_faults( runner_faults faults ) -> void;
    /// No answer goes on for this time.
    auto hold( core::duration time ) -> void;
    /// Ends at once, as by a crash of its own, and comes back later.
    auto end_now() -> void;
    /// Leaves; its answers say so, and the store where it is told.
    enum class leaving_told
    {
        in_store,
        entry_removed,
        in_answers_only,
    };
    auto leave( leaving_told how ) -> void;
    auto set_version( std::int64_t version ) -> void;

    [[nodiscard]] auto id() const -> std::string const&
    {
        return settings_.id;
    }
    [[nodiscard]] auto reserved_tokens() const -> std::int64_t;
    [[nodiscard]] auto open_requests() const -> std::int64_t
    {
        return open_;
    }

private:
    class work;
    friend class work;
    struct reservation
    {
        std::int64_t tokens{ 0 };
        std::unique_ptr<ports::scheduled_call> end;
    };

    auto entry() const -> std::string;
    auto order( asio::raw_request const& request,
                exchange::answer_channel& answer ) -> void;
    auto drawn( double share ) -> bool;
    auto note( asio::raw_request const& request, bool ran ) -> void;
    auto turn_away( asio::raw_request const& request,
                    exchange::answer_channel& answer ) -> void;
    [[nodiscard]] auto own_headers( asio::raw_request const& request ) const
        -> exchange::header_list;
    auto crash( asio::raw_request const& cause ) -> void;
    [[nodiscard]] auto now_ms() const -> std::int64_t;
    auto come_back() -> void;

    settings settings_;
    store& registry_;
    ports::scheduler& scheduler_;
    run_records& records_;
    crash_records& crashes_;
    std::minstd_rand random_;
    runner_faults faults_;
    core::instant held_until_;
    std::string address_;
    bool leaving_{ false };
    /// Since when the store knows of it.
    std::optional<core::instant> leaving_since_;
    std::int64_t version_{ 0 };
    std::int64_t open_{ 0 };
    std::map<std::string, reservation> reservations_;
    std::set<work*> works_;
    bool down_{ false };
    int lives_{ 1 };
    std::string first_id_;
    std::unique_ptr<ports::scheduled_call> lapse_call_;
    std::unique_ptr<ports::scheduled_call> return_call_;
};

}

#endif
