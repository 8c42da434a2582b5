#include <pollenstream/routing/first_token_model.hpp>
#include <pollenstream/routing/predicted_policy.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace pollenstream::routing
{

namespace
{

/// Targets looked at for one choice; out of more, so many are drawn.
constexpr auto most_scored = std::size_t{ 48 };
/// A target counts as nearly best up to this much above the best, as a part
/// of it and in seconds.
constexpr auto near_part = 0.10;
constexpr auto near_seconds = 0.02;
/// Seconds of work at a target that others may have sent since its report.
constexpr auto unseen_seconds = 0.03;
/// Prefixes remembered by one instance.
constexpr auto prefix_capacity = std::size_t{ 20'000 };
/// Added for a target outside of the preferred places, in seconds: a few
/// round trips between data centres.
constexpr auto far_place_seconds = 0.005;
/// Steps of this length, in seconds, do a short prompt beside a long one no
/// harm to speak of, and full harm.
constexpr auto harmless_step = 0.10;
constexpr auto harmful_step = 0.20;
/// Seconds that an open request stands for where tokens are not counted.
constexpr auto seconds_per_open_request = 0.1;

auto is_preferred( target const& candidate,
                   std::vector<core::data_centre_id> const& data_centres )
    -> bool
{
    return data_centres.empty() ||
           std::find( data_centres.begin(), data_centres.end(),
                      candidate.identity().data_centre ) != data_centres.end();
}

/// How much a long prompt harms a short one at the same target, from 0 to 1. A
/// target that reads in short steps lets the short one in at the next; keeping
/// it clear would only cost the long ones.
auto harm_beside_long( target const& candidate ) -> double
{
    auto const step = candidate.full_step_seconds();
    return std::clamp(
        ( step - harmless_step ) / ( harmful_step - harmless_step ), 0.0, 1.0 );
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

struct predicted_policy::scored_target
{
    target const* which{ nullptr };
    std::shared_ptr<target> const* owner{ nullptr };
    double score{ 0 };
    double first_token{ 0 };
    std::int64_t cached{ 0 };
    bool has_memory{ true };
};

struct predicted_policy::search
{
    work_shape const& shape;
    core::instant now;
    std::optional<prefix_home> home;
    double kept_clear{ 0 };
    std::array<scored_target, most_scored + 1> scored{};
    std::size_t count{ 0 };
    double best{ std::numeric_limits<double>::infinity() };
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

auto predicted_policy::may_place( target const& candidate,
                                  std::int64_t prompt_tokens,
                                  core::instant now ) -> bool
{
    if ( !options_.use_clear_share )
        return true;
    auto const kept = clear_share_.kept_from( size_of( prompt_tokens ), now );
    return candidate.rank() >= kept * harm_beside_long( candidate );
}

auto predicted_policy::score( search const& state,
                              std::shared_ptr<target> const& candidate ) const
    -> std::optional<scored_target>
{
    auto const& shape = state.shape;
    if ( !can_take( *candidate, shape ) )
        return std::nullopt;
    auto const kept = state.kept_clear * harm_beside_long( *candidate );
    if ( candidate->rank() < kept )
        return std::nullopt;
    auto found = scored_target{ candidate.get(), &candidate };
    auto const is_home =
        state.home && state.home->target == candidate->identity().id;
    if ( is_home )
        found.cached = std::min( state.home->tokens, shape.prompt_tokens );
    auto const memory = shape.prompt_tokens + shape.output_tokens +
                        memory_margin_for( *candidate, shape.prompt_tokens );
    found.has_memory = memory <= candidate->free_memory();
    found.first_token = predict_first_token(
        *candidate, { shape.order, shape.prompt_tokens - found.cached, memory },
        state.now );
    found.score = found.first_token;
    if ( !options_.use_backlog )
        found.score = seconds_per_open_request *
                      static_cast<double>( candidate->open_requests() );
    if ( !is_preferred( *candidate, shape.data_centres ) )
        found.score += far_place_seconds;
    return found;
}

auto predicted_policy::collect( search& state, target_list const& targets )
    -> void
{
    auto const add = [&]( std::shared_ptr<target> const& candidate )
    {
        auto const found = score( state, candidate );
        if ( !found || state.count == state.scored.size() )
            return;
        state.scored[state.count++] = *found;
        state.best = std::min( state.best, found->score );
    };
    if ( targets.size() <= most_scored )
    {
        for ( auto const& each : targets )
            add( each );
        return;
    }
    for ( auto i = std::size_t{ 0 }; i < most_scored; ++i )
        add( targets[next_random() % targets.size()] );
    if ( state.home )
    {
        auto const home =
            std::find_if( targets.begin(), targets.end(),
                          [&]( auto const& each )
                          {
                              return each->identity().id == state.home->target;
                          } );
        if ( home != targets.end() )
            add( *home );
    }
    // The draw may have met none that can take the work.
    for ( auto at = targets.begin(); at != targets.end() && state.count == 0;
          ++at )
        add( *at );
}

auto predicted_policy::near_width( search const& state ) const -> double
{
    // The reports tell what others sent before them, and nothing of what they
    // send now. The smaller the own part of the work, the less the order of
    // the targets can be trusted.
    auto own = std::int64_t{ 0 };
    auto all = std::int64_t{ 0 };
    for ( auto i = std::size_t{ 0 }; i < state.count; ++i )
    {
        own += state.scored[i].which->open_requests();
        all += state.scored[i].which->reported_requests();
    }
    auto const whole = static_cast<double>( std::max( own, all ) );
    auto const part = whole > 0 ? static_cast<double>( own ) / whole : 1.0;
    auto const width = std::max( near_seconds, near_part * state.best );
    auto const is_small =
        size_of( state.shape.prompt_tokens ) == size_class::small;
    return is_small ? width + ( 1.0 - part ) * unseen_seconds : width;
}

auto predicted_policy::draw_among_best( search const& state ) -> scored_target
{
    auto const limit =
        options_.use_spread ? state.best + near_width( state ) : state.best;
    auto chosen = scored_target{};
    auto seen = std::uint64_t{ 0 };
    for ( auto i = std::size_t{ 0 }; i < state.count; ++i )
    {
        if ( state.scored[i].score > limit )
            continue;
        ++seen;
        if ( next_random() % seen == 0 )
            chosen = state.scored[i];
    }
    return chosen;
}

auto predicted_policy::choose( target_list const& targets,
                               work_shape const& shape,
                               core::instant now )
    -> std::optional<target_choice>
{
    auto state = search{ shape, now, std::nullopt };
    if ( options_.use_clear_share )
        state.kept_clear =
            clear_share_.kept_from( size_of( shape.prompt_tokens ), now );
    if ( options_.use_affinity )
        state.home = prefixes_.find( shape.prefixes );
    collect( state, targets );
    if ( state.count == 0 && state.kept_clear > 0 )
    {
        // Better beside short work than not at all.
        state.kept_clear = 0;
        collect( state, targets );
    }
    if ( state.count == 0 )
        return std::nullopt;
    auto const best = draw_among_best( state );
    auto const first_token = core::duration_of( best.first_token );
    auto const output = core::duration_of(
        predict_output( *best.which, shape.output_tokens, now ) );
    return target_choice{ *best.owner, first_token, first_token + output,
                          best.cached, best.has_memory };
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
