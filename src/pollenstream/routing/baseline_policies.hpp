#ifndef POLLENSTREAM_ROUTING_BASELINE_POLICIES_HPP
#define POLLENSTREAM_ROUTING_BASELINE_POLICIES_HPP

#include <pollenstream/routing/target_policy.hpp>

#include <atomic>
#include <mutex>
#include <random>

namespace pollenstream::routing
{

/// Base of the simple policies that serve as baselines in the benchmark. It
/// offers `pick` the targets that can take the request.
class baseline_policy : public target_policy
{
public:
    explicit baseline_policy( std::uint64_t seed );

    auto choose( target_list const& targets,
                 request_shape const& shape,
                 core::instant now ) -> std::optional<target_choice> override;

protected:
    /// Index of the chosen target in `usable`, which is not empty.
    virtual auto pick( target_list const& usable ) -> std::size_t = 0;
    /// A random index below `size`.
    auto random_index( std::size_t size ) -> std::size_t;

private:
    std::mutex mutex_;
    std::mt19937_64 random_;
};

/// A target drawn uniformly at random.
class random_policy : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

protected:
    auto pick( target_list const& usable ) -> std::size_t override;
};

/// Each target in turn.
class round_robin_policy : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

protected:
    auto pick( target_list const& usable ) -> std::size_t override;

private:
    std::atomic<std::size_t> next_{ 0 };
};

/// The target with the fewest requests: the larger of its reported requests and
/// this instance's open ones.
class least_requests_policy : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

protected:
    auto pick( target_list const& usable ) -> std::size_t override;
};

/// Of two targets drawn at random, the one with fewer requests.
class two_choices_policy : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

protected:
    auto pick( target_list const& usable ) -> std::size_t override;
};

}

#endif
