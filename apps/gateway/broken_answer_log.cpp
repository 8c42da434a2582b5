#include "broken_answer_log.hpp"

namespace pollenstream::gateway
{

broken_answer_log::broken_answer_log( exchange::event_log& log ) : log_( log )
{
}

auto broken_answer_log::on_broken_answer(
    adapters::asio::broken_answer_report const& report ) -> void
{
    log_.record( exchange::state_change{ "answer",
                                         core::to_string( report.from ),
                                         "broken",
                                         describe( report ),
                                         {} } );
}

}
