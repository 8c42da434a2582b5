#include <pollenstream/routing/first_token_model.hpp>
#include <pollenstream/routing/predicted_policy.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace pollenstream::routing
{

namespace
{

/// Most targets scored for one choice. If a service has more, this many are
/// drawn at random.
constexpr auto max_scored = std::size_t{ 48 };
/// A target is nearly best if its score exceeds the best by at most the larger
/// of this share of the best score and this number of seconds.
constexpr auto near_best_ratio = 0.10;
constexpr auto near_best_seconds = 0.02;
/// Seconds of work that other instances may have sent to a target since its
/// last report; widens the margin of the nearly best for small prompts.
constexpr auto unreported_seconds = 0.03;
/// Prefixes that one instance remembers.
constexpr auto prefix_capacity = std::size_t{ 20'000 };
/// Seconds added for a target outside the preferred data centres: a few round
/// trips between data centres.
constexpr auto far_place_seconds = 0.005;
/// Lengths of a full batch step, in seconds. Up to the first, a long prompt
/// hardly delays a short one in the same batch, and no target is reserved; from
/// the second on, the whole share is reserved.
constexpr auto harmless_step_seconds = 0.10;
constexpr auto harmful_step_seconds = 0.20;
/// Score of one open request, in seconds, if `use_backlog` is off.
constexpr auto seconds_per_open_request = 0.1;

auto is_preferred( target const& candidate,
                   std::vector<core::data_centre_id> const& data_centres )
    -> bool
{
    return data_centres.empty() ||
           std::find( data_centres.begin(), data_centres.end(),
                      candidate.identity().data_centre ) != data_centres.end();
}

/// How much a long prompt delays a short one at the same target, from 0 to 1. A
/// target with short steps admits the short one at the next step; reserving it
/// would only cost the long prompts.
auto long_prompt_interference( target const& candidate ) -> double
{
    auto const step = candidate.full_step_seconds();
    return std::clamp( ( step - harmless_step_seconds ) /
                           ( harmful_step_seconds - harmless_step_seconds ),
                       0.0, 1.0 );
}

/// Output function of the SplitMix64 generator.
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
    target const* candidate{ nullptr };
    std::shared_ptr<target> const* shared{ nullptr };
    double score{ 0 };
    double first_token{ 0 };
    std::int64_t cached{ 0 };
    bool has_memory{ true };
};

struct predicted_policy::search_state
{
    request_shape const& shape;
    core::instant now;
    std::optional<cached_prefix> cached;
    double reserved{ 0 };
    std::array<scored_target, max_scored + 1> scored{};
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
    if ( !options_.use_reserved_share )
        return true;
    auto const reserved =
        reserved_share_.reserved_from( size_class_of( prompt_tokens ), now );
    return candidate.rank() >= reserved * long_prompt_interference( candidate );
}

auto predicted_policy::score( search_state const& state,
                              std::shared_ptr<target> const& candidate ) const
    -> std::optional<scored_target>
{
    auto const& shape = state.shape;
    if ( !can_take( *candidate, shape ) )
        return std::nullopt;
    auto const reserved =
        state.reserved * long_prompt_interference( *candidate );
    if ( candidate->rank() < reserved )
        return std::nullopt;
    auto found = scored_target{ candidate.get(), &candidate };
    auto const has_prefix =
        state.cached && state.cached->target == candidate->identity().id;
    if ( has_prefix )
        found.cached = std::min( state.cached->tokens, shape.prompt_tokens );
    auto const memory = shape.prompt_tokens + shape.output_tokens +
                        memory_margin_for( *candidate, shape.prompt_tokens );
    found.has_memory = memory <= candidate->free_memory();
    found.first_token = predict_first_token_seconds(
        *candidate,
        { shape.priority, shape.prompt_tokens - found.cached, memory },
        state.now );
    found.score = found.first_token;
    if ( !options_.use_backlog )
        found.score = seconds_per_open_request *
                      static_cast<double>( candidate->open_requests() );
    if ( !is_preferred( *candidate, shape.data_centres ) )
        found.score += far_place_seconds;
    return found;
}

auto predicted_policy::score_candidates( search_state& state,
                                         target_list const& targets ) -> void
{
    auto const add = [&]( std::shared_ptr<target> const& candidate )
    {
        auto const found = score( state, candidate );
        if ( !found || state.count == state.scored.size() )
            return;
        state.scored[state.count++] = *found;
        state.best = std::min( state.best, found->score );
    };
    if ( targets.size() <= max_scored )
    {
        for ( auto const& each : targets )
            add( each );
        return;
    }
    for ( auto i = std::size_t{ 0 }; i < max_scored; ++i )
        add( targets[next_random() % targets.size()] );
    if ( state.cached )
    {
        auto const cached_at = std::find_if( targets.begin(), targets.end(),
                                             [&]( auto const& each )
                                             {
                                                 return each->identity().id ==
                                                        state.cached->target;
                                             } );
        if ( cached_at != targets.end() )
            add( *cached_at );
    }
    // None of the drawn targets may be able to take the request.
    for ( auto at = targets.begin(); at != targets.end() && state.count == 0;
          ++at )
        add( *at );
}

auto predicted_policy::near_best_margin( search_state const& state ) const
    -> double
{
    // A report does not include what other instances have sent since. The
    // smaller this instance's share of the requests, the less reliable is the
    // order of the scores.
    auto own_requests = std::int64_t{ 0 };
    auto reported_requests = std::int64_t{ 0 };
    for ( auto i = std::size_t{ 0 }; i < state.count; ++i )
    {
        own_requests += state.scored[i].candidate->open_requests();
        reported_requests += state.scored[i].candidate->reported_requests();
    }
    auto const total =
        static_cast<double>( std::max( own_requests, reported_requests ) );
    auto const own_share =
        total > 0 ? static_cast<double>( own_requests ) / total : 1.0;
    auto const margin =
        std::max( near_best_seconds, near_best_ratio * state.best );
    auto const is_small =
        size_class_of( state.shape.prompt_tokens ) == size_class::small;
    return is_small ? margin + ( 1.0 - own_share ) * unreported_seconds
                    : margin;
}

auto predicted_policy::draw_near_best( search_state const& state )
    -> scored_target
{
    auto const max_score = options_.use_spread
                               ? state.best + near_best_margin( state )
                               : state.best;
    auto chosen = scored_target{};
    auto seen = std::uint64_t{ 0 };
    for ( auto i = std::size_t{ 0 }; i < state.count; ++i )
    {
        if ( state.scored[i].score > max_score )
            continue;
        ++seen;
        if ( next_random() % seen == 0 )
            chosen = state.scored[i];
    }
    return chosen;
}

auto predicted_policy::choose( target_list const& targets,
                               request_shape const& shape,
                               core::instant now )
    -> std::optional<target_choice>
{
    auto state = search_state{ shape, now, std::nullopt };
    if ( options_.use_reserved_share )
        state.reserved = reserved_share_.reserved_from(
            size_class_of( shape.prompt_tokens ), now );
    if ( options_.use_affinity )
        state.cached = prefixes_.find( shape.prefixes );
    score_candidates( state, targets );
    if ( state.count == 0 && state.reserved > 0 )
    {
        // Better on a reserved target than on none.
        state.reserved = 0;
        score_candidates( state, targets );
    }
    if ( state.count == 0 )
        return std::nullopt;
    auto const best = draw_near_best( state );
    auto const first_token = core::duration_of( best.first_token );
    auto const output = core::duration_of(
        predict_decode_seconds( *best.candidate, shape.output_tokens, now ) );
    return target_choice{ *best.shared, first_token, first_token + output,
                          best.cached, best.has_memory };
}

auto predicted_policy::note_dispatch( target_choice const& choice,
                                      request_shape const& shape,
                                      core::instant now ) -> void
{
    reserved_share_.note( shape.prompt_tokens, now );
    prefixes_.note( shape.prefixes, choice.chosen->identity().id );
}

auto predicted_policy::note_cached( core::target_id const& engine,
                                    core::prefix_chain const& prefixes ) -> void
{
    prefixes_.note( prefixes, engine );
}

}
