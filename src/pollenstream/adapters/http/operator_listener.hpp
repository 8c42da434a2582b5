#ifndef POLLENSTREAM_ADAPTERS_HTTP_OPERATOR_LISTENER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_OPERATOR_LISTENER_HPP

#include <pollenstream/adapters/http/listener.hpp>
#include <pollenstream/adapters/http/state_dump.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <functional>
#include <string>

namespace pollenstream::adapters::http
{

/// The number of instances on which a revision is in force.
struct revision_reach
{
    std::int64_t asked{ 0 };    ///< instances that are not gone
    std::int64_t in_force{ 0 }; ///< of these, at that revision or later
};

/// The operations that operators can request besides dumps.
struct operator_actions
{
    std::function<void()> drain;
    std::function<revision_reach( core::revision )> reach;
    /// Runs work that blocks on other processes.
    std::function<void( std::function<void()> )> run_blocking;
};

/// Serves the HTTP interface for operators. Every request must carry the token
/// from the settings; see docs/OPERATIONS.md.
class operator_listener
{
public:
    operator_listener( core::address const& at,
                       std::string token,
                       dump_sources sources,
                       state::configuration_publisher& publisher,
                       ports::configuration_codec const& codec,
                       operator_actions actions,
                       std::shared_ptr<listening_loop> loop );

    auto open() -> void;
    auto close() -> void;

private:
    using handler = auto( operator_listener::* )( received_request const& )
                        -> void;

    auto routes() -> std::vector<route>;
    /// Like `guarded`, for handlers that block on other processes.
    auto guarded_blocking( handler handle )
        -> std::function<void( received_request )>;
    /// Wraps a handler so that it runs only if the token is valid.
    auto guarded( handler handle ) -> std::function<void( received_request )>;
    auto on_dump( received_request const& request ) -> void;
    auto on_instances( received_request const& request ) -> void;
    auto on_targets( received_request const& request ) -> void;
    auto on_show( received_request const& request ) -> void;
    auto on_check( received_request const& request ) -> void;
    auto on_apply( received_request const& request ) -> void;
    auto on_reach( received_request const& request ) -> void;
    auto on_drain( received_request const& request ) -> void;

    std::string token_;
    dump_sources sources_;
    state::configuration_publisher& publisher_;
    ports::configuration_codec const& codec_;
    operator_actions actions_;
    listener listener_;
};

/// Compares in a time that depends only on the lengths, so that the duration
/// does not reveal the token.
auto equal_tokens( std::string const& given, std::string const& expected )
    -> bool;

}

#endif
