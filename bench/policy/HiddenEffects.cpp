#include "bench/policy/HiddenEffects.h"

#include <cmath>

namespace firefly::bench {
namespace {

/// Slowdown of urgent calls by a whole worker of each kind: monitor, audit, pairing, rebuild.
constexpr std::array<double, KindCount> OnUrgent = {0.1, 0.5, 1.2, 4.0};
/// Slowdown of any batch task by a whole worker of each kind.
constexpr std::array<double, KindCount> OnBatch = {0.05, 0.2, 0.4, 0.9};
constexpr double ByUrgent = 0.2;  ///< Slowdown of batch tasks by a worker full of urgent calls.
constexpr double LoadBase = 0.6;  ///< Part of an effect that is there without urgent load.
constexpr double LoadSlope = 0.8; ///< Growth of an effect with the urgent load.
constexpr double Spread = 0.25;   ///< Spread of the effects between seeds.

} // namespace

HiddenEffects::HiddenEffects(std::mt19937_64 &random)
    : m_onUrgent(OnUrgent)
    , m_onBatch{}
{
    std::lognormal_distribution<double> spread(0, Spread);
    for (double &it : m_onUrgent) {
        it *= spread(random);
    }
    for (auto &row : m_onBatch) {
        row = OnBatch;
        for (double &it : row) {
            it *= spread(random);
        }
    }
}

void HiddenEffects::shift()
{
    std::swap(m_onUrgent[1], m_onUrgent[2]);
}

double HiddenEffects::ofUrgent(const KindShares &shares, double urgentLoad) const
{
    double effect = 0;
    for (std::size_t kind = 0; kind < KindCount; ++kind) {
        effect += shares[kind] * m_onUrgent[kind];
    }
    return 1 + effect * (LoadBase + LoadSlope * urgentLoad)
           + (FullWorkerSlowdown - 1) * urgentLoad * urgentLoad;
}

double HiddenEffects::ofBatch(std::size_t kind, const KindShares &shares, double urgentLoad) const
{
    double effect = ByUrgent * urgentLoad;
    for (std::size_t other = 0; other < KindCount; ++other) {
        effect += shares[other] * m_onBatch[kind][other];
    }
    return 1 + effect;
}

} // namespace firefly::bench
