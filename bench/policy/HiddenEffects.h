#pragma once

#include "bench/policy/Scenario.h"

#include <array>
#include <random>

namespace firefly::bench {

/// Processors used by each kind of batch job on a worker, as shares of its capacity.
using KindShares = std::array<double, KindCount>;

/// Slowdown that urgent calls cause each other on a worker with all slots busy.
constexpr double FullWorkerSlowdown = 1.3;

/// The actual interference between workloads; policies observe it only through lagging reports.
class HiddenEffects
{
public:
    explicit HiddenEffects(std::mt19937_64 &random);

    /// Swaps the effects of the kinds 1 and 2 on urgent calls.
    void swapMiddleKinds();
    /// Slowdown of an urgent call on a worker with the batch load \a shares, of whose slots the
    /// share \a urgentLoad is busy.
    double urgentSlowdown(const KindShares &shares, double urgentLoad) const;
    /// Slowdown of a task of \a kind by other tasks, whose \a shares exclude its own, and by calls.
    double batchSlowdown(std::size_t kind, const KindShares &shares, double urgentLoad) const;

private:
    std::array<double, KindCount> m_onUrgent;
    std::array<std::array<double, KindCount>, KindCount> m_onBatch;
};

} // namespace firefly::bench
