#pragma once

#include "fakes/SoakAudit.h"
#include "Platform/WorkerMessages.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace firefly::fakes {

/// Fake worker that rejects orders of an older term or another boot, and never starts an attempt
/// that was stopped before.
class FakeWorker
{
public:
    FakeWorker(WorkerId id, ShardId shard, SoakAudit &audit)
        : m_id(std::move(id))
        , m_shard(std::move(shard))
        , m_audit(audit)
    {}

    const WorkerId &id() const { return m_id; }
    const ShardId &shard() const { return m_shard; }
    std::string boot() const { return m_id.value() + "/" + std::to_string(m_boots); }

    WorkerSyncReply sync(Term term)
    {
        WorkerSyncReply reply;
        reply.accepted = acceptTerm(term);
        reply.highestTerm = m_highestTerm;
        reply.boot = boot();
        for (const auto &[job, task] : m_tasks) {
            reply.tasks.push_back(task);
        }
        return reply;
    }

    void start(const StartAttempt &message, const std::string &boot)
    {
        const auto known = m_tasks.find(message.job);
        const bool isKnown = known != m_tasks.end() && known->second.attempt >= message.attempt;
        if (!acceptTerm(message.term) || boot != this->boot() || isKnown) {
            return;
        }
        m_audit.onTaskStarted(message.job, message.attempt);
        TaskReport task;
        task.job = message.job;
        task.attempt = message.attempt;
        task.progressMs = message.progressMs;
        m_tasks[message.job] = task;
        m_runtimes[message.job] = message.runtimeMs;
    }

    /// Stops the attempt and returns a report that shows it does not run; nothing when the term is
    /// too old.
    std::optional<TaskReport> stop(const StopAttempt &message)
    {
        if (!acceptTerm(message.term)) {
            return std::nullopt;
        }
        TaskReport &task = m_tasks[message.job];
        if (task.attempt < message.attempt) {
            FIREFLY_ASSERT(
                task.attempt == 0 || task.state != AttemptState::Running,
                "an older attempt of the job must have ended before a newer one is stopped");
            task = TaskReport{message.job, message.attempt, AttemptState::Stopped};
        } else if (task.attempt == message.attempt && task.state == AttemptState::Running) {
            task.state = AttemptState::Stopped;
            m_audit.onTaskEnded(message.job);
        }
        if (task.attempt > message.attempt) {
            return TaskReport{message.job, message.attempt, AttemptState::Stopped};
        }
        return task;
    }

    /// Advances every running task by \a ms.
    void advance(std::int64_t ms)
    {
        for (auto &[job, task] : m_tasks) {
            if (task.state != AttemptState::Running) {
                continue;
            }
            task.progressMs = std::min(task.progressMs + ms, m_runtimes[job]);
            if (task.progressMs == m_runtimes[job]) {
                task.state = AttemptState::Finished;
                m_audit.onTaskEnded(job);
            }
        }
    }

    /// Simulates a restart: all tasks and the highest term are lost, and the boot id changes.
    void reboot()
    {
        for (const auto &[job, task] : m_tasks) {
            if (task.state == AttemptState::Running) {
                m_audit.onTaskEnded(job);
            }
        }
        m_tasks.clear();
        m_runtimes.clear();
        m_highestTerm = 0;
        ++m_boots;
    }

private:
    bool acceptTerm(Term term)
    {
        if (term < m_highestTerm) {
            return false;
        }
        m_highestTerm = term;
        return true;
    }

    WorkerId m_id;
    ShardId m_shard;
    SoakAudit &m_audit;
    std::map<JobId, TaskReport> m_tasks;
    std::map<JobId, std::int64_t> m_runtimes;
    Term m_highestTerm = 0;
    int m_boots = 1;
};

} // namespace firefly::fakes
