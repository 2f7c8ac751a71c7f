#pragma once

#include "Admission/ServiceTimeEstimate.h"
#include "Core/Clock.h"

#include <cstdint>
#include <string_view>

namespace firefly {

/// Why a new job was accepted or refused.
enum class AdmissionReason : std::uint8_t {
    NotLimited,   ///< Known, long-running or scheduled, or of a queue without an objective.
    FreeCapacity, ///< Nothing waits, or the job can start at once.
    RateUnknown,  ///< Too little finished under load to predict an end.
    InTime,       ///< Expected to meet its objective.
    Late,         ///< Expected to end late, but while its caller still has a use for it.
    Backlog,      ///< Refused: expected to end too late.
};

/// Name of \a reason in log lines.
std::string_view toString(AdmissionReason reason);

/// Admission control of one queue of batch work: predicts when a new job would end and refuses it
/// if that is too late to be of use.
///
/// The rate is measured in estimated core-seconds finished per second, so that estimates that are
/// off by a factor cancel out, and only while tasks wait: a queue without demand tells nothing of
/// what it could finish.
class BacklogAdmission
{
public:
    /// Sets whether tasks wait for capacity from \a now on; to be called at intervals.
    void setWaiting(bool isWaiting, TimePoint now);
    bool isWaiting() const { return m_isWaiting; }
    /// Records a task that ended after \a runTime; zero if that isn't known.
    void recordFinished(double coreSeconds, Duration runTime, TimePoint now);
    /// Mean run time of the tasks, for those without an estimate.
    Duration meanRunTime() const { return m_runTime.mean(); }

    /// Core-seconds finished per second while tasks waited; 0 while unknown.
    double rate(TimePoint now) const;

    struct Request
    {
        double work = 0.0; ///< Core-seconds of the job.
        /// Core-seconds that are served before the job if it will be late, and those of jobs that
        /// can still be in time, which alone are served before it if it can be in time too.
        double ahead = 0.0;
        double inTimeAhead = 0.0;
        Duration criticalPath{};
        TimePoint objective{};   ///< The job is late if it ends after this time.
        TimePoint usefulUntil{}; ///< An end after this time is of no use to the caller.
        bool canStart = false;   ///< Free capacity for it exists.
        double spread = 0.0;     ///< In [0, 1), by job: spreads the returns of refused jobs.
    };

    struct Decision
    {
        AdmissionReason reason = AdmissionReason::FreeCapacity;
        double ahead = 0.0;
        double rate = 0.0;
        Duration expectedTime{}; ///< Until the job's end; 0 if not predicted.
        Duration retryAfter{};   ///< In whole seconds; 0 unless refused.

        bool isRefused() const { return reason == AdmissionReason::Backlog; }
    };

    /// Decides on a new job; one that isn't refused counts as accepted.
    Decision decide(const Request &request, TimePoint now);

private:
    Decision predict(const Request &request, TimePoint now);
    /// Half-life of what was observed: longer for long tasks, of which few end in a given time.
    Duration halfLife() const;
    /// Advances the observations to \a now.
    void age(TimePoint now);
    /// Assigns the time after which a refused job should return.
    Duration assignReturn(const Request &request, double rate, TimePoint now);

    bool m_isWaiting = false;
    TimePoint m_agedAt{};
    double m_finished = 0.0;     ///< Core-seconds finished while tasks waited, decayed.
    double m_runs = 0.0;         ///< Tasks finished while tasks waited, decayed.
    double m_seconds = 0.0;      ///< Time during which tasks waited, decayed.
    double m_inTimeWork = 0.0;   ///< Core-seconds accepted that should be in time, decayed.
    double m_totalSeconds = 0.0; ///< Observed time, decayed.
    ServiceTimeEstimate m_runTime{std::chrono::seconds(1)};
    TimePoint m_nextReturn{};   ///< When the work of the jobs refused so far could be served.
    TimePoint m_latestReturn{}; ///< Latest return that a refused job was told.
};

} // namespace firefly
