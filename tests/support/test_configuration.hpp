#ifndef TESTS_SUPPORT_TEST_CONFIGURATION_HPP
#define TESTS_SUPPORT_TEST_CONFIGURATION_HPP

#include <pollenstream/adapters/http/configuration_text_codec.hpp>
#include <pollenstream/ports/key_value_store.hpp>
#include <pollenstream/state/configuration_holder.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <string>

namespace tests
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;
namespace state = pollenstream::state;

/// A document with the services `model` and `plain`, the profile
/// `quick-NUMBER` and profiles that do not depend on `number`.
auto sample_document( int number ) -> std::string;

auto make_change( std::string const& id, std::string const& text )
    -> state::requested_change;

auto has_profile( state::configuration_holder const& holder,
                  std::string const& name ) -> bool;

/// A store whose connection is lost after it has written the head of the
/// configuration: neither that write nor any later call is answered.
class disconnecting_store : public ports::key_value_store
{
public:
    explicit disconnecting_store( ports::key_value_store& store );

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

private:
    ports::key_value_store& store_;
    bool is_disconnected_{ false };
};

}

#endif
