#include "bench/policy/Report.h"

#include "bench/policy/Arrivals.h"
#include "bench/policy/HiddenEffects.h"

#include <algorithm>
#include <array>
#include <limits>

namespace firefly::bench {
namespace {

double ratio(double a, double b)
{
    return b == 0 ? (a == 0 ? 0 : std::numeric_limits<double>::infinity()) : a / b;
}

/// Appends the target checks of one scenario.
class TargetChecker
{
public:
    TargetChecker(ScenarioResult &result, std::vector<TargetCheck> &checks)
        : m_result(result)
        , m_checks(checks)
    {}

    void addUpperBound(const std::string &target, double measured, double limit)
    {
        m_checks.push_back({m_result.scenario.name, target, measured, limit, true});
    }

    void addLowerBound(const std::string &target, double measured, double limit)
    {
        m_checks.push_back({m_result.scenario.name, target, measured, limit, false});
    }

    Measures &measuresOf(const std::string &policy) { return m_result.byPolicy.at(policy); }

private:
    ScenarioResult &m_result;
    std::vector<TargetCheck> &m_checks;
};

void checkNoisyWaves(TargetChecker &check)
{
    constexpr double P99 = 0.99;
    Measures &own = check.measuresOf("firefly");
    Measures &baseline = check.measuresOf("least-outstanding");
    check.addUpperBound("p99 over least outstanding's",
                        ratio(own.quantileMs(P99), baseline.quantileMs(P99)), 0.6);
    check.addUpperBound("p99 over p99 without batch",
                        ratio(own.quantileMs(P99), check.measuresOf("no-batch").quantileMs(P99)),
                        1.3);
    check.addUpperBound("late share over least outstanding's",
                        ratio(own.lateShare(), baseline.lateShare()), 1.0 / 3);
    check.addLowerBound("batch work over first fit's",
                        ratio(own.batchWorkSeconds, check.measuresOf("first-fit").batchWorkSeconds),
                        0.9);
    check.addUpperBound("wasted share of batch work", own.wastedShare(), 0.05);
    check.addUpperBound(
        "evictions over the undamped policy's",
        ratio(double(own.evictions), double(check.measuresOf("undamped").evictions)), 0.5);
}

/// Weighted max-min fair share of the capacity for each plan, where \a load is the total demand
/// over the capacity.
std::array<double, PlanCount> fairShares(double load)
{
    std::array<double, PlanCount> shares{};
    double left = 1;
    std::array<bool, PlanCount> satisfied{};
    for (std::size_t round = 0; round < PlanCount; ++round) {
        double weights = 0;
        for (std::size_t i = 0; i < PlanCount; ++i) {
            weights += satisfied[i] ? 0 : double(planWeight(i));
        }
        const double perWeight = weights == 0 ? 0 : left / weights;
        for (std::size_t i = 0; i < PlanCount; ++i) {
            const double wanted = load * planDemandShare(i);
            if (satisfied[i]) {
                continue;
            }
            shares[i] = std::min(wanted, perWeight * double(planWeight(i)));
            if (wanted <= perWeight * double(planWeight(i))) {
                satisfied[i] = true;
                left -= wanted;
            }
        }
    }
    return shares;
}

/// \a load is the offered load over the capacity.
void checkOverload(TargetChecker &check, double load)
{
    constexpr double RefusalLimitMs = 10;
    constexpr double MinFairShareRatio = 0.8;
    Measures &own = check.measuresOf("firefly");
    double inTime = 0;
    double lowestRatio = std::numeric_limits<double>::infinity();
    const auto shares = fairShares(load);
    for (std::size_t i = 0; i < PlanCount; ++i) {
        const auto answered = double(own.planAnswered[i]);
        inTime += answered;
        lowestRatio = std::min(lowestRatio, ratio(answered, shares[i] * own.callCapacity));
    }
    check.addLowerBound("goodput over capacity", ratio(inTime, own.callCapacity), 0.9);
    check.addLowerBound("least fed plan over its fair share", lowestRatio, MinFairShareRatio);
    check.addUpperBound("slowest refusal, ms", double(own.slowestRefusal.count()) / 1000,
                        RefusalLimitMs);
    check.addUpperBound("refusals without a time to come back",
                        double(own.refusedWithoutRetryAfter), 0);
}

void checkFailingWorker(TargetChecker &check)
{
    const Measures &own = check.measuresOf("firefly");
    check.addUpperBound("failing worker's share of requests", own.failingWorkerShare.share(), 0.01);
    check.addLowerBound("recovered worker's share over its share before",
                        ratio(own.shareAfterRecovery.share(), own.shareBeforeFailure.share()), 0.8);
}

} // namespace

nlohmann::json toJson(Measures &measures)
{
    constexpr double Median = 0.5;
    constexpr double P99 = 0.99;
    constexpr double P999 = 0.999;
    return {{"p50Ms", measures.quantileMs(Median)},
            {"p99Ms", measures.quantileMs(P99)},
            {"p999Ms", measures.quantileMs(P999)},
            {"lateShare", measures.lateShare()},
            {"refusedShare", measures.refused.share()},
            {"refusedWithoutTime", measures.refusedWithoutRetryAfter},
            {"slowestRefusalMs", double(measures.slowestRefusal.count()) / 1000},
            {"batchWorkSeconds", measures.batchWorkSeconds},
            {"jobsFinished", measures.jobsFinished},
            {"wastedShare", measures.wastedShare()},
            {"lostToEvictionSeconds", measures.evictionLossSeconds},
            {"evictions", measures.evictions},
            {"throttles", measures.throttles},
            {"guardStops", measures.guardStops},
            {"neverRun", measures.infeasibleJobs},
            {"crossZoneShare", measures.crossZone.share()},
            {"extraWorstMinute", measures.worstMinuteExtraRatio},
            {"capacityOverruns", measures.overruns}};
}

nlohmann::json toJson(const TargetCheck &check)
{
    return {{"scenario", check.scenario},
            {"target", check.target},
            {"measured", check.measured},
            {"limit", check.limit},
            {"bound", check.isUpperBound ? "at most" : "at least"},
            {"result", check.isReached() ? "reached" : "missed"}};
}

std::vector<TargetCheck> checkTargets(std::vector<ScenarioResult> &results)
{
    std::vector<TargetCheck> checks;
    std::map<std::string, double> lateShareLimits;
    for (ScenarioResult &result : results) {
        TargetChecker check(result, checks);
        const Scenario &scenario = result.scenario;
        if (!scenario.noisyWaves.empty()) {
            checkNoisyWaves(check);
            lateShareLimits[scenario.site.name] =
                check.measuresOf("least-outstanding").lateShare() / 3;
        }
        if (scenario.batchLoad == 0) {
            checkOverload(check, scenario.urgentLoad * FullWorkerSlowdown);
        }
        if (scenario.failingWorker.length() > Duration::zero()) {
            checkFailingWorker(check);
        }
        if (scenario.lostZone.length() > Duration::zero()
            && lateShareLimits.contains(scenario.site.name)) {
            check.addUpperBound("late share from 5 s after a zone's loss",
                                check.measuresOf("firefly").lateAfterZoneLoss.share(),
                                lateShareLimits[scenario.site.name]);
        }
        check.addUpperBound("retries and hedges in the worst minute",
                            check.measuresOf("firefly").worstMinuteExtraRatio, 0.1);
        std::uint64_t overruns = 0;
        for (const auto &[name, measures] : result.byPolicy) {
            overruns += measures.overruns;
        }
        check.addUpperBound("capacity overruns, all policies", double(overruns), 0);
    }
    return checks;
}

} // namespace firefly::bench
