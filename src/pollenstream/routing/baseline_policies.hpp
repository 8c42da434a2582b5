#ifndef POLLENSTREAM_ROUTING_BASELINE_POLICIES_HPP
#define POLLENSTREAM_ROUTING_BASELINE_POLICIES_HPP

#include <pollenstream/routing/target_policy.hpp>

#include <atomic>
#include <mutex>
#include <random>

namespace pollenstream::routing
{

/// Common part of the simple policies that the bench compares against: draws
/// among the targets that can take the work.
class baseline_policy : public target_policy
{
public:
    explicit baseline_policy( std::uint64_t seed );

    auto choose( target_list const& targets,
                 work_shape const& shape,
                 core::instant now ) -> std::optional<target_choice> override;

protected:
    /// Index into `usable`, which is not empty.
    virtual auto pick( target_list const& usable ) -> std::size_t = 0;
    auto draw( std::size_t below ) -> std::size_t;

private:
    std::mutex mutex_;
    std::mt19937_64 random_;
};

/// Any target, equally likely.
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

/// The target with the fewest requests, reported and own.
class least_requests_policy : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

protected:
    auto pick( target_list const& usable ) -> std::size_t override;
};

/// The better of two targets drawn at random, by requests.
class two_choices_policy : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

protected:
    auto pick( target_list const& usable ) -> std::size_t override;
};

}

#endif
