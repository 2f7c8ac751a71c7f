#include "Node/WorkerDirectory.h"

#include "platform/Wire.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace firefly {
namespace {

/// Registrations change every few heartbeats; reading several at once saves calls.
constexpr Duration ReadPause = std::chrono::milliseconds(400);
constexpr Duration ReadWait = std::chrono::milliseconds(1000);

} // namespace

WorkerDirectory::WorkerDirectory(asio::io_context &context, platform::StoreClient &store,
                                 StoreRetryPolicy &retries, CellScheduler &scheduler, EventLog &log,
                                 const CellLayout &layout, int cell, std::function<void()> onRead)
    : m_scheduler(scheduler)
    , m_log(log)
    , m_layout(layout)
    , m_cell(cell)
    , m_follower(context, store, retries,
                 {platform::workerTopic(), StoreReadKind::Ownership, ReadWait, ReadPause},
                 makeCallbacks(std::move(onRead)))
{}

TopicFollower::Callbacks WorkerDirectory::makeCallbacks(std::function<void()> onRead)
{
    TopicFollower::Callbacks callbacks;
    callbacks.onRecord = [this](const KeyedRecord &it) { deliver([this, it] { onRecord(it); }); };
    callbacks.onSnapshot = [this](const std::set<std::string> &keys) {
        deliver([this, keys] { onSnapshot(keys); });
    };
    callbacks.onRead = [this, onRead = std::move(onRead)](std::uint64_t) { deliver(onRead); };
    // The follower of the claims already logs that the store is lost or regained.
    callbacks.onFailed = [](const std::string &) {};
    return callbacks;
}

void WorkerDirectory::deliver(std::function<void()> event)
{
    if (m_hasBegun) {
        event();
    } else {
        m_deferred.push_back(std::move(event));
    }
}

void WorkerDirectory::begin()
{
    m_hasBegun = true;
    for (const auto &it : std::exchange(m_deferred, {})) {
        it();
    }
}

void WorkerDirectory::onSnapshot(const std::set<std::string> &keys)
{
    std::erase_if(m_workersOfOtherCells, [&keys](const auto &it) { return !keys.contains(it); });
    std::vector<WorkerId> gone;
    for (const auto &[id, worker] : m_scheduler.state().workers) {
        if (!worker->hasLeft && !keys.contains(id)) {
            gone.push_back(worker->info.id);
        }
    }
    for (const WorkerId &it : gone) {
        m_scheduler.onWorkerGone(it, Clock::now());
    }
}

void WorkerDirectory::onRecord(const KeyedRecord &record)
{
    if (m_workersOfOtherCells.contains(record.key)) {
        // A worker never changes its rack, nor thereby its cell.
        if (!record.value) {
            m_workersOfOtherCells.erase(record.key);
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
            m_workersOfOtherCells.insert(record.key);
            return;
        }
        m_scheduler.onWorkerListed(worker, now);
    } catch (const platform::WireError &e) {
        m_log.write(LogLevel::Warning, "cell", "unreadable worker entry", {{"error", e.what()}});
    }
}

} // namespace firefly
