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

/// One instance before some fake engines, in held time.
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

    /// Another instance before the same engines.
    auto add_instance() -> std::size_t;
    auto send_through( std::size_t instance,
                       std::int64_t tokens,
                       profiles::profile const& profile )
        -> std::shared_ptr<recorded_answer>;

    auto target( std::string const& id ) -> std::shared_ptr<routing::target>;
    /// Engine that the only open request runs at.
    auto busy_engine() -> std::string;

    standins::held_time time;
    standins::fake_engines engines{ time };

    struct instance
    {
        routing::target_table targets;
        std::unique_ptr<routing::target_policy> policy;
        pollenstream::admission::retry_budget retries;
        pollenstream::metrics::request_metrics metrics;
        std::unique_ptr<sessions::context> shared;
    };
    std::vector<std::unique_ptr<instance>> instances;

private:
    std::vector<routing::target_identity> identities_;
    std::string policy_;
};

/// A profile for a model with long times.
auto patient_profile() -> profiles::profile;

/// The whole answer that the stand-ins give to `prompt`.
auto expected_answer( std::string const& prompt, std::int64_t tokens )
    -> std::string;

/// A prompt of about `tokens` tokens; different seeds differ.
auto make_prompt( std::int64_t tokens, int seed = 0 ) -> std::string;

}

#endif
