#include <pollenstream/adapters/asio/broken_answers.hpp>

#include <utility>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;

/// Between two reports of the same defect.
constexpr auto min_report_interval = 1s;

}

auto describe( broken_answer_report const& report ) -> std::string
{
    auto text = std::string( name_of( report.what.why ) ) + ": " +
                report.what.error.detail;
    if ( report.count > 1 )
        text += ", " + std::to_string( report.count ) + " since the last line";
    return text;
}

auto broken_answers::observe( std::shared_ptr<broken_answer_observer> observer )
    -> void
{
    observer_ = std::move( observer );
}

auto broken_answers::note( core::address const& from,
                           broken_answer const& what ) -> void
{
    if ( what.why == answer_defect::missing )
        return;
    auto& tally = tallies_.at( static_cast<std::size_t>( what.why ) );
    tally.total.add();
    auto const now = std::chrono::steady_clock::now();
    if ( !observer_ || ( tally.reported_at &&
                         now - *tally.reported_at < min_report_interval ) )
        return;
    auto const total = tally.total.value();
    auto const count = total - std::exchange( tally.reported, total );
    tally.reported_at = now;
    observer_->on_broken_answer( { from, what, count } );
}

auto broken_answers::count( answer_defect why ) const -> std::uint64_t
{
    return tallies_.at( static_cast<std::size_t>( why ) ).total.value();
}

}
