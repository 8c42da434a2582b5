#ifndef TESTS_SUPPORT_TEST_FLEET_HPP
#define TESTS_SUPPORT_TEST_FLEET_HPP

#include "recorded_answer.hpp"
#include <pollenstream/profiles/profile.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/sessions/context.hpp>
#include <pollenstream/sessions/session.hpp>

#include <fake_engines.hpp>
#include <held_time.hpp>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;
namespace routing = pollenstream::routing;
namespace sessions = pollenstream::sessions;
namespace profiles = pollenstream::profiles;

/// Fake engines and the instances in front of them, one at first, on a clock
/// that the test advances.
class test_fleet
{
public:
    explicit test_fleet( int engines,
                         standins::engine_settings settings = {},
                         std::string const& policy = "predicted" );
    ~test_fleet();

    /// Sends a prompt of about `tokens` tokens.
    auto send( std::int64_t tokens, profiles::profile const& profile )
        -> std::shared_ptr<recorded_answer>;
    auto send_text( std::string prompt, profiles::profile const& profile )
        -> std::shared_ptr<recorded_answer>;

    /// Adds an instance in front of the same engines and returns its number.
    auto add_instance() -> std::size_t;
    auto send_through( std::size_t instance,
                       std::int64_t tokens,
                       profiles::profile const& profile )
        -> std::shared_ptr<recorded_answer>;

    auto target( std::string const& id ) -> std::shared_ptr<routing::target>;
    /// Engine at which the first instance has an open request; empty if none.
    auto busy_engine() -> std::string;

    standins::held_time time;
    standins::fake_engines engines{ time };

    struct instance
    {
        routing::target_table targets;
        std::unique_ptr<routing::target_policy> policy;
        pollenstream::admission::retry_budget retries;
        pollenstream::metrics::request_metrics metrics;
        std::unique_ptr<sessions::context> context;
    };
    std::vector<std::unique_ptr<instance>> instances;

private:
    std::vector<routing::target_identity> identities_;
    std::string policy_;
};

/// Profile of a model service whose deadlines are too long to matter.
auto patient_profile() -> profiles::profile;

/// The first `tokens` tokens that fake engines answer to `prompt`.
auto expected_answer( std::string const& prompt, std::int64_t tokens )
    -> std::string;

/// A prompt of about `tokens` tokens; each seed gives another one.
auto make_prompt( std::int64_t tokens, int seed = 0 ) -> std::string;

}

#endif
