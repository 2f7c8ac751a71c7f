#include "Workload/JobRecords.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <span>

namespace firefly::JobRecords {
namespace {

using nlohmann::json;

constexpr char SpecPrefix = 'j';
constexpr char ProgressPrefix = 'p';
constexpr char WorkerPrefix = 'w';
constexpr char ReferralPrefix = 'r';
constexpr char InterferencePrefix = 'l';
constexpr char DelegationPrefix = 'd';
/// Separates the limits in a worker's record from its address.
constexpr char LimitsEnd = ' ';

// Fields are stored by array position: append new fields at the end and never reorder them.

json toJson(const StepSpec &step)
{
    return json::array({step.taskCount, step.demand.milliCpu, step.demand.memoryMb,
                        step.demand.gpus, step.estimateMs, step.after, step.isCheckpointing,
                        step.isGang, step.hasRackAffinity, step.requiredLabel, step.dataRack,
                        step.maxPerWorker, step.isSpeculative, step.isLongRunning, step.image,
                        step.targetMs, step.isFiller, step.maxUnavailable});
}

StepSpec toStep(const json &row)
{
    StepSpec step;
    std::size_t at = 0;
    const auto next = [&]() -> const json & { return row.at(at++); };
    next().get_to(step.taskCount);
    next().get_to(step.demand.milliCpu);
    next().get_to(step.demand.memoryMb);
    next().get_to(step.demand.gpus);
    next().get_to(step.estimateMs);
    next().get_to(step.after);
    next().get_to(step.isCheckpointing);
    next().get_to(step.isGang);
    next().get_to(step.hasRackAffinity);
    next().get_to(step.requiredLabel);
    next().get_to(step.dataRack);
    next().get_to(step.maxPerWorker);
    next().get_to(step.isSpeculative);
    next().get_to(step.isLongRunning);
    next().get_to(step.image);
    next().get_to(step.targetMs);
    next().get_to(step.isFiller);
    next().get_to(step.maxUnavailable);
    return step;
}

std::string toBytes(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json encodeNames(std::span<const TaskName> names)
{
    json rows = json::array();
    for (const TaskName &it : names) {
        rows.push_back({it.job.value(), it.occurrence, it.step, it.index});
    }
    return rows;
}

std::vector<TaskName> decodeNames(const json &rows)
{
    std::vector<TaskName> names;
    for (const json &row : rows) {
        names.push_back({JobId(row.at(0).get<std::string>()), row.at(1).get<std::uint32_t>(),
                         row.at(2).get<std::uint32_t>(), row.at(3).get<std::uint32_t>()});
    }
    return names;
}

json encodeStarts(std::span<const OrderedStart> starts)
{
    json rows = json::array();
    for (const OrderedStart &it : starts) {
        rows.push_back(
            {it.task.job.value(), it.task.occurrence, it.task.step, it.task.index, it.run});
    }
    return rows;
}

std::vector<OrderedStart> decodeStarts(const json &rows)
{
    std::vector<OrderedStart> starts;
    const std::vector<TaskName> names = decodeNames(rows);
    for (std::size_t i = 0; i < names.size(); ++i) {
        starts.push_back({names[i], rows.at(i).at(4).get<std::uint32_t>()});
    }
    return starts;
}

} // namespace

std::string specKey(const JobId &job)
{
    return SpecPrefix + job.value();
}
std::string progressKey(const JobId &job)
{
    return ProgressPrefix + job.value();
}
std::string workerKey(std::string_view worker)
{
    return WorkerPrefix + std::string(worker);
}

std::string interferenceKey()
{
    return InterferencePrefix + std::string("interference");
}

std::string referralKey(const JobId &job)
{
    return ReferralPrefix + job.value();
}

std::string delegationKey(const JobId &job)
{
    return DelegationPrefix + job.value();
}

std::string encodeWorker(const WorkerRecord &record)
{
    // Builds that know no limits take them for a part of the host name, so that the worker is
    // silent to them and they wait for the longest lease.
    json limits = json::object();
    if (record.leaseLeftMs) {
        limits["lease_left_ms"] = *record.leaseLeftMs;
    }
    if (record.tasks) {
        limits["tasks"] = encodeNames(*record.tasks);
    }
    if (!record.openStarts.empty()) {
        limits["open_starts"] = encodeNames(record.openStarts);
        limits["starts_left_ms"] = record.startsLeftMs;
    }
    if (record.incarnationStartUnixMs != 0) {
        limits["incarnation"] = record.incarnationStartUnixMs;
    }
    if (record.earlierGrantsMs != 0) {
        limits["earlier_grants_ms"] = record.earlierGrantsMs;
    }
    if (!record.recentStarts.empty()) {
        limits["recent_starts"] = encodeStarts(record.recentStarts);
    }
    if (limits.empty()) {
        return record.address;
    }
    return limits.dump() + LimitsEnd + record.address;
}

WorkerRecord decodeWorker(std::string_view bytes)
{
    WorkerRecord record;
    const auto end = bytes.rfind(LimitsEnd);
    if (end == std::string_view::npos) {
        record.address = std::string(bytes);
        return record;
    }
    record.address = std::string(bytes.substr(end + 1));
    try {
        const json limits = json::parse(bytes.substr(0, end));
        if (const auto it = limits.find("lease_left_ms"); it != limits.end()) {
            record.leaseLeftMs = it->get<std::int64_t>();
        }
        if (const auto it = limits.find("tasks"); it != limits.end()) {
            record.tasks = decodeNames(*it);
        }
        if (const auto it = limits.find("open_starts"); it != limits.end()) {
            record.openStarts = decodeNames(*it);
            record.startsLeftMs = limits.at("starts_left_ms").get<std::int64_t>();
        }
        record.incarnationStartUnixMs = limits.value("incarnation", std::int64_t{0});
        record.earlierGrantsMs = limits.value("earlier_grants_ms", std::int64_t{0});
        if (const auto it = limits.find("recent_starts"); it != limits.end()) {
            record.recentStarts = decodeStarts(*it);
        }
    } catch (const json::exception &e) {
        throw JobRecordError(std::string("worker record: ") + e.what());
    }
    return record;
}

std::string encodeReferral(const JobReferral &referral)
{
    return nlohmann::json{referral.cell, referral.atUnixMs}.dump();
}

JobReferral decodeReferral(std::string_view bytes)
{
    try {
        const auto row = nlohmann::json::parse(bytes);
        return {row.at(0).get<int>(), row.at(1).get<std::int64_t>()};
    } catch (const nlohmann::json::exception &e) {
        throw JobRecordError(std::string("referral record: ") + e.what());
    }
}

ParsedKey parseKey(std::string_view key)
{
    if (key.size() < 2) {
        return {};
    }
    ParsedKey parsed;
    parsed.name = std::string(key.substr(1));
    switch (key.front()) {
    case SpecPrefix:
        parsed.kind = KeyKind::Spec;
        break;
    case ProgressPrefix:
        parsed.kind = KeyKind::Progress;
        break;
    case ReferralPrefix:
        parsed.kind = KeyKind::Referral;
        break;
    case WorkerPrefix:
        parsed.kind = KeyKind::Worker;
        break;
    case DelegationPrefix:
        parsed.kind = KeyKind::Delegation;
        break;
    case InterferencePrefix:
        parsed.kind = KeyKind::Interference;
        break;
    default:
        break;
    }
    return parsed;
}

std::string encodeSpec(const JobSpec &spec, std::int64_t submittedAtUnixMs)
{
    json steps = json::array();
    for (const StepSpec &it : spec.steps) {
        steps.push_back(toJson(it));
    }
    const QueuePolicy &policy = spec.policy;
    return toBytes(
        json::array({submittedAtUnixMs, spec.payload, std::move(steps), spec.repetitions,
                     spec.startAtUnixMs, spec.intervalMs,
                     json::array({policy.queue.value(), policy.service, policy.priority,
                                  policy.maxAttempts, policy.stretch, policy.targetLatencyMs})}));
}

JobSpec decodeSpec(std::string_view bytes, std::int64_t &submittedAtUnixMs)
{
    try {
        const json row = json::from_cbor(bytes);
        JobSpec spec;
        row.at(0).get_to(submittedAtUnixMs);
        row.at(1).get_to(spec.payload);
        for (const json &it : row.at(2)) {
            spec.steps.push_back(toStep(it));
        }
        row.at(3).get_to(spec.repetitions);
        row.at(4).get_to(spec.startAtUnixMs);
        row.at(5).get_to(spec.intervalMs);
        const json &policy = row.at(6);
        spec.policy.queue = QueueName(policy.at(0).get<std::string>());
        policy.at(1).get_to(spec.policy.service);
        policy.at(2).get_to(spec.policy.priority);
        policy.at(3).get_to(spec.policy.maxAttempts);
        policy.at(4).get_to(spec.policy.stretch);
        policy.at(5).get_to(spec.policy.targetLatencyMs);
        return spec;
    } catch (const json::exception &e) {
        throw JobRecordError(std::string("job record: ") + e.what());
    }
}

namespace {

constexpr int UnknownHome = -1;

json toJson(const std::vector<TaskProgress> &tasks)
{
    json rows = json::array();
    for (const TaskProgress &it : tasks) {
        json row = json::array(
            {it.occurrence, it.step, it.index, it.isDone, it.failedRuns, it.checkpoint});
        if (it.guest) {
            row.push_back(*it.guest);
            row.push_back(it.run);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<TaskProgress> toTasks(const json &rows)
{
    constexpr std::size_t GuestField = 6;
    std::vector<TaskProgress> tasks;
    for (const json &it : rows) {
        TaskProgress task;
        it.at(0).get_to(task.occurrence);
        it.at(1).get_to(task.step);
        it.at(2).get_to(task.index);
        it.at(3).get_to(task.isDone);
        it.at(4).get_to(task.failedRuns);
        it.at(5).get_to(task.checkpoint);
        if (it.size() > GuestField) {
            task.guest = it.at(GuestField).get<int>();
            it.at(GuestField + 1).get_to(task.run);
        }
        tasks.push_back(std::move(task));
    }
    return tasks;
}

// Rows of their own, so that processes of an earlier version can read the rows of the tasks.
json crashesToJson(const std::vector<TaskProgress> &tasks)
{
    json rows = json::array();
    for (const TaskProgress &it : tasks) {
        if (!it.crashes.isEmpty()) {
            rows.push_back(json::array({it.occurrence, it.step, it.index, it.crashes.early,
                                        it.crashes.certain, it.crashes.evidence, it.crashes.late}));
        }
    }
    return rows;
}

json waitsToJson(const std::vector<TaskProgress> &tasks)
{
    json rows = json::array();
    for (const TaskProgress &it : tasks) {
        if (it.waitingSinceUnixMs != 0) {
            rows.push_back(json::array({it.occurrence, it.step, it.index, it.waitingSinceUnixMs}));
        }
    }
    return rows;
}

json firstRunsToJson(const std::vector<TaskProgress> &tasks)
{
    json rows = json::array();
    for (const TaskProgress &it : tasks) {
        if (it.firstRun != 0) {
            rows.push_back(json::array({it.occurrence, it.step, it.index, it.firstRun}));
        }
    }
    return rows;
}

/// Calls \a read with each row of \a field and the task of \a tasks that the row is about.
/// Records of earlier versions lack the field.
template <typename Read>
void readTaskRows(const json &record, std::size_t field, std::vector<TaskProgress> &tasks,
                  const Read &read)
{
    if (record.size() <= field) {
        return;
    }
    for (const json &row : record.at(field)) {
        const auto at = [&row](std::size_t i) { return row.at(i).get<std::uint32_t>(); };
        const auto it = std::ranges::find_if(tasks, [&at](const TaskProgress &task) {
            return task.occurrence == at(0) && task.step == at(1) && task.index == at(2);
        });
        if (it != tasks.end()) {
            read(row, *it);
        }
    }
}

void readCrashes(const json &record, std::size_t field, std::vector<TaskProgress> &tasks)
{
    readTaskRows(record, field, tasks, [](const json &row, TaskProgress &task) {
        const auto at = [&row](std::size_t i) { return row.at(i).get<std::uint32_t>(); };
        task.crashes = {at(3), at(4), at(5), at(6)};
    });
}

void readWaits(const json &record, std::size_t field, std::vector<TaskProgress> &tasks)
{
    readTaskRows(record, field, tasks, [](const json &row, TaskProgress &task) {
        row.at(3).get_to(task.waitingSinceUnixMs);
    });
}

void readFirstRuns(const json &record, std::size_t field, std::vector<TaskProgress> &tasks)
{
    readTaskRows(record, field, tasks,
                 [](const json &row, TaskProgress &task) { row.at(3).get_to(task.firstRun); });
}

} // namespace

std::string encodeProgress(const JobProgress &progress)
{
    return toBytes(json::array({static_cast<int>(progress.state), progress.finalAtUnixMs,
                                progress.isStarted, toJson(progress.tasks),
                                crashesToJson(progress.tasks), waitsToJson(progress.tasks),
                                firstRunsToJson(progress.tasks), progress.guests}));
}

JobProgress decodeProgress(std::string_view bytes)
{
    try {
        const json row = json::from_cbor(bytes);
        JobProgress progress;
        progress.state = static_cast<JobState>(row.at(0).get<int>());
        row.at(1).get_to(progress.finalAtUnixMs);
        row.at(2).get_to(progress.isStarted);
        progress.tasks = toTasks(row.at(3));
        readCrashes(row, 4, progress.tasks);
        readWaits(row, 5, progress.tasks);
        readFirstRuns(row, 6, progress.tasks);
        if (row.size() > 7) {
            row.at(7).get_to(progress.guests);
        }
        return progress;
    } catch (const json::exception &e) {
        throw JobRecordError(std::string("progress record: ") + e.what());
    }
}

std::string encodeDelegation(const TaskDelegation &delegation)
{
    const std::string spec = encodeSpec(delegation.spec, delegation.submittedAtUnixMs);
    // A process of an earlier version must not take returned tasks for its own.
    std::vector<TaskProgress> kept;
    std::vector<TaskProgress> returned;
    std::ranges::partition_copy(delegation.tasks, std::back_inserter(returned),
                                std::back_inserter(kept), &TaskProgress::isReturned);
    return toBytes(json::array({json::binary({spec.begin(), spec.end()}), toJson(kept),
                                crashesToJson(delegation.tasks), waitsToJson(delegation.tasks),
                                delegation.home.value_or(UnknownHome), toJson(returned)}));
}

TaskDelegation decodeDelegation(std::string_view bytes)
{
    try {
        const json row = json::from_cbor(bytes);
        const json::binary_t &spec = row.at(0).get_binary();
        TaskDelegation delegation;
        delegation.spec =
            decodeSpec(std::string(spec.begin(), spec.end()), delegation.submittedAtUnixMs);
        delegation.tasks = toTasks(row.at(1));
        const int home = row.size() > 4 ? row.at(4).get<int>() : UnknownHome;
        delegation.home = home == UnknownHome ? std::nullopt : std::optional(home);
        for (TaskProgress &it : toTasks(row.size() > 5 ? row.at(5) : json::array())) {
            it.isReturned = true;
            delegation.tasks.push_back(std::move(it));
        }
        readCrashes(row, 2, delegation.tasks);
        readWaits(row, 3, delegation.tasks);
        for (const TaskProgress &it : delegation.tasks) {
            const bool isTask = delegation.spec.repetitions == 0 && it.occurrence == 0
                                && it.step < delegation.spec.steps.size()
                                && it.index < delegation.spec.steps[it.step].taskCount;
            if (!isTask || !it.guest) {
                throw JobRecordError("delegation record: task " + std::to_string(it.step) + "."
                                     + std::to_string(it.index)
                                     + (isTask ? " names no cell" : " is not part of the job"));
            }
        }
        return delegation;
    } catch (const json::exception &e) {
        throw JobRecordError(std::string("delegation record: ") + e.what());
    }
}

} // namespace firefly::JobRecords
