#include "Admission/BacklogAdmission.h"

#include <algorithm>
#include <cmath>

namespace firefly {
namespace {

constexpr Duration MinHalfLife = std::chrono::seconds(2);
/// Half-life as a multiple of the mean run time.
constexpr int RunTimesPerHalfLife = 2;
/// Observations that a rate needs: part of a half-life with waiting tasks, and ended runs.
constexpr double MinObservedHalfLives = 0.5;
constexpr double MinRuns = 4.0;
/// Part of the wait by which a job should be early to count as in time, as the rate varies.
constexpr double TimeMargin = 0.1;
/// Least part of the rate that late jobs are expected to get.
constexpr double MinSpareShare = 0.01;
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    constexpr double Longest = 1e6;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, Longest)));
}

} // namespace

std::string_view toString(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::NotLimited:
        return "not limited";
    case AdmissionReason::FreeCapacity:
        return "free capacity";
    case AdmissionReason::RateUnknown:
        return "rate unknown";
    case AdmissionReason::InTime:
        return "in time";
    case AdmissionReason::Late:
        return "late";
    case AdmissionReason::Backlog:
        break;
    }
    return "backlog";
}

Duration BacklogAdmission::halfLife() const
{
    return std::max(MinHalfLife, RunTimesPerHalfLife * m_runTime.mean());
}

void BacklogAdmission::age(TimePoint now)
{
    const bool isFirst = m_agedAt == TimePoint{};
    const double elapsed = isFirst ? 0.0 : std::max(0.0, toSeconds(now - m_agedAt));
    m_agedAt = std::max(m_agedAt, now);
    const double factor = std::exp2(-elapsed / toSeconds(halfLife()));
    m_finished *= factor;
    m_runs *= factor;
    m_seconds *= factor;
    m_inTimeWork *= factor;
    m_totalSeconds *= factor;
    m_seconds += m_isWaiting ? elapsed : 0.0;
    m_totalSeconds += elapsed;
}

void BacklogAdmission::setWaiting(bool isWaiting, TimePoint now)
{
    age(now);
    m_isWaiting = isWaiting;
    if (!isWaiting) {
        m_nextReturn = {};
        m_latestReturn = {};
    }
}

void BacklogAdmission::recordFinished(double coreSeconds, Duration runTime, TimePoint now)
{
    if (runTime > Duration{}) {
        m_runTime.record(runTime);
    }
    age(now);
    if (m_isWaiting) {
        m_finished += coreSeconds;
        m_runs += 1.0;
    }
}

double BacklogAdmission::rate(TimePoint now) const
{
    BacklogAdmission aged = *this;
    aged.age(now);
    const bool isKnown =
        aged.m_runs >= MinRuns && aged.m_seconds >= MinObservedHalfLives * toSeconds(halfLife());
    return isKnown ? aged.m_finished / aged.m_seconds : 0.0;
}

BacklogAdmission::Decision BacklogAdmission::decide(const Request &request, TimePoint now)
{
    age(now);
    const Decision decision = predict(request, now);
    const bool isLate = decision.isRefused() || decision.reason == AdmissionReason::Late;
    m_inTimeWork += isLate ? 0.0 : request.work;
    return decision;
}

BacklogAdmission::Decision BacklogAdmission::predict(const Request &request, TimePoint now)
{
    Decision decision;
    decision.ahead = request.ahead;
    if (request.canStart || !m_isWaiting) {
        return decision;
    }
    decision.rate = rate(now);
    if (decision.rate <= 0.0) {
        decision.reason = AdmissionReason::RateUnknown;
        return decision;
    }
    const Duration ownTime =
        std::max(request.criticalPath, fromSeconds(request.work / decision.rate));
    const Duration inTimeWait = fromSeconds(request.inTimeAhead / decision.rate);
    decision.expectedTime = inTimeWait + ownTime;
    if (now + decision.expectedTime <= request.objective - TimeMargin * inTimeWait) {
        decision.reason = AdmissionReason::InTime;
        return decision;
    }
    // Later jobs that can be in time are served before those that can't.
    const double spareRate =
        std::max(decision.rate - m_inTimeWork / m_totalSeconds, MinSpareShare * decision.rate);
    const Duration lateWait = fromSeconds(request.ahead / spareRate);
    decision.expectedTime = lateWait + ownTime;
    // Without a wait, an earlier return would not bring the end forward.
    if (now + decision.expectedTime <= request.usefulUntil || request.ahead <= 0.0) {
        decision.reason = AdmissionReason::Late;
        return decision;
    }
    decision.reason = AdmissionReason::Backlog;
    decision.retryAfter = assignReturn(request, decision.rate, now);
    return decision;
}

Duration BacklogAdmission::assignReturn(const Request &request, double rate, TimePoint now)
{
    // Refused jobs return once the work ahead is done, in the order of their refusals, and no
    // faster than half of the rate can serve them: the other half is for new jobs.
    const Duration slot = fromSeconds(2.0 * request.work / rate);
    const Duration drain = std::max(MinRetryAfter, fromSeconds(request.ahead / rate));
    const TimePoint begin = std::max(m_nextReturn, now + drain);
    const TimePoint latest = now + MaxRetryAfter;
    m_nextReturn = std::min(begin + slot, latest);
    const TimePoint at = begin + fromSeconds(request.spread * toSeconds(slot));
    const TimePoint wanted = std::max(std::min(at, latest), m_latestReturn);
    const auto delay = std::chrono::ceil<std::chrono::seconds>(wanted - now);
    m_latestReturn = now + delay;
    return delay;
}

} // namespace firefly
