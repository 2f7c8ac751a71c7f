#include "bench/policy/Measures.h"

#include <algorithm>

namespace firefly::bench {
namespace {

constexpr double MicrosecondsPerMillisecond = 1000;

void addProportion(Proportion &part, const Proportion &other)
{
    part.matches += other.matches;
    part.total += other.total;
}

} // namespace

void Measures::add(const Measures &other)
{
    latenciesUs.insert(latenciesUs.end(), other.latenciesUs.begin(), other.latenciesUs.end());
    addProportion(late, other.late);
    addProportion(refused, other.refused);
    slowestRefusal = std::max(slowestRefusal, other.slowestRefusal);
    refusedWithoutRetryAfter += other.refusedWithoutRetryAfter;
    addProportion(crossZone, other.crossZone);
    for (std::size_t i = 0; i < PlanCount; ++i) {
        planAnswered[i] += other.planAnswered[i];
    }
    callCapacity += other.callCapacity;
    batchWorkSeconds += other.batchWorkSeconds;
    wastedSeconds += other.wastedSeconds;
    evictionLossSeconds += other.evictionLossSeconds;
    jobsFinished += other.jobsFinished;
    evictions += other.evictions;
    throttles += other.throttles;
    guardStops += other.guardStops;
    infeasibleJobs += other.infeasibleJobs;
    overruns += other.overruns;
    addProportion(failingWorkerShare, other.failingWorkerShare);
    addProportion(shareBeforeFailure, other.shareBeforeFailure);
    addProportion(shareAfterRecovery, other.shareAfterRecovery);
    addProportion(lateAfterZoneLoss, other.lateAfterZoneLoss);
    worstMinuteExtraRatio = std::max(worstMinuteExtraRatio, other.worstMinuteExtraRatio);
}

double Measures::quantileMs(double share)
{
    if (latenciesUs.empty()) {
        return 0;
    }
    const auto n = std::size_t(share * double(latenciesUs.size() - 1));
    const auto it = latenciesUs.begin() + std::ptrdiff_t(n);
    std::nth_element(latenciesUs.begin(), it, latenciesUs.end());
    return double(*it) / MicrosecondsPerMillisecond;
}

double Measures::wastedShare() const
{
    const double all = batchWorkSeconds + wastedSeconds;
    return all == 0 ? 0 : wastedSeconds / all;
}

} // namespace firefly::bench
