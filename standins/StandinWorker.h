#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Resources.h"
#include "Platform/WorkerMessages.h"
#include "WorkerRecords.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace firefly::standins {

/// Simulated cost of the calls of one service on a worker without neighbours.
struct ServiceProfile
{
    std::int64_t durationUs = 5000;
    double jitter = 0.2;             ///< Largest relative deviation of a call's duration.
    Resources resources{0, 0, 0, 1}; ///< Used by each running call; one slot.
};

/// Simulation settings shared by the workers of one zone.
struct WorkerProfile
{
    /// Services not listed use the default ServiceProfile.
    std::map<std::string, ServiceProfile> services;
    /// Interference: [kind][neighbour] is what one running task or call of kind or service
    /// neighbour adds to the run time factor of kind (1 without neighbours).
    std::map<std::string, std::map<std::string, double>> slowdown;
    std::int64_t usageLagUs = 1'000'000; ///< Age at which measurements become visible in reports.
    std::int64_t checkpointIntervalUs = 1'000'000;
};

void to_json(nlohmann::json &json, const WorkerProfile &value);
void from_json(const nlohmann::json &json, WorkerProfile &value);

/// How a worker processed a message.
enum class MessageResult {
    Done,
    StaleTerm,
    LeaseExpired,
    LeaseMismatch,
    InsufficientResources,
    NoFreeSlot,
    UnknownTask,
    Duplicate
};

/// Outcome of beginCall(); after \a duration the caller ends an admitted call with endCall().
struct CallAdmission
{
    MessageResult result = MessageResult::Done;
    std::uint64_t call = 0; ///< Number to pass to endCall().
    Duration duration{};
};

/// Simulated worker: a state machine that takes the time as an argument and does no I/O.
///
/// It refuses messages of terms below the highest term seen, starts tasks only under the lease of
/// the last sync, and stops its batch tasks when the lease expires.
class StandinWorker
{
public:
    /// \a boot is the prefix of the incarnation names, \a seed seeds the jitter of call durations.
    /// Keeps a reference to \a profile.
    StandinWorker(WorkerId id, Resources capacity, const WorkerProfile &profile, std::string boot,
                  std::uint64_t seed);

    /// Renews the lease, drops acknowledged tasks that ended, and reports all other tasks; a
    /// stale message only gets the report.
    WorkerSyncReply sync(const WorkerSync &message, TimePoint now);
    /// Starts a task attempt; Duplicate if the attempt is listed already.
    MessageResult start(const StartAttempt &message, TimePoint now);
    /// Stops a running task at its last checkpoint, or at a new one if \a message asks for it.
    MessageResult stop(const StopAttempt &message, TimePoint now);
    /// Sets the share of its processors that a task may use, from 0 to 1.
    MessageResult throttle(const ThrottleAttempt &message, TimePoint now);
    /// Admits a call if its term is not stale and its resources fit; draws its duration.
    CallAdmission beginCall(const WorkerCall &message, TimePoint now);
    /// Ends a call and returns its outcome: "answered", "failed", or "cut" if the worker rebooted
    /// since the call began.
    std::string endCall(std::uint64_t call, TimePoint now);

    /// Discards all state; records() is kept, since checkers compare it with what callers saw.
    void reboot(TimePoint now);
    /// Advances the tasks to \a now: ends finished ones, and stops the rest if the lease expired.
    void advanceTo(TimePoint now);

    /// While set, all tasks that start or end and all calls that end fail.
    void setFailsEverything(bool fails) { m_failsEverything = fails; }
    /// Multiplies the run time of tasks, and of calls that begin from now on, by \a factor.
    void setSlowFactor(double factor, TimePoint now);

    const WorkerId &id() const { return m_id; }
    const Resources &capacity() const { return m_capacity; }
    const WorkerRecords &records() const { return m_records; }

private:
    using TaskKey = std::pair<JobId, std::uint64_t>;

    /// Term and lease state that decides whether a message is stale.
    struct FencingState
    {
        Term highestTerm = 0;
        Term leaseTerm = 0;
        std::uint64_t lastSyncNumber = 0; ///< Of the last accepted sync, whose term is leaseTerm.
        TimePoint leaseEnd{};
    };

    /// Speed and processor use of a task from \a at on.
    struct UsageSample
    {
        TimePoint at;
        double speed = 1.0;
        std::int64_t milliProcessors = 0;
    };

    struct Task
    {
        StartAttempt spec;
        AttemptState state = AttemptState::Running;
        TimePoint startedAt;
        TimePoint updatedAt;
        double progress = 0;           ///< Microseconds of run time without neighbours.
        double checkpointProgress = 0; ///< Progress at the last checkpoint.
        double requiredProgress = 0;   ///< Progress at which the task ends.
        double share = 1.0;            ///< Set by throttle().
        double speed = 1.0;            ///< Progress per microsecond.
        std::int64_t usedMilliProcessors = 0;
        std::int64_t usedMemoryMiB = 0;
        bool endsInFailure = false;
        std::deque<UsageSample> usageSamples;
        std::size_t record = 0; ///< Index in m_records.tasks.
        std::string result;
    };

    struct Call
    {
        std::string service;
        Resources resources;
        double slowdown = 1.0;
        std::size_t record = 0; ///< Index in m_records.calls.
    };

    /// Raises the highest term to \a term; refuses and counts a stale one.
    bool acceptTerm(Term term);
    /// Returns the name of this incarnation, which changes with each reboot.
    std::string boot() const;
    bool hasLease(TimePoint now) const { return now < m_fencing.leaseEnd; }
    Resources used() const;
    /// Raises maxUse of the records to the current use.
    void updatePeakUsage();
    /// Run time factor of \a kind next to all running tasks and calls but \a except.
    double slowdownOf(const std::string &kind, const Task *except) const;
    /// Recomputes the speed of each running task after tasks or calls began or ended.
    void updateSpeeds(TimePoint now);
    void advanceTask(Task &task, TimePoint to) const;
    TimePoint finishTime(const Task &task) const;
    void endTask(Task &task, AttemptState state, const char *outcome, TimePoint at);
    TaskReport report(const Task &task, TimePoint now) const;
    /// Mean slowdown of the last calls that ended at least the usage lag ago; 1 if there are none.
    double reportedCallSlowdown(TimePoint now) const;
    const ServiceProfile &profileOf(const std::string &service) const;

    WorkerId m_id;
    Resources m_capacity;
    const WorkerProfile &m_profile;
    std::string m_bootPrefix;
    std::uint64_t m_bootCount = 1;
    std::mt19937_64 m_random;
    FencingState m_fencing;
    bool m_failsEverything = false;
    double m_slowFactor = 1.0;
    std::map<TaskKey, Task> m_tasks;
    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_nextCallNumber = 1;
    std::deque<std::pair<TimePoint, double>> m_callSlowdowns; ///< Newest first.
    WorkerRecords m_records;
};

} // namespace firefly::standins
