#ifndef POLLENSTREAM_TESTS_SUPPORT_ANSWERED_STORE_HPP
#define POLLENSTREAM_TESTS_SUPPORT_ANSWERED_STORE_HPP

#include <pollenstream/ports/record_store.hpp>

#include <string>
#include <utility>

namespace tests
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;

/// A store whose reads the test answers, one at a time.
class answered_store : public ports::record_store
{
public:
    auto list( std::string const&, ports::read_age age, batch_done callback )
        -> void override
    {
        ++lists;
        last_age = age;
        pending = std::move( callback );
    }
    auto watch( std::string const&,
                ports::store_revision known,
                core::duration,
                batch_done callback ) -> void override
    {
        ++watches;
        known_at = known;
        pending = std::move( callback );
    }
    auto write( ports::record_changes const&, ports::lease_id, done )
        -> void override
    {
    }
    auto grant_lease( core::duration, lease_done ) -> void override {}
    auto renew_lease( ports::lease_id, done ) -> void override {}
    auto end_lease( ports::lease_id, done ) -> void override {}

    auto answer( ports::record_batch batch ) -> void
    {
        auto const callback = std::exchange( pending, nullptr );
        callback( std::move( batch ) );
    }
    auto fail( core::error_code code ) -> void
    {
        auto const callback = std::exchange( pending, nullptr );
        callback( core::error{ code, "test" } );
    }

    batch_done pending;
    int lists{ 0 };
    ports::read_age last_age{ ports::read_age::latest }; ///< of the last list
    int watches{ 0 };
    ports::store_revision known_at; ///< of the last watch
};

}

#endif
