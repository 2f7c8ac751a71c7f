#include "bench/policy/Arrivals.h"

#include "bench/policy/Measures.h"

#include <cmath>

namespace firefly::bench {
namespace {

constexpr double LoadShiftFactor = 1.4;
constexpr double NoisyWaveFactor = 3;
constexpr double IdempotentShare = 0.8;
constexpr double InfeasibleShare = 0.005;
constexpr std::size_t NoisyKind = 3;
constexpr double MedianJobSeconds = 30;
constexpr double JobSigma = 0.6;
/// Actual over declared resources, by kind: below 1 the declaration is too large, above too small.
constexpr std::array<double, KindCount> ActualSizeRatio = {0.5, 0.8, 1.2, 0.7};
constexpr std::array<double, KindCount> KindShare = {0.35, 0.3, 0.2, 0.15};
constexpr std::array<double, PlanCount> PlanDemandShares = {0.55, 0.15, 0.15, 0.15};
constexpr std::array<std::int64_t, PlanCount> PlanWeights = {1, 1, 2, 4};
constexpr std::array<std::int64_t, KindCount> DeclaredProcessors = {2, 4, 4, 8};
constexpr std::int64_t MemoryPerProcessorMiB = 3000;
constexpr std::int64_t MilliPerProcessor = 1000;

Duration drawInterval(std::mt19937_64 &random, double perSecond)
{
    std::exponential_distribution<double> seconds(perSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(random)));
}

bool drawBernoulli(std::mt19937_64 &random, double share)
{
    return std::bernoulli_distribution(share)(random);
}

Resources makeResources(double n)
{
    return {std::llround(n * MilliPerProcessor), std::llround(n * MemoryPerProcessorMiB), 0, 0};
}

double meanDeclaredProcessorSeconds()
{
    double processors = 0;
    for (std::size_t kind = 0; kind < KindCount; ++kind) {
        processors += KindShare[kind] * double(DeclaredProcessors[kind]);
    }
    return processors * MedianJobSeconds * std::exp(JobSigma * JobSigma / 2);
}

} // namespace

double meanCallSeconds()
{
    return MedianCallUs * 1e-6 * std::exp(CallSigma * CallSigma / 2);
}

const std::string &kindName(std::size_t kind)
{
    static const std::array<std::string, KindCount> Names = {"monitor", "audit", "pairing",
                                                             "rebuild"};
    return Names.at(kind);
}

bool canCheckpoint(std::size_t kind)
{
    return kind != 1;
}

double planDemandShare(std::size_t plan)
{
    return PlanDemandShares.at(plan);
}

std::int64_t planWeight(std::size_t plan)
{
    return PlanWeights.at(plan);
}

Arrivals::Arrivals(const Scenario &scenario, std::uint64_t seed)
    : m_scenario(scenario)
    , m_urgentRandom(seed)
    , m_batchRandom(seed + 1)
{
    std::lognormal_distribution<double> spread(0, 0.2);
    for (std::size_t kind = 0; kind < KindCount; ++kind) {
        m_sizeRatios[kind] = ActualSizeRatio[kind] * spread(m_batchRandom);
        m_runtimeRatios[kind] = spread(m_batchRandom);
    }
}

double Arrivals::urgentPerSecond(Duration now) const
{
    const double slots = double(m_scenario.site.workers) * double(WorkerCapacity.slots);
    const double factor = m_scenario.loadShift.contains(now) ? LoadShiftFactor : 1;
    return factor * m_scenario.urgentLoad * slots / meanCallSeconds();
}

double Arrivals::batchPerSecond(Duration now) const
{
    const double all = double(m_scenario.site.workers) * double(WorkerCapacity.milliProcessors)
                       / MilliPerProcessor;
    double factor = 1;
    for (const Span &wave : m_scenario.noisyWaves) {
        if (wave.contains(now)) {
            factor = 1 + KindShare[NoisyKind] * (NoisyWaveFactor - 1);
        }
    }
    return factor * m_scenario.batchLoad * all / meanDeclaredProcessorSeconds();
}

std::size_t Arrivals::drawZone(Duration now)
{
    const bool isUneven = m_scenario.loadShift.contains(now);
    std::discrete_distribution<std::size_t> zone(
        {isUneven ? 0.5 : 1.0 / 3, isUneven ? 0.25 : 1.0 / 3, isUneven ? 0.25 : 1.0 / 3});
    return zone(m_urgentRandom);
}

std::size_t Arrivals::drawKind(Duration now)
{
    auto rates = KindShare;
    for (const Span &wave : m_scenario.noisyWaves) {
        if (wave.contains(now)) {
            rates[NoisyKind] *= NoisyWaveFactor;
        }
    }
    return std::discrete_distribution<std::size_t>(rates.begin(), rates.end())(m_batchRandom);
}

UrgentArrival Arrivals::nextUrgent(Duration now)
{
    UrgentArrival it;
    it.at = now + drawInterval(m_urgentRandom, urgentPerSecond(now));
    it.zone = drawZone(it.at);
    it.plan = std::discrete_distribution<std::size_t>(PlanDemandShares.begin(),
                                                      PlanDemandShares.end())(m_urgentRandom);
    it.isIdempotent = drawBernoulli(m_urgentRandom, IdempotentShare);
    it.processingUs =
        std::lognormal_distribution<double>(std::log(MedianCallUs), CallSigma)(m_urgentRandom);
    return it;
}

BatchArrival Arrivals::nextBatch(Duration now)
{
    std::lognormal_distribution<double> noise(0, 0.1);
    BatchArrival it;
    it.at = now + drawInterval(m_batchRandom, batchPerSecond(now));
    it.kind = drawKind(it.at);
    it.declared = makeResources(double(DeclaredProcessors[it.kind]));
    it.needed = makeResources(double(DeclaredProcessors[it.kind]) * m_sizeRatios[it.kind]
                              * noise(m_batchRandom));
    it.neededSeconds =
        std::lognormal_distribution<double>(std::log(MedianJobSeconds), JobSigma)(m_batchRandom);
    it.declaredSeconds = it.neededSeconds * m_runtimeRatios[it.kind] * noise(m_batchRandom);
    if (drawBernoulli(m_batchRandom, InfeasibleShare)) {
        it.declared = makeResources(double(WorkerCapacity.milliProcessors) / MilliPerProcessor * 2);
        it.needed = it.declared;
    }
    return it;
}

} // namespace firefly::bench
