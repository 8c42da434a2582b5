#ifndef TESTS_SUPPORT_RECORDED_CALL_HPP
#define TESTS_SUPPORT_RECORDED_CALL_HPP

#include <pollenstream/adapters/asio/http_call.hpp>

#include <optional>
#include <string>
#include <utility>

namespace tests
{

/// Records one answer and its end.
class recorded_call : public pollenstream::adapters::asio::http_listener
{
public:
    auto on_head( pollenstream::adapters::asio::raw_head received )
        -> void override
    {
        head = std::move( received );
    }
    auto on_body( std::string bytes ) -> void override
    {
        body += bytes;
    }
    auto on_end( pollenstream::exchange::attempt_end ended ) -> void override
    {
        end = std::move( ended );
    }

    std::optional<pollenstream::adapters::asio::raw_head> head;
    std::string body;
    std::optional<pollenstream::exchange::attempt_end> end;
};

}

#endif
