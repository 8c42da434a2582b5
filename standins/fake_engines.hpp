#ifndef STANDINS_FAKE_ENGINES_HPP
#define STANDINS_FAKE_ENGINES_HPP

#include "engine_model.hpp"
#include "held_time.hpp"
#include <pollenstream/ports/engine.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace standins
{

/// Engines in process, driven by held time. Each can be told to fail.
class fake_engines : public ports::engine_client
{
public:
    explicit fake_engines( held_time& time );
    ~fake_engines() override;

    auto add( std::string const& id, engine_settings settings ) -> void;
    auto model( std::string const& id ) -> engine_model&;

    /// The process ends: its streams break, its memory is gone.
    auto kill( std::string const& id ) -> void;
    /// The process is started anew, empty.
    auto revive( std::string const& id ) -> void;
    /// Open connections to it carry nothing any more; new ones work.
    auto silence_connections( std::string const& id ) -> void;
    /// Open connections break; the streams behind them run on.
    auto cut_connections( std::string const& id ) -> void;
    /// The process hangs: connections are made and nothing is answered.
    auto set_hung( std::string const& id, bool on ) -> void;
    /// Every event is handed over twice, and once for another request.
    auto set_crossed( bool on ) -> void;
    /// Runs everything up to the end of `span`.
    auto run_for( core::duration span ) -> void;
    /// Tokens of memory held at all engines.
    [[nodiscard]] auto memory_held() const -> std::int64_t;
    [[nodiscard]] auto opens() const -> std::int64_t;

    auto open( ports::engine_endpoint const& engine,
               ports::engine_request const& request,
               std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<ports::engine_stream> override;
    auto resume( ports::engine_endpoint const& engine,
                 ports::engine_request const& request,
                 std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<ports::engine_stream> override;
    auto reserve( ports::engine_endpoint const& engine,
                  ports::reservation_request const& reservation,
                  done callback ) -> void override;
    auto release( ports::engine_endpoint const& engine,
                  core::reservation_id const& reservation,
                  done callback ) -> void override;
    auto fill_span( ports::engine_endpoint const& engine,
                    core::reservation_id const& reservation,
                    core::token_count tokens,
                    core::duration limit,
                    done callback ) -> void override;
    auto load( ports::engine_endpoint const& engine, load_done callback )
        -> void override;
    auto held( ports::engine_endpoint const& engine, held_done callback )
        -> void override;
    auto drop( ports::engine_endpoint const& engine,
               core::request_id const& request,
               done callback ) -> void override;

private:
    class fake_stream;
    /// What an engine wrote for one request, kept for a resume.
    struct written
    {
        std::uint64_t hash{ 0 };
        core::attempt_number attempt;
        std::int64_t first{ 0 };
        std::int64_t count{ 0 };
        bool ended{ false };
        bool expired{ false };
    };
    struct one_engine
    {
        engine_settings settings;
        std::unique_ptr<engine_model> model;
        std::map<core::request_id, written> records;
        std::map<core::request_id, std::weak_ptr<fake_stream>> streams;
        std::map<core::reservation_id, done> filling;
        bool dead{ false };
        bool hung{ false };
    };

    auto later( std::function<void()> callback ) -> void;
    auto step_due() -> void;
    auto step( one_engine& engine ) -> void;
    auto deliver( one_engine& engine, engine_output const& out ) -> void;
    auto next_step() const -> std::optional<core::instant>;
    auto endpoint( ports::engine_endpoint const& at ) -> one_engine&;
    auto attach( one_engine& engine,
                 ports::engine_request const& request,
                 std::shared_ptr<ports::stream_listener> listener )
        -> std::shared_ptr<fake_stream>;

    held_time& time_;
    std::map<std::string, one_engine> engines_;
    bool crossed_{ false };
    std::int64_t opens_{ 0 };
};

}

#endif
