#ifndef POLLENSTREAM_ADAPTERS_HTTP_OPEN_REQUESTS_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_OPEN_REQUESTS_HPP

#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/http/reply_channel.hpp>
#include <pollenstream/core/memory_budget.hpp>

#include <memory>
#include <set>

namespace pollenstream::adapters::http
{

class request_in_work;

/// The requests of a listener that have no complete reply. For the thread of
/// the listener's loop.
class open_requests
{
public:
    /// Answers all that have no reply, nor part of one.
    auto give_up_all( exchange::whole_answer const& answer ) -> void;

private:
    friend class request_in_work;

    std::set<request_in_work*> all_;
};

/// Holds what a request takes until it is answered, and is among `open` until
/// then.
class request_in_work : public asio::request_in_progress
{
public:
    request_in_work( std::shared_ptr<core::memory_claim> memory,
                     std::weak_ptr<reply_channel> reply,
                     std::shared_ptr<open_requests> open );
    ~request_in_work() override;
    request_in_work( request_in_work const& ) = delete;
    auto operator=( request_in_work const& ) -> request_in_work& = delete;

    /// Answers the request unless it has a reply, or part of one.
    auto give_up( exchange::whole_answer const& answer ) -> void;
    auto on_caller_gone() -> void override;

private:
    std::shared_ptr<core::memory_claim> memory_; ///< of the request
    std::weak_ptr<reply_channel> reply_;
    std::shared_ptr<open_requests> open_;
};

}

#endif
