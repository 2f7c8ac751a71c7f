#include "bench/policy/Measures.h"

#include <algorithm>

namespace firefly::bench {
namespace {

constexpr double MicrosecondsPerMillisecond = 1000;

void addPart(Part &part, const Part &other)
{
    part.some += other.some;
    part.all += other.all;
}

} // namespace

void Measures::add(const Measures &other)
{
    latenciesUs.insert(latenciesUs.end(), other.latenciesUs.begin(), other.latenciesUs.end());
    addPart(late, other.late);
    addPart(refused, other.refused);
    slowestRefusal = std::max(slowestRefusal, other.slowestRefusal);
    refusedWithoutTime += other.refusedWithoutTime;
    addPart(crossZone, other.crossZone);
    for (std::size_t i = 0; i < PlanCount; ++i) {
        planAnswered[i] += other.planAnswered[i];
    }
    callCapacity += other.callCapacity;
    batchWorkSeconds += other.batchWorkSeconds;
    wastedSeconds += other.wastedSeconds;
    lostToEviction += other.lostToEviction;
    jobsFinished += other.jobsFinished;
    evictions += other.evictions;
    throttles += other.throttles;
    guardStops += other.guardStops;
    neverRun += other.neverRun;
    overruns += other.overruns;
    addPart(faultyShare, other.faultyShare);
    addPart(shareBefore, other.shareBefore);
    addPart(shareAfter, other.shareAfter);
    addPart(lateAfterLoss, other.lateAfterLoss);
    extraWorstMinute = std::max(extraWorstMinute, other.extraWorstMinute);
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
