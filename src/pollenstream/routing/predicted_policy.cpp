#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/routing/first_token_model.hpp>
#include <pollenstream/routing/predicted_policy.hpp>

#include <algorithm>
#include <limits>

namespace pollenstream::routing
{

namespace
{

/// Targets looked at for one choice.
constexpr auto sample_size = std::size_t{ 8 };
/// Prefixes remembered by one instance.
constexpr auto prefix_capacity = std::size_t{ 20'000 };
/// Added for a target outside of the preferred places, in seconds: a few
/// round trips between data centres.
constexpr auto far_place_seconds = 0.005;
/// Seconds that an open request stands for where tokens are not counted.
constexpr auto seconds_per_open_request = 0.1;

auto is_preferred( target const& candidate,
                   std::vector<core::place_id> const& places ) -> bool
{
    return places.empty() ||
           std::find( places.begin(), places.end(),
                      candidate.identity().place ) != places.end();
}

auto mix_bits( std::uint64_t x ) -> std::uint64_t
{
    x ^= x >> 30U;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27U;
    x *= 0x94d049bb133111ebULL;
    return x ^ ( x >> 31U );
}

}

struct predicted_policy::search
{
    work_shape const& shape;
    core::instant now;
    std::optional<prefix_home> home;
    double share_kept_clear{ 0 };
    bool is_long{ false };
    double best_score{ std::numeric_limits<double>::infinity() };
    double best_first_token{ 0 };
    std::shared_ptr<target> best;
    std::int64_t best_cached{ 0 };
};

predicted_policy::predicted_policy( predicted_options options )
    : options_( options ), prefixes_( prefix_capacity ),
      random_( options.seed * 0x9e3779b97f4a7c15ULL )
{
}

auto predicted_policy::next_random() -> std::uint64_t
{
    constexpr auto golden = 0x9e3779b97f4a7c15ULL;
    return mix_bits( random_.fetch_add( golden, std::memory_order_relaxed ) );
}

auto predicted_policy::is_kept_clear( target const& candidate,
                                      double share ) const -> bool
{
    if ( share <= 0 )
        return false;
    // The same targets on every instance: the hash of the id decides.
    return candidate.rank() < share;
}

auto predicted_policy::consider(
    search& state, std::shared_ptr<target> const& candidate ) const -> void
{
    if ( !can_take( *candidate, state.shape ) )
        return;
    if ( state.is_long && is_kept_clear( *candidate, state.share_kept_clear ) )
        return;
    auto const is_home =
        state.home && state.home->target == candidate->identity().id;
    auto const cached =
        is_home ? std::min( state.home->tokens, state.shape.prompt_tokens ) : 0;
    auto const demand =
        prefill_demand{ state.shape.order, state.shape.prompt_tokens - cached,
                        state.shape.prompt_tokens + state.shape.output_tokens };
    auto const first_token =
        predict_first_token( *candidate, demand, state.now );
    auto score = first_token;
    if ( !options_.use_backlog )
        score = seconds_per_open_request *
                static_cast<double>( candidate->open_requests() );
    if ( !is_preferred( *candidate, state.shape.places ) )
        score += far_place_seconds;
    if ( score >= state.best_score )
        return;
    state.best_score = score;
    state.best_first_token = first_token;
    state.best = candidate;
    state.best_cached = cached;
}

auto predicted_policy::choose( target_list const& targets,
                               work_shape const& shape,
                               core::instant now )
    -> std::optional<target_choice>
{
    auto state = search{ shape, now, std::nullopt };
    state.is_long = clear_share::is_long( shape.prompt_tokens );
    if ( options_.use_clear_share && state.is_long )
        state.share_kept_clear = clear_share_.share( now );
    if ( options_.use_affinity )
        state.home = prefixes_.find( shape.prefixes );
    auto const looks_at_all =
        !options_.use_sampling || targets.size() <= sample_size;
    if ( !looks_at_all )
    {
        for ( auto i = std::size_t{ 0 }; i < sample_size; ++i )
            consider( state, targets[next_random() % targets.size()] );
    }
    if ( state.home && !looks_at_all )
    {
        for ( auto const& each : targets )
        {
            if ( each->identity().id == state.home->target )
                consider( state, each );
        }
    }
    // A long prompt, or one drawn among unusable targets, may not have met a
    // target that can take it.
    if ( !state.best )
    {
        for ( auto const& each : targets )
            consider( state, each );
    }
    if ( !state.best )
        return std::nullopt;
    core::check_invariant( core::invariant::leaving_gets_no_work,
                           state.best->phase() != target_phase::gone,
                           state.best->identity().id.str() );
    auto const first_token = core::duration_of( state.best_first_token );
    auto const output =
        core::duration_of( predict_output( *state.best, shape.output_tokens ) );
    return target_choice{ state.best, first_token, first_token + output,
                          state.best_cached };
}

auto predicted_policy::note_dispatch( target_choice const& choice,
                                      work_shape const& shape,
                                      core::instant now ) -> void
{
    clear_share_.note( shape.prompt_tokens, now );
    prefixes_.note( shape.prefixes, choice.chosen->identity().id );
}

auto predicted_policy::note_cached( core::target_id const& at,
                                    core::prefix_chain const& prefixes ) -> void
{
    prefixes_.note( prefixes, at );
}

}
