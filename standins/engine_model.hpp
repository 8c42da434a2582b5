#ifndef STANDINS_ENGINE_MODEL_HPP
#define STANDINS_ENGINE_MODEL_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/engine.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace standins
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;
namespace profiles = pollenstream::profiles;

/// Costs and sizes of a stand-in engine.
struct engine_settings
{
    std::int64_t memory_tokens{ 400'000 }; ///< KV memory
    std::int64_t cache_tokens{ 400'000 };  ///< memory for cached prefixes
    std::int64_t chunk_tokens{ 1'024 };    ///< prompt tokens read in one step
    double prefill_rate{ 20'000 };         ///< prompt tokens a second
    double base_step_seconds{ 0.008 };     ///< of a step with nothing in it
    double decode_seconds{ 0.0002 };       ///< of each writing stream in a step
    /// Context at which reading a token costs twice what it costs at first.
    double attention_scale{ 600'000 };
    std::int64_t most_running{ 256 };  ///< streams in one batch
    core::duration report_period{ 0 }; ///< a report is this old at most
    bool honours_priority{ true };
};

/// What happened in an engine's step.
struct engine_output
{
    enum class kind
    {
        token,   ///< the stream wrote the token at `position`
        end,     ///< the stream wrote its last token before this
        expired, ///< the stream was dropped at its time limit
        filled,  ///< the reservation's span was read
    };
    kind what{ kind::token };
    core::request_id request;
    core::attempt_number attempt;
    core::reservation_id reservation;
    std::int64_t position{ 0 };
};

/// A model engine with continuous batching in steps, chunked prefill by
/// priority, limited KV memory, a prefix cache and reservations. It knows no
/// real time and no transport: whoever drives it calls `advance`.
class engine_model
{
public:
    explicit engine_model( engine_settings settings );

    /// Queues a stream. Refuses what can never fit.
    auto submit( ports::engine_request const& request, core::instant now )
        -> core::result<void>;
    /// Frees all that is held for the request.
    auto cancel( core::request_id const& request, core::instant now ) -> void;
    [[nodiscard]] auto holds( core::request_id const& request ) const -> bool;

    auto reserve( ports::reservation_request const& wanted, core::instant now )
        -> core::result<void>;
    auto release( core::reservation_id const& id, core::instant now ) -> void;
    /// Queues reading `tokens` into a reservation.
    auto fill( core::reservation_id const& id,
               std::int64_t tokens,
               core::instant now ) -> core::result<void>;

    /// When the step under way ends; nothing where the engine is idle.
    [[nodiscard]] auto next_event() const -> std::optional<core::instant>;
    /// True where a stream or reservation has reached its time limit.
    [[nodiscard]] auto expires_by( core::instant now ) const -> bool;
    /// Runs all steps that end by `now`.
    auto advance( core::instant now ) -> std::vector<engine_output>;

    /// The last report, as old as it is.
    auto load( core::instant now ) -> ports::load_report;
    [[nodiscard]] auto held() const -> std::vector<ports::held_memory>;
    [[nodiscard]] auto memory_used() const -> std::int64_t
    {
        return memory_used_;
    }
    [[nodiscard]] auto settings() const -> engine_settings const&
    {
        return settings_;
    }

private:
    struct stream
    {
        ports::engine_request request;
        std::int64_t to_read{ 0 };  ///< prompt tokens not yet read
        std::int64_t context{ 0 };  ///< tokens read and written
        std::int64_t position{ 0 }; ///< next token to write
        std::int64_t memory{ 0 };   ///< held by the stream itself
        core::instant expires;
        bool is_running{ false };
    };
    struct reservation
    {
        ports::reservation_request wanted;
        core::instant expires;
        std::int64_t to_fill{ 0 };
        std::int64_t filled{ 0 };
    };
    struct planned_read
    {
        core::request_id request;
        core::reservation_id reservation;
        std::int64_t tokens{ 0 };
    };
    struct step
    {
        core::instant ends;
        std::vector<planned_read> reads;
        std::vector<core::request_id> writers;
    };

    auto admit_waiting( core::instant now ) -> void;
    auto start_step( core::instant now ) -> void;
    auto plan_reads( step& next ) -> double;
    auto finish_step( std::vector<engine_output>& out ) -> void;
    auto finish_reads( step const& done, std::vector<engine_output>& out )
        -> void;
    auto write_token( stream& writer, std::vector<engine_output>& out ) -> void;
    auto expire( core::instant now, std::vector<engine_output>& out ) -> void;
    auto remove( core::request_id const& request ) -> void;
    auto cached_tokens( core::prefix_chain const& prefixes ) const
        -> std::int64_t;
    auto cache( core::prefix_chain const& prefixes ) -> void;
    auto take_report( core::instant now ) -> void;

    engine_settings settings_;
    std::list<stream> streams_; ///< in order of arrival
    std::unordered_map<core::request_id, std::list<stream>::iterator> by_id_;
    std::map<core::reservation_id, reservation> reservations_;
    std::int64_t memory_used_{ 0 };
    std::int64_t running_{ 0 };
    std::optional<step> step_;
    double last_step_seconds_{ 0 };
    core::instant time_;
    std::list<core::prefix_mark> cache_; ///< used last stands first
    std::vector<core::prefix_mark> newly_cached_;
    ports::load_report report_;
    std::optional<core::instant> reported_;
};

/// The token that every engine writes at `position` for `prompt`; equal
/// prompts have equal answers, so that a caller can check a whole answer.
auto token_text( std::string const& prompt, std::int64_t position )
    -> std::string;

/// As `token_text`, for a prompt hashed before with `prompt_hash`.
auto token_text( std::uint64_t prompt_hash, std::int64_t position )
    -> std::string;
auto prompt_hash( std::string const& prompt ) -> std::uint64_t;

}

#endif
