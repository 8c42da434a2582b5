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

/// A document with service `model`, `plain` and profile `quick-N`.
auto sample_document( int number ) -> std::string;

auto change_of( std::string const& id, std::string const& text )
    -> state::requested_change;

auto has_profile( state::configuration_holder const& holder,
                  std::string const& name ) -> bool;

/// A store that takes the write of the head, loses its answer, and answers
/// nobody after it.
class cut_after_head : public ports::key_value_store
{
public:
    explicit cut_after_head( ports::key_value_store& behind );

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
    ports::key_value_store& behind_;
    bool is_cut_{ false };
};

}

#endif
