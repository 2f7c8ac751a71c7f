#include "Report.h"

#include "Ops/LatencyHistogram.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <map>
#include <ostream>

namespace firefly::load {
namespace {

constexpr std::size_t MaxDetails = 20;

double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

struct ServiceStatistics
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> outcomes;
    LatencyHistogram latency;
};

nlohmann::json toJson(const ServiceStatistics &statistics)
{
    return {{"requests", statistics.requests},
            {"attempts", statistics.attempts},
            {"outcomes", statistics.outcomes},
            {"p50Ms", toMilliseconds(statistics.latency.quantile(0.5))},
            {"p99Ms", toMilliseconds(statistics.latency.quantile(0.99))}};
}

nlohmann::json summarizeCalls(std::span<const CallTrace> calls)
{
    std::map<std::string, ServiceStatistics> services;
    for (const CallTrace &trace : calls) {
        ServiceStatistics &statistics = services[trace.call.service];
        ++statistics.requests;
        statistics.attempts += trace.attempts.size();
        ++statistics.outcomes[trace.outcome];
        if (trace.outcome == "answer") {
            statistics.latency.record(trace.attempts.back().doneAt - trace.attempts.front().sentAt);
        }
    }
    auto json = nlohmann::json::object();
    for (const auto &[name, statistics] : services) {
        json[name] = toJson(statistics);
    }
    return json;
}

nlohmann::json summarizeJobs(std::span<const JobTrace> jobs)
{
    std::map<std::string, std::uint64_t> states;
    std::uint64_t evictions = 0;
    for (const JobTrace &trace : jobs) {
        ++states[trace.state.empty() ? "none" : trace.state];
        evictions += trace.evictions;
    }
    return {{"submitted", jobs.size()}, {"states", states}, {"evictions", evictions}};
}

nlohmann::json summarizeWorkers(std::span<const WorkerReport> workers)
{
    std::size_t calls = 0;
    std::size_t tasks = 0;
    std::uint64_t stale = 0;
    for (const WorkerReport &worker : workers) {
        calls += worker.records.calls.size();
        tasks += worker.records.tasks.size();
        stale += worker.records.staleMessages;
    }
    return {{"workers", workers.size()},
            {"callsExecuted", calls},
            {"taskAttempts", tasks},
            {"staleMessagesRefused", stale}};
}

} // namespace

nlohmann::json summarize(std::span<const CallTrace> calls, std::span<const JobTrace> jobs,
                         std::span<const WorkerReport> workers,
                         std::span<const Violation> violations)
{
    std::map<std::string, std::uint64_t> rules;
    auto details = nlohmann::json::array();
    for (const Violation &violation : violations) {
        ++rules[violation.rule];
        if (details.size() < MaxDetails) {
            details.push_back(violation.rule + ": " + violation.detail);
        }
    }
    return {{"calls", summarizeCalls(calls)},
            {"jobs", summarizeJobs(jobs)},
            {"workers", summarizeWorkers(workers)},
            {"violations", rules},
            {"violationDetails", details}};
}

void printTable(std::ostream &out, const nlohmann::json &summary)
{
    out << std::left << std::setw(16) << "service" << std::right << std::setw(9) << "requests"
        << std::setw(9) << "attempts" << std::setw(8) << "answer" << std::setw(8) << "failed"
        << std::setw(8) << "not-run" << std::setw(8) << "unknown" << std::setw(6) << "none"
        << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms"
        << "\n";
    for (const auto &[name, statistics] : summary["calls"].items()) {
        const auto &outcomes = statistics["outcomes"];
        out << std::left << std::setw(16) << name << std::right << std::setw(9)
            << statistics["requests"].get<std::uint64_t>() << std::setw(9)
            << statistics["attempts"].get<std::uint64_t>();
        for (const char *outcome : {"answer", "failed", "not-run", "unknown"}) {
            out << std::setw(8) << outcomes.value(outcome, 0);
        }
        out << std::setw(6) << outcomes.value("none", 0) << std::fixed << std::setprecision(1)
            << std::setw(9) << statistics["p50Ms"].get<double>() << std::setw(9)
            << statistics["p99Ms"].get<double>() << "\n";
    }
    out << "jobs     " << summary["jobs"].dump() << "\n"
        << "workers  " << summary["workers"].dump() << "\n";
    for (const auto &[rule, count] : summary["violations"].items()) {
        out << "VIOLATED " << rule << ": " << count << "\n";
    }
    for (const auto &detail : summary["violationDetails"]) {
        out << "         " << detail.get<std::string>() << "\n";
    }
    out << (summary["violations"].empty() ? "no violation" : "violations found") << std::endl;
}

} // namespace firefly::load
