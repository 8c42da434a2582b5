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

/// KV memory at several engines that together hold one prompt.
///
/// Reservations are all or nothing: each engine replies immediately whether it
/// has the memory, any refusal releases the whole round, and the next round
/// follows after a pause with jitter. No group waits for memory while it holds
/// some, so instances cannot deadlock. Each reservation has a time to live
/// after which the engine frees it, even if this instance has died.
class span_group : public std::enable_shared_from_this<span_group>
{
public:
    using ready_callback = std::function<void( core::result<void> )>;

    /// `name` must be unique: two groups of one request may reserve memory at
    /// the same engine.
    span_group( context& session_context,
                std::string name,
                core::token_count prompt_tokens,
                core::token_count output_tokens,
                core::instant deadline );
    ~span_group();
    span_group( span_group const& ) = delete;
    auto operator=( span_group const& ) -> span_group& = delete;

    /// Reserves memory for all spans, then starts their prefill at all engines
    /// in parallel. Calls back once, with success or the reason of the failure;
    /// `prefill_started` then tells whether any engine may have run a prefill.
    /// Places no span on a target in `avoided`.
    auto prepare( core::service_id const& service,
                  std::vector<core::target_id> avoided,
                  ready_callback callback ) -> void;

    /// Releases all memory. May be called at any time and more than once.
    auto release() -> void;

    /// True once any engine was asked to prefill a span.
    [[nodiscard]] auto prefill_started() const -> bool;
    /// The target that decodes: it holds the last span and the output.
    [[nodiscard]] auto decode_target() const
        -> std::shared_ptr<routing::target>;
    [[nodiscard]] auto reservations() const
        -> std::vector<core::reservation_id>;

private:
    struct span
    {
        std::shared_ptr<routing::target> target;
        core::reservation_id id;
        std::int64_t tokens{ 0 };        ///< prompt tokens
        std::int64_t memory_tokens{ 0 }; ///< prompt and output tokens
    };
    using span_list = std::vector<span>;

    auto usable_targets( core::service_id const& service ) const
        -> routing::target_list;
    auto plan_spans( core::service_id const& service ) -> bool;
    auto place_spans( routing::target_list const& candidates,
                      double memory_share ) -> bool;
    auto split_output() -> void;
    auto reserve_spans() -> void;
    auto on_reserved( std::int64_t round, core::result<void> status ) -> void;
    auto fill_spans() -> void;
    auto on_filled( core::result<void> status ) -> void;
    auto retry_later( std::string const& why ) -> void;
    auto end( core::result<void> status ) -> void;
    auto release_reservations( span_list const& spans ) -> void;

    context& context_;
    std::string name_;
    std::int64_t prompt_tokens_;
    std::int64_t output_tokens_;
    core::instant deadline_;
    core::service_id service_;
    std::vector<core::target_id> avoided_;

    mutable std::mutex mutex_;
    span_list spans_;
    ready_callback callback_;
    std::int64_t round_{ 0 };
    std::size_t pending_replies_{ 0 };
    bool reserving_{ false }; ///< replies to reserve calls are pending
    std::optional<core::error> error_;
    bool prefill_started_{ false };
    bool released_{ false };
};

}

#endif
