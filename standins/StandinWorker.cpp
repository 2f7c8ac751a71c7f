#include "StandinWorker.h"

#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly::standins {
namespace {

constexpr double MicrosecondsPerMillisecond = 1000.0;
constexpr std::size_t MaxUsageSamples = 64; ///< Per task.
constexpr std::size_t MaxCallSlowdowns = 512;
constexpr int SlowdownWindowCalls = 32;      ///< Calls that the reported slowdown averages.
constexpr double FailureProgressUs = 1000.0; ///< Progress that a failing task makes before it ends.

std::int64_t toMicroseconds(TimePoint at)
{
    return at.time_since_epoch().count();
}

std::int64_t toMilliseconds(double microseconds)
{
    return static_cast<std::int64_t>(microseconds / MicrosecondsPerMillisecond);
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceProfile, durationUs, jitter, resources)

void to_json(nlohmann::json &nlohmann_json_j, const WorkerProfile &nlohmann_json_t)
{
    NLOHMANN_JSON_EXPAND(
        NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, services, slowdown, usageLagUs, checkpointIntervalUs))
}

void from_json(const nlohmann::json &nlohmann_json_j, WorkerProfile &nlohmann_json_t)
{
    // Name required by NLOHMANN_JSON_FROM_WITH_DEFAULT.
    const WorkerProfile nlohmann_json_default_obj;
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM_WITH_DEFAULT, services, slowdown,
                                             usageLagUs, checkpointIntervalUs))
}
// NOLINTEND(readability-identifier-naming)

StandinWorker::StandinWorker(WorkerId id, Resources capacity, const WorkerProfile &profile,
                             std::string boot, std::uint64_t seed)
    : m_id(std::move(id))
    , m_capacity(capacity)
    , m_profile(profile)
    , m_bootPrefix(std::move(boot))
    , m_random(seed)
{}

bool StandinWorker::acceptTerm(Term term)
{
    if (term < m_fencing.highestTerm) {
        ++m_records.staleMessages;
        return false;
    }
    m_fencing.highestTerm = term;
    return true;
}

std::string StandinWorker::boot() const
{
    return m_bootPrefix + "." + std::to_string(m_bootCount);
}

WorkerSyncReply StandinWorker::sync(const WorkerSync &message, TimePoint now)
{
    advanceTo(now);
    const bool isNewer =
        message.term != m_fencing.leaseTerm || message.number > m_fencing.lastSyncNumber;
    WorkerSyncReply reply;
    reply.accepted = message.term >= m_fencing.highestTerm && isNewer;
    if (reply.accepted) {
        m_fencing.highestTerm = message.term;
        m_fencing.leaseTerm = message.term;
        m_fencing.lastSyncNumber = message.number;
        m_fencing.leaseEnd = now + std::chrono::milliseconds(message.leaseMs);
        std::erase_if(m_tasks, [&message](const auto &it) {
            const std::string name = it.first.first.value() + "#" + std::to_string(it.first.second);
            return it.second.state != AttemptState::Running
                   && std::ranges::count(message.acknowledged, name) > 0;
        });
    } else {
        ++m_records.staleMessages;
    }
    reply.highestTerm = m_fencing.highestTerm;
    reply.boot = boot();
    reply.capacity = m_capacity;
    reply.urgentRunning = static_cast<std::int64_t>(m_calls.size());
    reply.urgentSlowdown = reportedCallSlowdown(now);
    for (const auto &[key, task] : m_tasks) {
        reply.tasks.push_back(report(task, now));
        TaskRecord &record = m_records.tasks[task.record];
        if (reply.accepted && record.endUs > 0 && record.reportedUs == 0) {
            record.reportedUs = toMicroseconds(now);
        }
    }
    return reply;
}

MessageResult StandinWorker::start(const StartAttempt &message, TimePoint now)
{
    advanceTo(now);
    if (!acceptTerm(message.term)) {
        return MessageResult::StaleTerm;
    }
    if (!hasLease(now) || message.term != m_fencing.leaseTerm) {
        ++m_records.staleMessages;
        return MessageResult::LeaseExpired;
    }
    if (message.leaseNumber != m_fencing.lastSyncNumber || message.boot != boot()) {
        ++m_records.staleMessages;
        return MessageResult::LeaseMismatch;
    }
    const TaskKey key(message.job, message.attempt);
    if (m_tasks.contains(key)) {
        return MessageResult::Duplicate;
    }
    if (!(used() + message.resources).fitsIn(m_capacity)) {
        ++m_records.overrunAttempts;
        return MessageResult::InsufficientResources;
    }
    Task &task = m_tasks[key];
    auto simulated = nlohmann::json::parse(message.payload, nullptr, false);
    simulated = simulated.is_object() ? simulated : nlohmann::json::object();
    task.spec = message;
    task.startedAt = now;
    task.updatedAt = now;
    task.progress = static_cast<double>(message.progressMs) * MicrosecondsPerMillisecond;
    task.checkpointProgress = task.progress;
    task.requiredProgress =
        static_cast<double>(simulated.value("actualRuntimeMs", message.runtimeMs))
        * MicrosecondsPerMillisecond;
    task.usedMilliProcessors =
        simulated.value("usedMilliProcessors", message.resources.milliProcessors);
    task.usedMemoryMiB = simulated.value("usedMemoryMiB", message.resources.memoryMiB);
    task.endsInFailure = m_failsEverything || simulated.value("fails", false);
    if (task.endsInFailure) {
        task.requiredProgress = std::min(task.requiredProgress, task.progress + FailureProgressUs);
    }
    task.record = m_records.tasks.size();
    m_records.tasks.push_back({message.job.value(), message.attempt, message.term,
                               toMicroseconds(now), 0, 0, message.progressMs, message.progressMs,
                               "running"});
    updatePeakUsage();
    updateSpeeds(now);
    return MessageResult::Done;
}

MessageResult StandinWorker::stop(const StopAttempt &message, TimePoint now)
{
    advanceTo(now);
    if (!acceptTerm(message.term)) {
        return MessageResult::StaleTerm;
    }
    const auto it = m_tasks.find(TaskKey(message.job, message.attempt));
    if (it == m_tasks.end()) {
        return MessageResult::UnknownTask;
    }
    Task &task = it->second;
    if (task.state == AttemptState::Running) {
        task.checkpointProgress = message.checkpoint ? task.progress : task.checkpointProgress;
        endTask(task, AttemptState::Stopped, "stopped", now);
        updateSpeeds(now);
    }
    return MessageResult::Done;
}

MessageResult StandinWorker::throttle(const ThrottleAttempt &message, TimePoint now)
{
    advanceTo(now);
    if (!acceptTerm(message.term)) {
        return MessageResult::StaleTerm;
    }
    const auto it = m_tasks.find(TaskKey(message.job, message.attempt));
    if (it == m_tasks.end()) {
        return MessageResult::UnknownTask;
    }
    it->second.share = std::clamp(message.share, 0.0, 1.0);
    updateSpeeds(now);
    return MessageResult::Done;
}

CallAdmission StandinWorker::beginCall(const WorkerCall &message, TimePoint now)
{
    advanceTo(now);
    if (!acceptTerm(message.term)) {
        return {MessageResult::StaleTerm, 0, {}};
    }
    const ServiceProfile &profile = profileOf(message.service.value());
    if (!(used() + profile.resources).fitsIn(m_capacity)) {
        ++m_records.overrunAttempts;
        return {MessageResult::NoFreeSlot, 0, {}};
    }
    Call call;
    call.service = message.service.value();
    call.resources = profile.resources;
    call.slowdown = slowdownOf(call.service, nullptr) * m_slowFactor;
    call.record = m_records.calls.size();
    m_records.calls.push_back({message.request.value(), message.key, call.service,
                               bodyHash(message.body), toMicroseconds(now), 0, "running"});
    std::uniform_real_distribution<double> jitter(-profile.jitter, profile.jitter);
    const double baseDuration = static_cast<double>(profile.durationUs);
    const Duration duration(
        static_cast<std::int64_t>(baseDuration * (1.0 + jitter(m_random)) * call.slowdown));
    const std::uint64_t number = m_nextCallNumber++;
    m_calls.emplace(number, std::move(call));
    updatePeakUsage();
    updateSpeeds(now);
    return {MessageResult::Done, number, duration};
}

std::string StandinWorker::endCall(std::uint64_t call, TimePoint now)
{
    advanceTo(now);
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return "cut";
    }
    CallRecord &record = m_records.calls[it->second.record];
    record.endUs = toMicroseconds(now);
    record.outcome = m_failsEverything ? "failed" : "answered";
    m_callSlowdowns.emplace_front(now, it->second.slowdown);
    if (m_callSlowdowns.size() > MaxCallSlowdowns) {
        m_callSlowdowns.pop_back();
    }
    m_calls.erase(it);
    updateSpeeds(now);
    return record.outcome;
}

void StandinWorker::reboot(TimePoint now)
{
    advanceTo(now);
    for (auto &[key, task] : m_tasks) {
        if (task.state == AttemptState::Running) {
            endTask(task, AttemptState::Stopped, "lost", now);
        }
    }
    for (const auto &[number, call] : m_calls) {
        CallRecord &record = m_records.calls[call.record];
        record.endUs = toMicroseconds(now);
        record.outcome = "cut";
    }
    m_tasks.clear();
    m_calls.clear();
    m_callSlowdowns.clear();
    m_fencing = FencingState{};
    ++m_bootCount;
}

void StandinWorker::advanceTo(TimePoint now)
{
    while (true) {
        Task *next = nullptr;
        TimePoint at = std::min(now, m_fencing.leaseEnd);
        for (auto &[key, task] : m_tasks) {
            if (task.state == AttemptState::Running && finishTime(task) <= at) {
                next = &task;
                at = finishTime(task);
            }
        }
        if (next == nullptr) {
            break;
        }
        for (auto &[key, task] : m_tasks) {
            advanceTask(task, at);
        }
        next->progress = next->requiredProgress;
        const bool hasFailed = next->endsInFailure || m_failsEverything;
        endTask(*next, hasFailed ? AttemptState::Failed : AttemptState::Finished,
                hasFailed ? "failed" : "finished", at);
        updateSpeeds(at);
    }
    const TimePoint until = std::min(now, m_fencing.leaseEnd);
    for (auto &[key, task] : m_tasks) {
        advanceTask(task, until);
        if (task.state == AttemptState::Running && !hasLease(now)) {
            endTask(task, AttemptState::Stopped, "lapsed", m_fencing.leaseEnd);
        }
    }
}

void StandinWorker::setSlowFactor(double factor, TimePoint now)
{
    advanceTo(now);
    m_slowFactor = factor;
    updateSpeeds(now);
}

Resources StandinWorker::used() const
{
    Resources sum;
    for (const auto &[key, task] : m_tasks) {
        if (task.state == AttemptState::Running) {
            sum += task.spec.resources;
        }
    }
    for (const auto &[number, call] : m_calls) {
        sum += call.resources;
    }
    return sum;
}

void StandinWorker::updatePeakUsage()
{
    const Resources current = used();
    Resources &max = m_records.maxUse;
    max.milliProcessors = std::max(max.milliProcessors, current.milliProcessors);
    max.memoryMiB = std::max(max.memoryMiB, current.memoryMiB);
    max.accelerators = std::max(max.accelerators, current.accelerators);
    max.slots = std::max(max.slots, current.slots);
}

double StandinWorker::slowdownOf(const std::string &kind, const Task *except) const
{
    const auto slowdowns = m_profile.slowdown.find(kind);
    if (slowdowns == m_profile.slowdown.end()) {
        return 1.0;
    }
    double slowdown = 1.0;
    const auto addNeighbour = [&slowdowns, &slowdown](const std::string &neighbour, double share) {
        const auto added = slowdowns->second.find(neighbour);
        slowdown += added == slowdowns->second.end() ? 0.0 : added->second * share;
    };
    for (const auto &[key, task] : m_tasks) {
        if (&task != except && task.state == AttemptState::Running) {
            addNeighbour(task.spec.kind, task.share);
        }
    }
    for (const auto &[number, call] : m_calls) {
        addNeighbour(call.service, 1.0);
    }
    return slowdown;
}

void StandinWorker::updateSpeeds(TimePoint now)
{
    for (auto &[key, task] : m_tasks) {
        if (task.state != AttemptState::Running) {
            continue;
        }
        task.speed = task.share / (slowdownOf(task.spec.kind, &task) * m_slowFactor);
        const auto used =
            static_cast<std::int64_t>(static_cast<double>(task.usedMilliProcessors) * task.share);
        task.usageSamples.push_back({now, task.speed, used});
        if (task.usageSamples.size() > MaxUsageSamples) {
            task.usageSamples.pop_front();
        }
    }
}

void StandinWorker::advanceTask(Task &task, TimePoint to) const
{
    if (task.state != AttemptState::Running || to <= task.updatedAt) {
        return;
    }
    const auto interval = Duration(std::max<std::int64_t>(m_profile.checkpointIntervalUs, 1));
    const TimePoint checkpoint = task.startedAt + (to - task.startedAt) / interval * interval;
    if (checkpoint > task.updatedAt) {
        const auto sinceUpdate = static_cast<double>((checkpoint - task.updatedAt).count());
        task.checkpointProgress = task.progress + sinceUpdate * task.speed;
    }
    task.progress += static_cast<double>((to - task.updatedAt).count()) * task.speed;
    task.updatedAt = to;
}

TimePoint StandinWorker::finishTime(const Task &task) const
{
    const double remaining = std::max(0.0, task.requiredProgress - task.progress);
    if (remaining > 0 && task.speed <= 0) {
        return TimePoint::max();
    }
    return task.updatedAt
           + Duration(static_cast<std::int64_t>(remaining / std::max(task.speed, 1e-9)));
}

void StandinWorker::endTask(Task &task, AttemptState state, const char *outcome, TimePoint at)
{
    task.state = state;
    const double progress =
        state == AttemptState::Stopped ? task.checkpointProgress : task.progress;
    task.progress = progress;
    if (state == AttemptState::Finished) {
        task.result = "result of " + task.spec.job.value();
    } else if (state == AttemptState::Failed) {
        task.result = "task failed on " + m_id.value();
    }
    TaskRecord &record = m_records.tasks[task.record];
    record.endUs = toMicroseconds(at);
    record.endProgressMs = toMilliseconds(progress);
    record.outcome = outcome;
}

TaskReport StandinWorker::report(const Task &task, TimePoint now) const
{
    TaskReport report;
    report.job = task.spec.job;
    report.attempt = task.spec.attempt;
    report.state = task.state;
    report.progressMs = toMilliseconds(task.progress);
    report.resources = task.spec.resources;
    report.result = task.result;
    for (const UsageSample &sample : task.usageSamples) {
        if (sample.at + Duration(m_profile.usageLagUs) > now) {
            break;
        }
        report.speed = sample.speed;
        report.usedMilliProcessors = sample.milliProcessors;
        report.usedMemoryMiB = task.usedMemoryMiB;
    }
    return report;
}

double StandinWorker::reportedCallSlowdown(TimePoint now) const
{
    double sum = 0;
    int count = 0;
    for (const auto &[at, slowdown] : m_callSlowdowns) {
        if (at + Duration(m_profile.usageLagUs) > now) {
            continue;
        }
        sum += slowdown;
        if (++count == SlowdownWindowCalls) {
            break;
        }
    }
    return count == 0 ? 1.0 : sum / count;
}

const ServiceProfile &StandinWorker::profileOf(const std::string &service) const
{
    static const ServiceProfile Default;
    const auto it = m_profile.services.find(service);
    return it == m_profile.services.end() ? Default : it->second;
}

} // namespace firefly::standins
