#include "Locality/DelayScheduling.h"

#include "Routing/Decay.h"

#include <algorithm>

namespace firefly {
namespace {

/// Paid waits that each rack is assumed to have had, so that single lost waits change little.
constexpr double PriorPaidWaits = 3.0;
constexpr Duration OutcomeHalfLife = std::chrono::seconds(10);

/// Allowance for a late end of what runs on the rack: a share of the expected wait, and the time
/// until the end is reported.
constexpr double LatenessShare = 0.25;
constexpr Duration ReportDelay = std::chrono::milliseconds(100);

Duration scale(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

std::optional<PlaceWait> DelayScheduling::decide(const std::string &rack,
                                                 const PlacementOption &option,
                                                 const std::optional<PlaceWait> &current,
                                                 TimePoint now) const
{
    if (option.farFactor <= 1.0 || option.duration <= Duration::zero() || !option.nearAt
        || option.since == TimePoint{}) {
        return std::nullopt;
    }
    const PlaceWait wait = current.value_or(PlaceWait{rack, option.since, now, now});
    const Duration expected = std::max(Duration::zero(), *option.nearAt - now);
    const Duration gain = scale(option.duration, option.farFactor - 1.0);
    const bool isFarInTime = option.slack >= gain;
    // A task that is late in any case should end soon, whatever others lose by it.
    const double contention = isFarInTime ? std::clamp(option.contention, 0.0, 1.0) : 0.0;
    const Duration worthwhile = scale(gain, (1.0 + contention) * trust(rack, now));
    const TimePoint patience = now + scale(expected, 1.0 + LatenessShare) + ReportDelay;
    TimePoint until = std::min({current ? wait.until : patience, wait.begin + worthwhile,
                                wait.since + scale(MaxWait, trust(rack, now))});
    if (isFarInTime) {
        // The objective must hold also if the place doesn't become free in time.
        until = std::min(until, now + option.slack - gain);
    }
    if (now + expected >= until) {
        return std::nullopt;
    }
    return PlaceWait{rack, wait.since, wait.begin, until};
}

void DelayScheduling::onEnded(const PlaceWait &wait, bool isPaid, TimePoint now)
{
    Outcomes &outcomes = m_outcomes[wait.rack];
    const double kept = internal::decayFactor(now - outcomes.updatedAt, OutcomeHalfLife);
    outcomes.paid = outcomes.paid * kept + (isPaid ? 1.0 : 0.0);
    outcomes.lost = outcomes.lost * kept + (isPaid ? 0.0 : 1.0);
    outcomes.updatedAt = now;
    ++(isPaid ? m_counters.paid : m_counters.lost);
    (isPaid ? m_counters.paidTime : m_counters.lostTime) += now - wait.begin;
}

double DelayScheduling::trust(const std::string &rack, TimePoint now) const
{
    const auto it = m_outcomes.find(rack);
    if (it == m_outcomes.end()) {
        return 1.0;
    }
    const double kept = internal::decayFactor(now - it->second.updatedAt, OutcomeHalfLife);
    const double paid = PriorPaidWaits + it->second.paid * kept;
    return paid / (paid + it->second.lost * kept);
}

} // namespace firefly
