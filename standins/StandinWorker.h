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

/// How calls of one service run when undisturbed.
struct ServiceProfile
{
    std::int64_t durationUs = 5000;
    double jitter = 0.2; ///< Largest relative deviation of the duration.
    Resources resources{0, 0, 0, 1};
};

/// Settings that the workers of one zone share.
struct WorkerProfile
{
    std::map<std::string, ServiceProfile> services; ///< Others run with the default profile.
    /// Pairwise slowdown: [kind][neighbour] is what one running neighbour adds to the run time.
    std::map<std::string, std::map<std::string, double>> slowdown;
    std::int64_t usageLagUs = 1'000'000;
    std::int64_t checkpointIntervalUs = 1'000'000;
};

void to_json(nlohmann::json &json, const WorkerProfile &value);
void from_json(const nlohmann::json &json, WorkerProfile &value);

/// What a worker did with a message.
enum class Verdict { Done, StaleTerm, LapsedLease, Fenced, NoRoom, NoSlot, UnknownTask, Repeated };

/// An accepted call; the caller ends it after \a duration.
struct CallTicket
{
    Verdict verdict = Verdict::Done;
    std::uint64_t call = 0;
    Duration duration{};
};

/// State machine of one worker; it takes the time as an argument and does no I/O.
///
/// It remembers the highest term it has seen and refuses older ones; it starts tasks only under the
/// lease of the last sync, and stops its batch tasks at the moment the lease lapses.
class StandinWorker
{
public:
    /// \a boot names this incarnation, \a seed fixes the jitter.
    StandinWorker(WorkerId id, Resources capacity, const WorkerProfile &profile, std::string boot,
                  std::uint64_t seed);

    WorkerSyncReply sync(const WorkerSync &message, TimePoint now);
    Verdict start(const StartTask &message, TimePoint now);
    Verdict stop(const StopTask &message, TimePoint now);
    Verdict throttle(const ThrottleTask &message, TimePoint now);
    CallTicket beginCall(const WorkerCall &message, TimePoint now);
    /// Ends a call: answered, failed, or cut when the worker was restarted meanwhile.
    std::string endCall(std::uint64_t call, TimePoint now);

    /// Loses everything but the record of what was executed, which is evidence and no state.
    void reboot(TimePoint now);
    /// Brings tasks and lease up to \a now.
    void settle(TimePoint now);

    void setFailsEverything(bool fails) { m_failsEverything = fails; }
    void setSlowFactor(double factor, TimePoint now);

    const WorkerId &id() const { return m_id; }
    const Resources &capacity() const { return m_capacity; }
    const WorkerRecords &records() const { return m_records; }

private:
    using TaskKey = std::pair<JobId, std::uint64_t>;

    /// What decides whether a message is too old.
    struct Fence
    {
        Term highestTerm = 0;
        Term leaseTerm = 0;
        std::uint64_t lastNumber = 0; ///< Of the syncs of leaseTerm.
        TimePoint leaseEnd{};
    };

    struct Sample
    {
        TimePoint at;
        double speed = 1.0;
        std::int64_t milliProcessors = 0;
    };

    struct Task
    {
        StartTask spec;
        TaskState state = TaskState::Running;
        TimePoint began;
        TimePoint updated;
        double progress = 0;     ///< Microseconds of undisturbed run time.
        double checkpointed = 0; ///< Progress at the last checkpoint.
        double needed = 0;       ///< Progress at which the task ends.
        double share = 1.0;
        double speed = 1.0;
        std::int64_t usedMilliProcessors = 0;
        std::int64_t usedMemoryMiB = 0;
        bool endsInFailure = false;
        std::deque<Sample> samples;
        std::size_t record = 0;
        std::string result;
    };

    struct Call
    {
        std::string service;
        Resources resources;
        double slowdown = 1.0;
        std::size_t record = 0;
    };

    bool acceptTerm(Term term);
    /// Name of this incarnation.
    std::string boot() const;
    bool hasLease(TimePoint now) const { return now < m_fence.leaseEnd; }
    Resources used() const;
    void noteUse();
    double slowdownOf(const std::string &kind, const Task *except) const;
    void updateSpeeds(TimePoint now);
    void advanceTask(Task &task, TimePoint to) const;
    TimePoint finishTime(const Task &task) const;
    void endTask(Task &task, TaskState state, const char *outcome, TimePoint at);
    TaskReport report(const Task &task, TimePoint now) const;
    double laggedSlowdown(TimePoint now) const;
    const ServiceProfile &profileOf(const std::string &service) const;

    WorkerId m_id;
    Resources m_capacity;
    const WorkerProfile &m_profile;
    std::string m_bootPrefix;
    std::uint64_t m_boots = 1;
    std::mt19937_64 m_random;
    Fence m_fence;
    bool m_failsEverything = false;
    double m_slowFactor = 1.0;
    std::map<TaskKey, Task> m_tasks;
    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_nextCall = 1;
    std::deque<std::pair<TimePoint, double>> m_callSlowdowns; ///< Newest first.
    WorkerRecords m_records;
};

} // namespace firefly::standins
