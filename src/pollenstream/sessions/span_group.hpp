#ifndef POLLENSTREAM_SESSIONS_SPAN_GROUP_HPP
#define POLLENSTREAM_SESSIONS_SPAN_GROUP_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/engine.hpp>
#include <pollenstream/routing/target_table.hpp>
#include <pollenstream/sessions/context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::sessions
{

/// Memory at several engines that together hold one prompt.
///
/// Reservations are made all or nothing: an engine answers at once whether it
/// has the memory, a refusal gives back all that was got, and the next try
/// comes after a pause drawn at random. Nobody waits while it holds memory, so
/// instances cannot deadlock. Each reservation carries a time to live, after
/// which the engine frees it even if this instance has died.
class span_group : public std::enable_shared_from_this<span_group>
{
public:
    using ready = std::function<void( core::result<void> )>;

    /// `name` is this group's own: groups of one request may meet at engines.
    span_group( context& shared,
                std::string name,
                core::token_count prompt_tokens,
                core::token_count output_tokens,
                core::instant deadline );
    ~span_group();
    span_group( span_group const& ) = delete;
    auto operator=( span_group const& ) -> span_group& = delete;

    /// Reserves, then reads the prompt at all engines at once. Calls back once
    /// with success, or with why it was given up. `none_started` tells whether
    /// any engine was asked to read.
    /// No span is placed at an engine of `avoided`.
    auto prepare( core::service_id const& service,
                  std::vector<core::target_id> avoided,
                  ready callback ) -> void;

    /// Gives all memory back. May be called twice, and at any time.
    auto release() -> void;

    /// True where an engine was asked to read a part of the prompt.
    [[nodiscard]] auto started() const -> bool;
    /// The engine that decodes: it holds the last span and the output.
    [[nodiscard]] auto lead() const -> std::shared_ptr<routing::target>;
    [[nodiscard]] auto reservations() const
        -> std::vector<core::reservation_id>;

private:
    struct span
    {
        std::shared_ptr<routing::target> at;
        core::reservation_id id;
        std::int64_t tokens{ 0 };        ///< of the prompt
        std::int64_t memory_tokens{ 0 }; ///< prompt part and output
    };
    using span_list = std::vector<span>;

    auto usable_targets( core::service_id const& service ) const
        -> routing::target_list;
    auto plan( core::service_id const& service ) -> bool;
    auto place_spans( routing::target_list const& candidates, double part )
        -> bool;
    auto split_output() -> void;
    auto try_reserve() -> void;
    auto on_reserved( std::int64_t round, core::result<void> status ) -> void;
    auto fill() -> void;
    auto on_filled( core::result<void> status ) -> void;
    auto try_later( std::string const& why ) -> void;
    auto end( core::result<void> status ) -> void;
    auto give_back( span_list const& spans ) -> void;

    context& shared_;
    std::string name_;
    std::int64_t prompt_tokens_;
    std::int64_t output_tokens_;
    core::instant deadline_;
    core::service_id service_;
    std::vector<core::target_id> avoided_;

    mutable std::mutex mutex_;
    span_list spans_;
    ready callback_;
    std::int64_t round_{ 0 };
    std::size_t awaited_{ 0 };
    bool reserving_{ false }; ///< answers to reserve calls are awaited
    std::optional<core::error> refusal_;
    bool started_{ false };
    bool released_{ false };
};

}

#endif
