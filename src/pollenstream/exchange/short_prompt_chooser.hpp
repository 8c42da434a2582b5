#ifndef POLLENSTREAM_EXCHANGE_SHORT_PROMPT_CHOOSER_HPP
#define POLLENSTREAM_EXCHANGE_SHORT_PROMPT_CHOOSER_HPP

#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/routes.hpp>
#include <pollenstream/scheduling/mix_forecast.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

// How the engine of a short prompt is chosen: packed onto few engines, or
// spread over as many as long prompts leave.

namespace pollenstream::exchange
{

using engine_list = std::vector<std::shared_ptr<target_entry>>;

/// An engine that may take a short prompt.
struct short_option
{
    std::shared_ptr<target_entry> target;
    double first_event_ms{ 0 }; ///< predicted first event, from now
    double capacity{ 0 };       ///< requests that it may still get
    /// Short prompts that can join it at once, this one included, until a first
    /// event is late.
    double max_joining{ 0 };
};

/// The option that `target` is for a short prompt with a prefill of
/// `own_prefill_ms`.
auto option_for( placement_demand const& demand,
                 engine_speed const& speed,
                 std::shared_ptr<target_entry> const& target,
                 double own_prefill_ms,
                 core::instant now ) -> short_option;

/// The options with the earliest predicted first event, or an equal one.
auto earliest_of( std::vector<short_option> options )
    -> std::vector<short_option>;

/// Requests that short prompts may fill of an engine's slots.
auto packed_slots_of( engine_speed const& speed ) -> std::int64_t;

/// True if an engine whose next pass takes `pass` ms with the prompt in it
/// still keeps the gap objective of the prompt.
auto keeps_gap_objective( placement_demand const& demand, double pass ) -> bool;

/// True if `target` prefills more than short prompts alone make it prefill.
auto prefills_long_prompt( target_entry const& target, core::instant now )
    -> bool;

/// The choice of `option` for a short prompt.
auto choice_of( placement_demand const& demand,
                engine_speed const& speed,
                short_option const& option ) -> placement_choice;

/// Chooses the engine of a short prompt.
class short_prompt_chooser
{
public:
    short_prompt_chooser() = default;
    virtual ~short_prompt_chooser() = default;
    short_prompt_chooser( short_prompt_chooser const& ) = delete;
    auto operator=( short_prompt_chooser const& )
        -> short_prompt_chooser& = delete;

    /// Chooses among `targets`, which are in the order in which short prompts
    /// fill them.
    [[nodiscard]] virtual auto choose( placement_demand const& demand,
                                       engine_speed const& speed,
                                       engine_list const& targets,
                                       core::instant now ) const
        -> placement_result = 0;
};

/// Packs short prompts onto the first engines that are predicted to be in time,
/// and draws among these. If there are none, the engines with the earliest
/// predicted first event are used.
class packing_chooser : public short_prompt_chooser
{
public:
    explicit packing_chooser( load_table const& loads ) : load_table_( loads )
    {
    }

    [[nodiscard]] auto choose( placement_demand const& demand,
                               engine_speed const& speed,
                               engine_list const& targets,
                               core::instant now ) const
        -> placement_result override;

private:
    load_table const& load_table_;
};

/// Spreads short prompts evenly over the engines that long prompts are not
/// expected to need, so that few of them share a pass. Where none of these is
/// in time, long prompts need or await engines, or there is no coordinator that
/// knows the work of all, it chooses like `packing`.
class spreading_chooser : public short_prompt_chooser
{
public:
    spreading_chooser( load_table const& loads,
                       short_prompt_chooser const& packing )
        : load_table_( loads ), packing_( packing )
    {
    }

    [[nodiscard]] auto choose( placement_demand const& demand,
                               engine_speed const& speed,
                               engine_list const& targets,
                               core::instant now ) const
        -> placement_result override;

private:
    load_table const& load_table_;
    short_prompt_chooser const& packing_;
};

/// The services whose short prompts are spread by the forecast of the mix. The
/// decision depends on the configuration only: the service has an engine model,
/// and routes with different gap objectives stream from it. With equal
/// objectives no route's answers suffer more than others from a shared pass.
auto spread_services( route_configuration const& configuration )
    -> scheduling::mix_forecast::settings_by_service;

/// Number of `targets`, from the first, over which short prompts of `service`
/// are spread now. Empty if they are packed.
auto engines_for_short( load_table const& loads,
                        core::service_id const& service,
                        engine_list const& targets,
                        core::instant now ) -> std::optional<std::size_t>;
/// The same among all engines of `service` that accept work now.
auto engines_for_short( load_table const& loads,
                        core::service_id const& service,
                        core::instant now ) -> std::optional<std::size_t>;

}

#endif
