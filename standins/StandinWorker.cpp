#include "StandinWorker.h"

#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace firefly::standins {
namespace {

constexpr double MicrosecondsPerMillisecond = 1000.0;
constexpr std::size_t MaxSamples = 64;
constexpr std::size_t MaxCallSlowdowns = 512;
constexpr std::ptrdiff_t SlowdownWindow = 32;
constexpr double FailureProgress = 1000.0; ///< Microseconds until a failing task ends.

std::int64_t toMicroseconds(TimePoint at)
{
    return at.time_since_epoch().count();
}

std::int64_t toMilliseconds(double microseconds)
{
    return static_cast<std::int64_t>(microseconds / MicrosecondsPerMillisecond);
}

/// What a task really does, as its payload says when that is a JSON object.
nlohmann::json hiddenBehaviour(const std::string &payload)
{
    auto json = nlohmann::json::parse(payload, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

} // namespace

void to_json(nlohmann::json &json, const WorkerProfile &value)
{
    json = {{"services", nlohmann::json::object()}, {"slowdown", value.slowdown}};
    for (const auto &[name, service] : value.services) {
        json["services"][name] = {{"durationUs", service.duration.count()},
                                  {"jitter", service.jitter},
                                  {"resources", service.resources}};
    }
    json["usageLagUs"] = value.usageLag.count();
    json["checkpointIntervalUs"] = value.checkpointInterval.count();
}

void from_json(const nlohmann::json &json, WorkerProfile &value)
{
    value.slowdown = json.value("slowdown", value.slowdown);
    const auto services = json.value("services", nlohmann::json::object());
    for (const auto &[name, service] : services.items()) {
        ServiceProfile profile;
        profile.duration = Duration(service.value("durationUs", profile.duration.count()));
        profile.jitter = service.value("jitter", profile.jitter);
        profile.resources = service.value("resources", profile.resources);
        value.services[name] = profile;
    }
    value.usageLag = Duration(json.value("usageLagUs", value.usageLag.count()));
    value.checkpointInterval =
        Duration(json.value("checkpointIntervalUs", value.checkpointInterval.count()));
}

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
    if (term < m_highestTerm) {
        ++m_records.staleMessages;
        return false;
    }
    m_highestTerm = term;
    return true;
}

WorkerSyncReply StandinWorker::sync(const WorkerSync &message, TimePoint now)
{
    settle(now);
    const bool isNewer = message.term != m_leaseTerm || message.number > m_lastNumber;
    WorkerSyncReply reply;
    reply.accepted = message.term >= m_highestTerm && isNewer;
    if (reply.accepted) {
        m_highestTerm = message.term;
        m_leaseTerm = message.term;
        m_lastNumber = message.number;
        m_leaseEnd = now + std::chrono::milliseconds(message.leaseMs);
        std::erase_if(m_tasks, [&message](const auto &it) {
            const std::string name = it.first.first.value() + "#" + std::to_string(it.first.second);
            return it.second.state != TaskState::Running
                   && std::ranges::count(message.acknowledged, name) > 0;
        });
    } else {
        ++m_records.staleMessages;
    }
    reply.highestTerm = m_highestTerm;
    reply.boot = m_bootPrefix + "." + std::to_string(m_boots);
    reply.capacity = m_capacity;
    reply.urgentRunning = static_cast<std::int64_t>(m_calls.size());
    reply.urgentSlowdown = laggedSlowdown(now);
    for (const auto &[key, task] : m_tasks) {
        reply.tasks.push_back(report(task, now));
    }
    return reply;
}

Verdict StandinWorker::start(const StartTask &message, TimePoint now)
{
    settle(now);
    if (!acceptTerm(message.term)) {
        return Verdict::StaleTerm;
    }
    if (!hasLease(now) || message.term != m_leaseTerm) {
        ++m_records.staleMessages;
        return Verdict::LapsedLease;
    }
    if (message.leaseNumber != m_lastNumber) {
        ++m_records.staleMessages;
        return Verdict::Fenced;
    }
    const TaskKey key(message.job, message.attempt);
    if (m_tasks.contains(key)) {
        return Verdict::Repeated;
    }
    if (!(used() + message.resources).fitsIn(m_capacity)) {
        ++m_records.overrunAttempts;
        return Verdict::NoRoom;
    }
    Task &task = m_tasks[key];
    const auto hidden = hiddenBehaviour(message.payload);
    task.spec = message;
    task.began = now;
    task.updated = now;
    task.progress = static_cast<double>(message.progressMs) * MicrosecondsPerMillisecond;
    task.checkpointed = task.progress;
    task.needed = static_cast<double>(hidden.value("actualRuntimeMs", message.runtimeMs))
                  * MicrosecondsPerMillisecond;
    task.usedMilliProcessors =
        hidden.value("usedMilliProcessors", message.resources.milliProcessors);
    task.usedMemoryMiB = hidden.value("usedMemoryMiB", message.resources.memoryMiB);
    task.endsInFailure = m_failsEverything || hidden.value("fails", false);
    if (task.endsInFailure) {
        task.needed = std::min(task.needed, task.progress + FailureProgress);
    }
    task.record = m_records.tasks.size();
    m_records.tasks.push_back({message.job.value(), message.attempt, message.term,
                               toMicroseconds(now), 0, message.progressMs, message.progressMs,
                               "running"});
    noteUse();
    updateSpeeds(now);
    return Verdict::Done;
}

Verdict StandinWorker::stop(const StopTask &message, TimePoint now)
{
    settle(now);
    if (!acceptTerm(message.term)) {
        return Verdict::StaleTerm;
    }
    const auto it = m_tasks.find(TaskKey(message.job, message.attempt));
    if (it == m_tasks.end()) {
        return Verdict::UnknownTask;
    }
    Task &task = it->second;
    if (task.state != TaskState::Running) {
        return Verdict::Done;
    }
    if (message.checkpoint) {
        task.checkpointed = task.progress;
    }
    endTask(task, TaskState::Stopped, "stopped", now);
    updateSpeeds(now);
    return Verdict::Done;
}

Verdict StandinWorker::throttle(const ThrottleTask &message, TimePoint now)
{
    settle(now);
    if (!acceptTerm(message.term)) {
        return Verdict::StaleTerm;
    }
    const auto it = m_tasks.find(TaskKey(message.job, message.attempt));
    if (it == m_tasks.end()) {
        return Verdict::UnknownTask;
    }
    it->second.share = std::clamp(message.share, 0.0, 1.0);
    updateSpeeds(now);
    return Verdict::Done;
}

CallTicket StandinWorker::beginCall(const WorkerCall &message, TimePoint now)
{
    settle(now);
    if (!acceptTerm(message.term)) {
        return {Verdict::StaleTerm, 0, {}};
    }
    const ServiceProfile &profile = profileOf(message.service.value());
    if (!(used() + profile.resources).fitsIn(m_capacity)) {
        ++m_records.overrunAttempts;
        return {Verdict::NoSlot, 0, {}};
    }
    Call call;
    call.service = message.service.value();
    call.resources = profile.resources;
    call.slowdown = slowdownOf(call.service, nullptr) * m_slowFactor;
    call.record = m_records.calls.size();
    m_records.calls.push_back({message.request.value(), message.key, call.service,
                               bodyHash(message.body), toMicroseconds(now), 0, "running"});
    std::uniform_real_distribution<double> jitter(-profile.jitter, profile.jitter);
    const double length = static_cast<double>(profile.duration.count());
    const Duration duration(
        static_cast<std::int64_t>(length * (1.0 + jitter(m_random)) * call.slowdown));
    const std::uint64_t number = m_nextCall++;
    m_calls.emplace(number, std::move(call));
    noteUse();
    updateSpeeds(now);
    return {Verdict::Done, number, duration};
}

bool StandinWorker::endCall(std::uint64_t call, TimePoint now)
{
    settle(now);
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return false;
    }
    CallRecord &record = m_records.calls[it->second.record];
    record.endUs = toMicroseconds(now);
    record.outcome = m_failsEverything ? "failed" : "answered";
    m_callSlowdowns.emplace_back(now, it->second.slowdown);
    if (m_callSlowdowns.size() > MaxCallSlowdowns) {
        m_callSlowdowns.pop_front();
    }
    m_calls.erase(it);
    updateSpeeds(now);
    return !m_failsEverything;
}

void StandinWorker::reboot(TimePoint now)
{
    settle(now);
    for (auto &[key, task] : m_tasks) {
        if (task.state == TaskState::Running) {
            endTask(task, TaskState::Stopped, "lost", now);
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
    m_highestTerm = 0;
    m_leaseTerm = 0;
    m_lastNumber = 0;
    m_leaseEnd = TimePoint{};
    ++m_boots;
}

void StandinWorker::settle(TimePoint now)
{
    while (true) {
        Task *next = nullptr;
        TimePoint at = std::min(now, m_leaseEnd);
        for (auto &[key, task] : m_tasks) {
            if (task.state == TaskState::Running && finishTime(task) <= at) {
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
        next->progress = next->needed;
        const bool fails = next->endsInFailure || m_failsEverything;
        endTask(*next, fails ? TaskState::Failed : TaskState::Finished,
                fails ? "failed" : "finished", at);
        updateSpeeds(at);
    }
    const TimePoint until = std::min(now, m_leaseEnd);
    for (auto &[key, task] : m_tasks) {
        advanceTask(task, until);
        if (task.state == TaskState::Running && !hasLease(now)) {
            endTask(task, TaskState::Stopped, "lapsed", m_leaseEnd);
        }
    }
}

void StandinWorker::setSlowFactor(double factor, TimePoint now)
{
    settle(now);
    m_slowFactor = factor;
    updateSpeeds(now);
}

Resources StandinWorker::used() const
{
    Resources sum;
    for (const auto &[key, task] : m_tasks) {
        if (task.state == TaskState::Running) {
            sum += task.spec.resources;
        }
    }
    for (const auto &[number, call] : m_calls) {
        sum += call.resources;
    }
    return sum;
}

void StandinWorker::noteUse()
{
    const Resources now = used();
    Resources &max = m_records.maxUse;
    max.milliProcessors = std::max(max.milliProcessors, now.milliProcessors);
    max.memoryMiB = std::max(max.memoryMiB, now.memoryMiB);
    max.accelerators = std::max(max.accelerators, now.accelerators);
    max.slots = std::max(max.slots, now.slots);
}

double StandinWorker::slowdownOf(const std::string &kind, const Task *except) const
{
    const auto row = m_profile.slowdown.find(kind);
    if (row == m_profile.slowdown.end()) {
        return 1.0;
    }
    double slowdown = 1.0;
    const auto add = [&row, &slowdown](const std::string &neighbour, double share) {
        const auto cell = row->second.find(neighbour);
        slowdown += cell == row->second.end() ? 0.0 : cell->second * share;
    };
    for (const auto &[key, task] : m_tasks) {
        if (&task != except && task.state == TaskState::Running) {
            add(task.spec.kind, task.share);
        }
    }
    for (const auto &[number, call] : m_calls) {
        add(call.service, 1.0);
    }
    return slowdown;
}

void StandinWorker::updateSpeeds(TimePoint now)
{
    for (auto &[key, task] : m_tasks) {
        if (task.state != TaskState::Running) {
            continue;
        }
        task.speed = task.share / (slowdownOf(task.spec.kind, &task) * m_slowFactor);
        const auto used =
            static_cast<std::int64_t>(static_cast<double>(task.usedMilliProcessors) * task.share);
        task.samples.push_back({now, task.speed, used});
        if (task.samples.size() > MaxSamples) {
            task.samples.pop_front();
        }
    }
}

void StandinWorker::advanceTask(Task &task, TimePoint to) const
{
    if (task.state != TaskState::Running || to <= task.updated) {
        return;
    }
    const auto interval = std::max(m_profile.checkpointInterval, Duration(1));
    const TimePoint checkpoint = task.began + (to - task.began) / interval * interval;
    if (checkpoint > task.updated) {
        const auto sinceUpdate = static_cast<double>((checkpoint - task.updated).count());
        task.checkpointed = task.progress + sinceUpdate * task.speed;
    }
    task.progress += static_cast<double>((to - task.updated).count()) * task.speed;
    task.updated = to;
}

TimePoint StandinWorker::finishTime(const Task &task) const
{
    const double left = std::max(0.0, task.needed - task.progress);
    if (left > 0 && task.speed <= 0) {
        return TimePoint::max();
    }
    return task.updated + Duration(static_cast<std::int64_t>(left / std::max(task.speed, 1e-9)));
}

void StandinWorker::endTask(Task &task, TaskState state, const char *outcome, TimePoint at)
{
    task.state = state;
    const double progress = state == TaskState::Stopped ? task.checkpointed : task.progress;
    task.progress = progress;
    if (state == TaskState::Finished) {
        task.result = "result of " + task.spec.job.value();
    } else if (state == TaskState::Failed) {
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
    for (const Sample &sample : task.samples) {
        if (sample.at + m_profile.usageLag > now) {
            break;
        }
        report.speed = sample.speed;
        report.usedMilliProcessors = sample.milliProcessors;
        report.usedMemoryMiB = task.usedMemoryMiB;
    }
    return report;
}

double StandinWorker::laggedSlowdown(TimePoint now) const
{
    const auto isVisible = [&](const auto &sample) {
        return sample.first + m_profile.usageLag <= now;
    };
    const auto begin = m_callSlowdowns.begin();
    const auto end = std::partition_point(begin, m_callSlowdowns.end(), isVisible);
    const auto n = std::min(SlowdownWindow, end - begin);
    const double sum = std::accumulate(
        end - n, end, 0.0, [](double total, const auto &sample) { return total + sample.second; });
    return n == 0 ? 1.0 : sum / static_cast<double>(n);
}

const ServiceProfile &StandinWorker::profileOf(const std::string &service) const
{
    static const ServiceProfile Default;
    const auto it = m_profile.services.find(service);
    return it == m_profile.services.end() ? Default : it->second;
}

} // namespace firefly::standins
