#include <pollenstream/scheduling/lateness_watch.hpp>

namespace pollenstream::scheduling
{

namespace
{

/// The reason why a request is late whose waiting time and prediction exceed
/// `objective` together.
auto reason_for( first_event_prediction const& what, core::duration objective )
    -> lateness_reason
{
    if ( what.predicted <= objective )
        return lateness_reason::waited;
    // The backlog can't be subtracted from the prediction: the chooser weighs
    // it by the order in which engines prefill.
    auto const is_by_prompt =
        what.own_prefill > objective || what.own_prefill >= what.backlog;
    return is_by_prompt ? lateness_reason::prompt : lateness_reason::backlog;
}

}

auto name_of( lateness_reason reason ) -> char const*
{
    switch ( reason )
    {
    case lateness_reason::waited:
        return "waited";
    case lateness_reason::backlog:
        return "backlog";
    case lateness_reason::prompt:
        return "prompt";
    }
    return "unnamed";
}

lateness_watch::lateness_watch( core::duration objective )
    : objective_( objective ), is_done_( objective <= core::duration( 0 ) )
{
}

auto lateness_watch::on_choice( first_event_prediction const& what )
    -> std::optional<lateness_reason>
{
    if ( is_done_ || what.waited + what.predicted <= objective_ )
        return std::nullopt;
    is_done_ = true;
    return reason_for( what, objective_ );
}

auto lateness_watch::on_wait( core::duration waited )
    -> std::optional<lateness_reason>
{
    if ( is_done_ || waited < objective_ )
        return std::nullopt;
    is_done_ = true;
    return lateness_reason::waited;
}

}
