#include "exchange_fixture.hpp"

namespace tests
{

namespace
{

using namespace std::chrono_literals;

auto make_route( std::string const& name,
                 exchange::request_kind kind,
                 std::string const& service ) -> exchange::route
{
    auto r = exchange::route{};
    r.id = exchange::route_id( name );
    r.host = "host";
    r.prefix = "/" + name + "/";
    r.kind = kind;
    r.timeout = 10s;
    r.latency_objective = 300ms;
    r.gap_objective = 200ms;
    r.max_targets = 2;
    r.services.push_back( { core::service_id( service ), 1 } );
    return r;
}

}

namespace
{

/// Each fixture is another process of the same instance.
auto next_incarnation() -> core::incarnation
{
    static auto last = std::int64_t{ 0 };
    return core::incarnation( ++last );
}

}

auto production_engine_speed() -> exchange::engine_speed
{
    auto s = exchange::engine_speed{};
    s.slots = 16;
    s.memory_tokens = 450'000;
    s.step_ms = 0.925;
    s.step_ms_per_request = 0.00483;
    s.step_ms_per_k_context = 0.00254;
    s.prefill_tokens_per_ms = 256;
    s.prefill_ms_per_m_pairs = 0.0917;
    s.prefill_chunk = 2048;
    s.steps_per_pass = 46;
    return s;
}

auto sample_configuration( int version ) -> exchange::configuration_ptr
{
    using exchange::request_kind;
    auto c = std::make_shared<exchange::route_configuration>();
    c->version = core::revision( version );
    auto chat = make_route( "chat", request_kind::stream, "model" );
    chat.resumable = true;
    auto audit = chat;
    audit.id = exchange::route_id( "audit" );
    audit.prefix = "/audit/";
    audit.timeout = 15s;
    audit.latency_objective = 3s;
    audit.gap_objective = 800ms;
    auto open = make_route( "open", request_kind::safe, "plain" );
    open.is_public = true;
    c->routes = { chat,
                  audit,
                  make_route( "once", request_kind::stream, "model" ),
                  make_route( "safe", request_kind::safe, "plain" ),
                  make_route( "unsafe", request_kind::unsafe, "plain" ),
                  open };
    auto model = exchange::service_settings{};
    model.id = core::service_id( "model" );
    model.engine = production_engine_speed();
    auto plain = exchange::service_settings{};
    plain.id = core::service_id( "plain" );
    c->services = { { model.id, model }, { plain.id, plain } };
    c->needs_keys = true;
    c->add_workspace( { core::workspace_id( "ws" ), std::nullopt }, { "key" } );
    c->index_routes();
    return c;
}

auto make_target( std::string const& id, std::string const& service )
    -> exchange::target_properties
{
    auto properties = exchange::target_properties{};
    properties.id = core::target_id( id );
    properties.service = core::service_id( service );
    properties.address = { "10.0.0.1",
                           static_cast<std::uint16_t>(
                               1000 + std::hash<std::string>{}( id ) % 1000 ) };
    properties.data_centre = core::data_centre_id( "a" );
    properties.slots = service == "model" ? 16 : 6;
    return properties;
}

exchange_fixture::exchange_fixture() : exchange_fixture( router ) {}

exchange_fixture::exchange_fixture(
    exchange::placement_client& placement_client )
    : context{ .scheduler = scheduler,
               .targets = targets,
               .probe = probe,
               .encoder = encoder,
               .reservations = reservations,
               .loads = loads,
               .crashes = crashes,
               .chooser = chooser,
               .placements = placement_client,
               .retries = retries,
               .path = path,
               .answer_memory = answer_memory,
               .queue = queue,
               .log = log,
               .announcer = announcer,
               .self = core::instance_id( "self" ),
               .incarnation = next_incarnation(),
               .configuration = sample_configuration( 1 ),
               .stop = std::nullopt,
               .last_serial = 0,
               .open = {},
               .counters = {},
               .random = std::minstd_rand( 1 ) }
{
    update_path();
    coordinator.set_configuration( context.configuration );
    for ( auto const* id : { "m1", "m2", "m3" } )
        loads.put( make_target( id, "model" ) );
    for ( auto const* id : { "p1", "p2" } )
        loads.put( make_target( id, "plain" ) );
}

auto exchange_fixture::update_path() -> void
{
    constexpr auto period = core::duration( 50ms );
    path.update( scheduler.now(), core::instant{}, 1 );
    path_call_ = scheduler.call_after( period,
                                       [this]
                                       {
                                           auto const done =
                                               std::move( path_call_ );
                                           update_path();
                                       } );
}

auto exchange_fixture::request( std::string const& path )
    -> exchange::caller_request
{
    auto r = exchange::caller_request{};
    r.id = exchange::attempt_id( std::to_string( ++last_attempt ) );
    r.method = "POST";
    r.target = path;
    r.host = "host";
    r.key = "key";
    r.time_limit = 10s;
    r.received = scheduler.now();
    if ( path.starts_with( "/chat/" ) || path.starts_with( "/audit/" ) ||
         path.starts_with( "/once/" ) )
        r.prompt = exchange::prompt_properties{ 5'000, 1'600, 0 };
    return r;
}

auto exchange_fixture::start( exchange::caller_request what )
    -> std::shared_ptr<exchange::exchange>
{
    auto started = std::make_shared<exchange::exchange>(
        context, std::move( what ), answer );
    started->start();
    return started;
}

}
