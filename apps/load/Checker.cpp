#include "Checker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <map>

namespace firefly::load {
namespace {

using Executions = std::map<std::string, std::vector<standins::CallRecord>>;
using Attempts = std::map<std::string, std::vector<standins::TaskRecord>>;

constexpr int FirstClientError = 400;
constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::max();

std::int64_t toMicroseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

bool hasMatchingStatus(const CallAttempt &attempt)
{
    if (attempt.outcome == "answer") {
        return attempt.status == 200;
    }
    if (attempt.outcome == "failed") {
        return attempt.status == 502;
    }
    if (attempt.outcome == "unknown") {
        return attempt.status == 504;
    }
    return attempt.outcome == "not-run" && attempt.status >= FirstClientError
           && attempt.status != 502 && attempt.status != 504;
}

/// Checks the traces of one run against the workers' records and collects the violations.
class Checker
{
public:
    explicit Checker(std::span<const WorkerReport> workers)
        : m_workers(workers)
    {
        for (const WorkerReport &worker : workers) {
            for (const auto &record : worker.records.calls) {
                m_executions[record.bodyHash].push_back(record);
            }
            for (const auto &record : worker.records.tasks) {
                m_attempts[record.job].push_back(record);
            }
        }
    }

    void checkCall(const CallTrace &trace)
    {
        const auto executions = executionsOf(trace);
        if (trace.outcome.empty() || trace.outcome == "none") {
            addViolation("one outcome for each call", trace.call.id + " has none");
        } else if (!hasMatchingStatus(trace.attempts.back())) {
            addViolation("status fits the outcome",
                         trace.call.id + " " + trace.outcome + " with status "
                             + std::to_string(trace.attempts.back().status));
        }
        if (trace.outcome == "answer") {
            checkAnswer(trace, executions);
        }
        if (trace.outcome == "failed" && executions.empty()) {
            addViolation("failed means executed", trace.call.id);
        }
        if (!trace.call.key.empty() && executions.size() > 1) {
            addViolation("at most one execution of a key",
                         trace.call.id + " ran " + std::to_string(executions.size()) + " times");
        }
        checkNotRun(trace, executions);
    }

    void checkJob(const JobTrace &trace)
    {
        if (!trace.error.empty()) {
            addViolation("every job ends", trace.job.key + " " + trace.error);
        }
        const auto it = m_attempts.find(trace.id);
        auto attempts = it == m_attempts.end() ? std::vector<standins::TaskRecord>() : it->second;
        std::ranges::sort(attempts, {}, &standins::TaskRecord::beginUs);
        std::int64_t previousEndUs = 0;
        std::int64_t finishReportedUs = Never;
        for (const auto &attempt : attempts) {
            if (attempt.beginUs < previousEndUs) {
                addViolation("attempts of a job never overlap",
                             trace.id + " attempt " + std::to_string(attempt.attempt));
            }
            if (attempt.beginUs > finishReportedUs) {
                addViolation("a job does not start again after its finish was reported", trace.id);
            }
            previousEndUs = attempt.endUs > 0 ? attempt.endUs : Never;
            if (attempt.outcome == "finished" && attempt.reportedUs > 0) {
                finishReportedUs = std::min(finishReportedUs, attempt.reportedUs);
            }
        }
        checkRepeatedAttempts(trace, attempts);
        checkJobEnd(trace, attempts);
    }

    void checkWorkers()
    {
        for (const WorkerReport &worker : m_workers) {
            if (worker.records.overrunAttempts > 0) {
                addViolation("no worker is given more than it holds",
                             worker.worker + " refused "
                                 + std::to_string(worker.records.overrunAttempts));
            }
            if (!worker.records.maxUse.fitsIn(worker.capacity)) {
                addViolation("no worker holds more than its capacity", worker.worker);
            }
        }
    }

    std::vector<Violation> takeViolations() { return std::move(m_violations); }

private:
    void addViolation(std::string rule, std::string detail)
    {
        m_violations.push_back({std::move(rule), std::move(detail)});
    }

    std::vector<standins::CallRecord> executionsOf(const CallTrace &trace) const
    {
        const auto it = m_executions.find(standins::bodyHash(trace.call.body));
        return it == m_executions.end() ? std::vector<standins::CallRecord>() : it->second;
    }

    void checkAnswer(const CallTrace &trace, std::span<const standins::CallRecord> executions)
    {
        const auto json = nlohmann::json::parse(trace.attempts.back().body, nullptr, false);
        const bool isMatching = json.is_object() && json.value("callerRequest", "") == trace.call.id
                                && json.value("bodyHash", "") == standins::bodyHash(trace.call.body)
                                && json.value("customer", "") == trace.call.customer
                                && json.value("service", "") == trace.call.service;
        if (!isMatching) {
            addViolation("the answer belongs to its request", trace.call.id);
        }
        if (std::ranges::count(executions, "answered", &standins::CallRecord::outcome) == 0) {
            addViolation("an answer was executed", trace.call.id);
        }
    }

    /// Checks that no execution began before the first attempt that may have run was sent.
    void checkNotRun(const CallTrace &trace, std::span<const standins::CallRecord> executions)
    {
        const auto first = std::ranges::find_if(trace.attempts, [](const CallAttempt &attempt) {
            return attempt.outcome != "not-run" && attempt.wasSent;
        });
        const std::int64_t mayHaveRunFromUs =
            first == trace.attempts.end() ? Never : toMicroseconds(first->sentAt);
        for (const auto &execution : executions) {
            if (execution.beginUs < mayHaveRunFromUs) {
                addViolation("what was not run did not run", trace.call.id);
            }
        }
    }

    void checkRepeatedAttempts(const JobTrace &trace,
                               std::span<const standins::TaskRecord> attempts)
    {
        std::map<std::uint64_t, int> starts;
        for (const auto &attempt : attempts) {
            if (++starts[attempt.attempt] == 2) {
                addViolation("an attempt starts once",
                             trace.id + " attempt " + std::to_string(attempt.attempt));
            }
        }
    }

    void checkJobEnd(const JobTrace &trace, std::span<const standins::TaskRecord> attempts)
    {
        const auto finished =
            std::ranges::count(attempts, "finished", &standins::TaskRecord::outcome);
        if (trace.state == "finished" && finished == 0) {
            addViolation("a finished job was executed", trace.id);
        }
        if (trace.state == "finished" && trace.result != "result of " + trace.id) {
            addViolation("a job's result is its own", trace.id);
        }
        if (trace.state == "failed") {
            addViolation("every job finishes", trace.id + " failed");
        }
        if (trace.state == "cancelled" && !trace.job.isCancelled) {
            addViolation("only cancelled jobs are cancelled", trace.id);
        }
        if (trace.state == "cancelled"
            && std::ranges::count(attempts, "running", &standins::TaskRecord::outcome) > 0) {
            addViolation("a cancelled job is stopped", trace.id);
        }
    }

    std::span<const WorkerReport> m_workers;
    Executions m_executions;
    Attempts m_attempts;
    std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation> check(std::span<const CallTrace> calls, std::span<const JobTrace> jobs,
                             std::span<const WorkerReport> workers)
{
    Checker checker(workers);
    for (const CallTrace &trace : calls) {
        checker.checkCall(trace);
    }
    for (const JobTrace &trace : jobs) {
        checker.checkJob(trace);
    }
    checker.checkWorkers();
    return checker.takeViolations();
}

} // namespace firefly::load
