#include "bench/policy/HiddenEffects.h"

#include <cmath>

namespace firefly::bench {
namespace {

/// Added slowdown of urgent calls on a worker full of one kind: monitor, audit, pairing, rebuild.
constexpr std::array<double, KindCount> EffectOnUrgent = {0.1, 0.5, 1.2, 4.0};
/// Added slowdown of a batch task on a worker full of one kind, in the same order.
constexpr std::array<double, KindCount> EffectOnBatch = {0.05, 0.2, 0.4, 0.9};
/// Added slowdown of batch tasks on a worker full of urgent calls.
constexpr double EffectOfUrgent = 0.2;
constexpr double LoadBase = 0.6;  ///< Factor of the effects without urgent load.
constexpr double LoadSlope = 0.8; ///< Increase of that factor with the urgent load.
/// Sigma of the lognormal variation of the effects between seeds.
constexpr double EffectSigma = 0.25;

} // namespace

HiddenEffects::HiddenEffects(std::mt19937_64 &random)
    : m_onUrgent(EffectOnUrgent)
    , m_onBatch{}
{
    std::lognormal_distribution<double> spread(0, EffectSigma);
    for (double &it : m_onUrgent) {
        it *= spread(random);
    }
    for (auto &row : m_onBatch) {
        row = EffectOnBatch;
        for (double &it : row) {
            it *= spread(random);
        }
    }
}

void HiddenEffects::swapMiddleKinds()
{
    std::swap(m_onUrgent[1], m_onUrgent[2]);
}

double HiddenEffects::urgentSlowdown(const KindShares &shares, double urgentLoad) const
{
    double effect = 0;
    for (std::size_t kind = 0; kind < KindCount; ++kind) {
        effect += shares[kind] * m_onUrgent[kind];
    }
    return 1 + effect * (LoadBase + LoadSlope * urgentLoad)
           + (FullWorkerSlowdown - 1) * urgentLoad * urgentLoad;
}

double HiddenEffects::batchSlowdown(std::size_t kind, const KindShares &shares,
                                    double urgentLoad) const
{
    double effect = EffectOfUrgent * urgentLoad;
    for (std::size_t other = 0; other < KindCount; ++other) {
        effect += shares[other] * m_onBatch[kind][other];
    }
    return 1 + effect;
}

} // namespace firefly::bench
