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

/// Appends checks for one scenario.
class Checker
{
public:
    Checker(ScenarioResult &result, std::vector<TargetCheck> &checks)
        : m_result(result)
        , m_checks(checks)
    {}

    void atMost(const std::string &target, double measured, double limit)
    {
        m_checks.push_back({m_result.scenario.name, target, measured, limit, true});
    }

    void atLeast(const std::string &target, double measured, double limit)
    {
        m_checks.push_back({m_result.scenario.name, target, measured, limit, false});
    }

    Measures &of(const std::string &policy) { return m_result.byPolicy.at(policy); }

private:
    ScenarioResult &m_result;
    std::vector<TargetCheck> &m_checks;
};

void checkNoise(Checker &check)
{
    constexpr double P99 = 0.99;
    Measures &own = check.of("firefly");
    Measures &plain = check.of("least-outstanding");
    check.atMost("p99 over least outstanding's", ratio(own.quantileMs(P99), plain.quantileMs(P99)),
                 0.6);
    check.atMost("p99 over p99 without batch",
                 ratio(own.quantileMs(P99), check.of("no-batch").quantileMs(P99)), 1.3);
    check.atMost("late share over least outstanding's", ratio(own.lateShare(), plain.lateShare()),
                 1.0 / 3);
    check.atLeast("batch work over first fit's",
                  ratio(own.batchWorkSeconds, check.of("first-fit").batchWorkSeconds), 0.9);
    check.atMost("wasted share of batch work", own.wastedShare(), 0.05);
    check.atMost("evictions over the undamped policy's",
                 ratio(double(own.evictions), double(check.of("undamped").evictions)), 0.5);
}

/// Share of the capacity that each plan may have: what it asks for, or its weighted part of what
/// the others leave.
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
            const double wanted = load * planDemand(i);
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

/// \a load is the load offered, over the capacity.
void checkOverload(Checker &check, double load)
{
    constexpr double RefusalLimitMs = 10;
    constexpr double Fed = 0.8;
    Measures &own = check.of("firefly");
    double inTime = 0;
    double worst = std::numeric_limits<double>::infinity();
    const auto shares = fairShares(load);
    for (std::size_t i = 0; i < PlanCount; ++i) {
        const auto answered = double(own.planAnswered[i]);
        inTime += answered;
        worst = std::min(worst, ratio(answered, shares[i] * own.callCapacity));
    }
    check.atLeast("goodput over capacity", ratio(inTime, own.callCapacity), 0.9);
    check.atLeast("least fed plan over its fair share", worst, Fed);
    check.atMost("slowest refusal, ms", double(own.slowestRefusal.count()) / 1000, RefusalLimitMs);
    check.atMost("refusals without a time to come back", double(own.refusedWithoutTime), 0);
}

void checkFailingWorker(Checker &check)
{
    const Measures &own = check.of("firefly");
    check.atMost("failing worker's share of requests", own.faultyShare.share(), 0.01);
    check.atLeast("recovered worker's share over its share before",
                  ratio(own.shareAfter.share(), own.shareBefore.share()), 0.8);
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
            {"refusedWithoutTime", measures.refusedWithoutTime},
            {"slowestRefusalMs", double(measures.slowestRefusal.count()) / 1000},
            {"batchWorkSeconds", measures.batchWorkSeconds},
            {"jobsFinished", measures.jobsFinished},
            {"wastedShare", measures.wastedShare()},
            {"lostToEvictionSeconds", measures.lostToEviction},
            {"evictions", measures.evictions},
            {"throttles", measures.throttles},
            {"guardStops", measures.guardStops},
            {"neverRun", measures.neverRun},
            {"crossZoneShare", measures.crossZone.share()},
            {"extraWorstMinute", measures.extraWorstMinute},
            {"capacityOverruns", measures.overruns}};
}

nlohmann::json toJson(const TargetCheck &check)
{
    return {{"scenario", check.scenario},
            {"target", check.target},
            {"measured", check.measured},
            {"limit", check.limit},
            {"bound", check.atMost ? "at most" : "at least"},
            {"result", check.reached() ? "reached" : "missed"}};
}

std::vector<TargetCheck> checkTargets(std::vector<ScenarioResult> &results)
{
    std::vector<TargetCheck> checks;
    std::map<std::string, double> lateTargets;
    for (ScenarioResult &result : results) {
        Checker check(result, checks);
        const Scenario &scenario = result.scenario;
        if (!scenario.noisyWaves.empty()) {
            checkNoise(check);
            lateTargets[scenario.site.name] = check.of("least-outstanding").lateShare() / 3;
        }
        if (scenario.batchLoad == 0) {
            checkOverload(check, scenario.urgentLoad * FullWorkerSlowdown);
        }
        if (scenario.failingWorker.length() > Duration::zero()) {
            checkFailingWorker(check);
        }
        if (scenario.lostZone.length() > Duration::zero()
            && lateTargets.contains(scenario.site.name)) {
            check.atMost("late share from 5 s after a zone's loss",
                         check.of("firefly").lateAfterLoss.share(),
                         lateTargets[scenario.site.name]);
        }
        check.atMost("retries and hedges in the worst minute", check.of("firefly").extraWorstMinute,
                     0.1);
        std::uint64_t overruns = 0;
        for (const auto &[name, measures] : result.byPolicy) {
            overruns += measures.overruns;
        }
        check.atMost("capacity overruns, all policies", double(overruns), 0);
    }
    return checks;
}

} // namespace firefly::bench
