#include <pollenstream/adapters/asio/broken_answers.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace asio = pollenstream::adapters::asio;
namespace core = pollenstream::core;

// Guards against broken answers that no counter and no line names, and against
// a line for each of many.

namespace
{

class recorded_reports : public asio::broken_answer_observer
{
public:
    auto on_broken_answer( asio::broken_answer_report const& report )
        -> void override
    {
        all.push_back( report );
    }

    std::vector<asio::broken_answer_report> all;
};

auto answer_with( asio::answer_defect why ) -> asio::broken_answer
{
    return { why, { core::error_code::malformed, "detail" } };
}

auto const sender = core::address{ "127.0.0.1", 80 };

}

TEST_CASE( "broken answers are counted and reported by their defect",
           "[http_client][broken]" )
{
    constexpr auto times = 1'000;
    auto const reports = std::make_shared<recorded_reports>();
    auto broken = asio::broken_answers{};
    broken.observe( reports );
    for ( auto i = 0; i < times; ++i )
    {
        broken.note( sender, answer_with( asio::answer_defect::lost ) );
        broken.note( sender, answer_with( asio::answer_defect::cut ) );
    }
    CHECK( broken.count( asio::answer_defect::lost ) == times );
    CHECK( broken.count( asio::answer_defect::cut ) == times );
    CHECK( broken.count( asio::answer_defect::stray ) == 0 );
    REQUIRE( reports->all.size() >= 2 );
    CHECK( reports->all.size() < times );
    CHECK( reports->all[0].from == sender );
    CHECK( reports->all[0].count == 1 );
    CHECK( describe( reports->all[0] ) == "lost: detail" );
    CHECK( describe( reports->all[1] ) == "cut: detail" );
}

TEST_CASE( "a connection without any answer is no broken answer",
           "[http_client][broken]" )
{
    auto const reports = std::make_shared<recorded_reports>();
    auto broken = asio::broken_answers{};
    broken.observe( reports );
    broken.note( sender, answer_with( asio::answer_defect::missing ) );
    CHECK( broken.count( asio::answer_defect::missing ) == 0 );
    CHECK( reports->all.empty() );
}

TEST_CASE( "each defect of an answer has a name of its own",
           "[http_client][broken]" )
{
    constexpr auto defects =
        static_cast<int>( asio::answer_defect::number_of_defects );
    auto names = std::vector<std::string>{};
    for ( auto i = 0; i < defects; ++i )
        names.emplace_back( name_of( static_cast<asio::answer_defect>( i ) ) );
    std::sort( names.begin(), names.end() );
    CHECK( std::adjacent_find( names.begin(), names.end() ) == names.end() );
    CHECK( std::find( names.begin(), names.end(), "unknown" ) == names.end() );
}
