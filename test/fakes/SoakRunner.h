#pragma once

#include "Core.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace firefly::fakes {

/// One step of a schedule; the simulated world interprets \a kind and \a value.
struct SoakStep
{
    std::size_t kind = 0;
    std::uint32_t value = 0;
};

/// A simulated system driven by the steps of a schedule; throws when an invariant is violated.
template <typename World>
concept SoakWorld = requires(World &world, const SoakStep &step)
{
    World::weights();
    world.step(step);
    world.settle();
    world.trace();
    world.counts();
};

/// A violated invariant and the trace of the schedule, shrunk to the steps that reproduce it.
struct SoakFailure
{
    std::uint64_t seed = 0;
    std::string what;
    std::vector<std::string> trace;
};

/// Runs random schedules, each on a fresh world, and shrinks those that fail.
template <SoakWorld World>
class SoakRunner
{
public:
    static constexpr std::size_t StepsPerSchedule = 400;
    /// Upper bound on the schedules run while shrinking.
    static constexpr std::size_t MaxShrinkRuns = 2000;

    /// Runs the schedule generated from \a seed.  \returns the shrunk failure, if there was one.
    std::optional<SoakFailure> run(std::uint64_t seed)
    {
        std::vector<SoakStep> steps = makeSchedule(seed);
        auto failure = attempt(steps);
        ++m_schedules;
        if (!failure) {
            return std::nullopt;
        }
        shrink(steps, *failure);
        failure->seed = seed;
        return failure;
    }

    std::uint64_t schedules() const { return m_schedules; }
    std::uint64_t steps() const { return m_steps; }
    /// Number of events by name, summed over the schedules that passed.
    const std::map<std::string, std::uint64_t> &counts() const { return m_counts; }

private:
    static std::vector<SoakStep> makeSchedule(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        const auto weights = World::weights();
        std::discrete_distribution<std::size_t> kinds(weights.begin(), weights.end());
        std::vector<SoakStep> steps(StepsPerSchedule);
        for (SoakStep &it : steps) {
            it.kind = kinds(random);
            it.value = static_cast<std::uint32_t>(random());
        }
        return steps;
    }

    std::optional<SoakFailure> attempt(std::span<const SoakStep> steps)
    {
        World world;
        try {
            for (const SoakStep &it : steps) {
                ++m_steps;
                world.step(it);
            }
            world.settle();
            for (const auto &[name, n] : world.counts()) {
                m_counts[name] += n;
            }
        } catch (const std::exception &e) {
            return SoakFailure{0, e.what(), world.trace()};
        }
        return std::nullopt;
    }

    /// Removes steps in chunks of decreasing size as long as the same invariant is violated.
    void shrink(std::vector<SoakStep> &steps, SoakFailure &failure)
    {
        std::size_t runs = 0;
        for (std::size_t chunk = steps.size() / 2; chunk > 0; chunk /= 2) {
            for (std::size_t at = 0; at + chunk <= steps.size() && runs < MaxShrinkRuns; ++runs) {
                std::vector<SoakStep> fewer(steps);
                const auto first = fewer.begin() + static_cast<std::ptrdiff_t>(at);
                fewer.erase(first, first + static_cast<std::ptrdiff_t>(chunk));
                auto smaller = attempt(fewer);
                if (smaller && smaller->what == failure.what) {
                    steps = std::move(fewer);
                    failure = std::move(*smaller);
                } else {
                    at += chunk;
                }
            }
        }
    }

    std::uint64_t m_schedules = 0;
    std::uint64_t m_steps = 0;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace firefly::fakes
