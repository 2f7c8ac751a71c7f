#pragma once

#include "OwnershipCluster.h"

#include <rapidcheck.h>

#include <array>
#include <ostream>

namespace firefly::test {

enum class FaultKind {
    DisconnectPeers,
    DisconnectLog,
    DisconnectWorker,
    Pause,
    Restart,
    LogDown,
    WorkerReset,
    Unlist
};

/// One fault of a random schedule.
struct Fault
{
    FaultKind kind = FaultKind::LogDown;
    int entry = 0;
    int other = 0; ///< Second entry, or worker.
    int atMs = 0;
    int lengthMs = 0;
};

inline std::ostream &operator<<(std::ostream &out, const Fault &it)
{
    constexpr std::array Names = {
        "disconnect-peers", "disconnect-log", "disconnect-worker", "pause",
        "restart",          "log-down",       "worker-reset",      "unlist"};
    return out << Names[static_cast<std::size_t>(it.kind)] << " e" << it.entry << " other "
               << it.other << " at " << it.atMs << " ms for " << it.lengthMs << " ms";
}

/// Generates schedules of faults that start within one minute and last up to 25 s each.
inline rc::Gen<std::vector<Fault>> faultSchedules()
{
    const auto range = [](int from, int to) {
        return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
    };
    const auto kind = rc::gen::map(range(0, 8), [](int it) { return static_cast<FaultKind>(it); });
    const auto fault = rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, kind), rc::gen::set(&Fault::entry, range(0, 3)),
        rc::gen::set(&Fault::other, range(0, 24)), rc::gen::set(&Fault::atMs, range(0, 60000)),
        rc::gen::set(&Fault::lengthMs, range(100, 25000)));
    return rc::gen::resize(12, rc::gen::container<std::vector<Fault>>(fault));
}

/// Starts or ends \a fault.  An end also ends overlapping faults of the same kind and target.
inline void setFault(Cluster &cluster, const Fault &fault, bool on)
{
    FakeEntry &entry = cluster.entries[static_cast<std::size_t>(fault.entry)];
    FakeWorker &worker =
        cluster.workers[static_cast<std::size_t>(fault.other) % cluster.workers.size()];
    const std::string &name = entry.info.id.value();
    const auto setLink = [&](const std::string &to) {
        on ? cluster.disconnect(name, to) : cluster.reconnect(name, to);
    };
    switch (fault.kind) {
    case FaultKind::DisconnectPeers:
        setLink("e" + std::to_string(fault.other % 3));
        break;
    case FaultKind::DisconnectLog:
        setLink("log");
        break;
    case FaultKind::DisconnectWorker:
        setLink(worker.info.id.value());
        break;
    case FaultKind::Pause:
        on ? cluster.pause(entry) : cluster.resume(entry);
        break;
    case FaultKind::Restart:
        on ? cluster.kill(entry) : cluster.boot(entry);
        break;
    case FaultKind::LogDown:
        cluster.setLogUp(!on);
        break;
    case FaultKind::WorkerReset:
        worker.reset();
        break;
    case FaultKind::Unlist:
        cluster.setListed(entry, !on);
        break;
    }
}

/// Runs \a faults, waits 60 s after the last one ended, and \returns whether every worker has an
/// owner and every job runs.
/// \throws InvariantViolation
inline bool runSchedule(const ClusterOptions &options, const std::vector<Fault> &faults)
{
    Cluster cluster(options);
    cluster.run(std::chrono::seconds(15));
    std::multimap<int, std::pair<const Fault *, bool>> transitions;
    for (const Fault &it : faults) {
        transitions.emplace(it.atMs, std::pair(&it, true));
        transitions.emplace(it.atMs + it.lengthMs, std::pair(&it, false));
    }
    int now = 0;
    for (const auto &[at, it] : transitions) {
        cluster.run(std::chrono::milliseconds(at - now));
        now = at;
        setFault(cluster, *it.first, it.second);
    }
    cluster.run(std::chrono::seconds(60));
    return cluster.totalServedWorkers() == static_cast<int>(cluster.workers.size())
           && cluster.runningTasks() == options.jobs;
}

} // namespace firefly::test
