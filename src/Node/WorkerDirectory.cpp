#include "Node/WorkerDirectory.h"

#include "platform/Wire.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace firefly {
namespace {

/// Registrations change every few heartbeats; reading them in groups saves calls.
constexpr Duration ReadPause = std::chrono::milliseconds(400);
constexpr Duration ReadWait = std::chrono::milliseconds(1000);

template <typename OnRecord, typename OnSnapshot>
TopicFollower::Callbacks makeCallbacks(OnRecord onRecord, OnSnapshot onSnapshot,
                                       std::function<void()> wake)
{
    TopicFollower::Callbacks callbacks;
    callbacks.onRecord = std::move(onRecord);
    callbacks.onSnapshot = std::move(onSnapshot);
    callbacks.onRead = [wake = std::move(wake)](std::uint64_t) { wake(); };
    // The claims' follower notes that the store is lost and found.
    callbacks.onFailed = [](const std::string &) {};
    return callbacks;
}

} // namespace

WorkerDirectory::WorkerDirectory(asio::io_context &context, platform::StoreClient &store,
                                 CellScheduler &scheduler, EventLog &log, const CellLayout &layout,
                                 int cell, std::function<void()> wake)
    : m_scheduler(scheduler)
    , m_log(log)
    , m_layout(layout)
    , m_cell(cell)
    , m_follower(context, store, platform::workerTopic(), ReadWait, ReadPause,
                 makeCallbacks([this](const KeyedRecord &it) { take(it); },
                               [this](const std::set<std::string> &keys) { takeSnapshot(keys); },
                               std::move(wake)))
{}

void WorkerDirectory::takeSnapshot(const std::set<std::string> &keys)
{
    std::erase_if(m_foreign, [&keys](const auto &it) { return !keys.contains(it); });
    std::vector<WorkerId> gone;
    for (const auto &[id, worker] : m_scheduler.state().workers) {
        if (worker->isRegistered && !keys.contains(id)) {
            gone.push_back(worker->info.id);
        }
    }
    for (const WorkerId &it : gone) {
        m_scheduler.onWorkerGone(it, Clock::now());
    }
}

void WorkerDirectory::take(const KeyedRecord &record)
{
    if (m_foreign.contains(record.key)) {
        // A worker's rack, and with it its cell, is the same for its whole life.
        if (!record.value) {
            m_foreign.erase(record.key);
        }
        return;
    }
    const TimePoint now = Clock::now();
    if (!record.value) {
        m_log.write(LogLevel::Info, "cell", "worker gone", {{"worker", record.key}});
        m_scheduler.onWorkerGone(WorkerId(record.key), now);
        return;
    }
    try {
        const WorkerDescription worker = platform::decodeWorker(record.key, *record.value);
        if (m_layout.cellOf(worker) != m_cell) {
            m_foreign.insert(record.key);
            return;
        }
        m_scheduler.onWorkerListed(worker, now);
    } catch (const platform::WireError &e) {
        m_log.write(LogLevel::Warning, "cell", "unreadable worker entry", {{"error", e.what()}});
    }
}

} // namespace firefly
