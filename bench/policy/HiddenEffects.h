#pragma once

#include "bench/policy/Scenario.h"

#include <array>
#include <random>

namespace firefly::bench {

/// Processors really used on a worker by each kind of batch job, as shares of the worker.
using KindShares = std::array<double, KindCount>;

/// Slowdown of urgent calls by one another on a worker whose slots are all busy.
constexpr double FullWorkerSlowdown = 1.3;

/// The true slowdowns, which the policies only see through lagging reports.
class HiddenEffects
{
public:
    explicit HiddenEffects(std::mt19937_64 &random);

    /// Lets the two middle kinds change places.
    void shift();
    /// Slowdown of an urgent call beside \a shares on a worker whose slots are \a urgentLoad busy.
    double ofUrgent(const KindShares &shares, double urgentLoad) const;
    /// Slowdown of a task of \a kind beside \a shares, its own share taken out.
    double ofBatch(std::size_t kind, const KindShares &shares, double urgentLoad) const;

private:
    std::array<double, KindCount> m_onUrgent;
    std::array<std::array<double, KindCount>, KindCount> m_onBatch;
};

} // namespace firefly::bench
