#ifndef STANDINS_STORE_MODEL_HPP
#define STANDINS_STORE_MODEL_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/ports/key_value_store.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace standins
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;

/// Faults that the key-value stand-in can be told to have.
struct store_faults
{
    bool outage{ false };       ///< no call is taken
    bool lose_answers{ false }; ///< changes take effect and time out
    bool watches_dead{ false }; ///< watches never tell a change
};

/// The platform's key-value service: compare-and-swap, watches, a limit on the
/// size of values, and a count of calls, a waiting watch as one.
class store_model : public ports::key_value_store
{
public:
    auto get( std::string const& key )
        -> core::result<ports::key_value> override;
    auto compare_and_swap( std::string const& key,
                           ports::key_version expected,
                           std::string const& value )
        -> core::result<ports::key_version> override;
    auto watch( std::string const& key,
                ports::key_version known,
                core::duration limit )
        -> core::result<ports::key_value> override;

    auto set_faults( store_faults faults ) -> void;
    /// The content as it stands, to be put back by `restore`: a store that
    /// comes back older.
    auto content() const -> std::map<std::string, ports::key_value>;
    auto restore( std::map<std::string, ports::key_value> content ) -> void;

    [[nodiscard]] auto reads() const -> std::int64_t;
    [[nodiscard]] auto writes() const -> std::int64_t;

private:
    auto value_of( std::string const& key ) const -> ports::key_value;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, ports::key_value> content_;
    store_faults faults_;
    std::int64_t next_version_{ 1 };
    std::int64_t reads_{ 0 };
    std::int64_t writes_{ 0 };
};

}

#endif
