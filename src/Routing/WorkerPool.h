#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"
#include "Routing/BatchCapacityIndex.h"
#include "Routing/CallObservation.h"
#include "Routing/CapacityLedger.h"
#include "Routing/InterferenceLevel.h"
#include "Routing/OutlierDetector.h"
#include "Routing/RoutingSettings.h"
#include "Routing/WorkerIndex.h"
#include "Routing/ZoneLinks.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace firefly {

/// State of one worker for routing and placement.
struct WorkerView
{
    WorkerInfo info;
    ZoneIndex zone = 0;
    std::int64_t outstanding = 0;  ///< Urgent calls now running.
    double failureShare = 0;       ///< Of recent calls.
    double latencyUs = 0;          ///< Learned latency of a call, network excluded.
    double expectedSlowdown = 1.0; ///< Predicted from the batch tasks on it.
    TimePoint lastObserved{};      ///< When latencyUs and failureShare last changed.
    TimePoint rampStart{};         ///< Start of slow start: when it joined or was readmitted.
};

/// The workers of one owner, with their reservations and their observed latency and failures.
///
/// The single writer of the capacity ledger.  It indexes the workers that can take one more urgent
/// call by zone, so that a routing decision takes time independent of the number of workers.
class WorkerPool
{
public:
    explicit WorkerPool(const RoutingSettings &settings = {});

    /// Adds a worker, or updates its capacity and state.  The zone of a known worker must not
    /// change.
    WorkerIndex update(const WorkerInfo &info, TimePoint now);
    /// Stops giving work to a worker and erases it once its work has ended.
    void remove(const WorkerId &worker);
    std::optional<WorkerIndex> find(const WorkerId &worker) const;
    const WorkerView &view(WorkerIndex worker) const { return m_entries[toPosition(worker)].view; }
    /// All workers in index order, including removed ones that still have work.
    std::vector<WorkerIndex> workers() const;
    /// Number of workers without the removed ones.
    std::size_t size() const { return m_indexOfWorker.size(); }

    const CapacityLedger &ledger() const { return m_ledger; }
    const RoutingSettings &settings() const { return m_settings; }
    const OutlierDetector &outliers() const { return m_outliers; }
    ZoneLinks &links() { return m_links; }
    const ZoneLinks &links() const { return m_links; }

    /// Reserves one urgent call; false when it does not fit, or the worker is leaving or removed.
    bool reserveUrgent(WorkerIndex worker);
    /// Releases one urgent call and updates the worker's statistics with its outcome.
    void releaseUrgent(WorkerIndex worker, const CallObservation &observation, TimePoint now);
    /// Reserves \a amount for a batch task; false when it does not fit, or the worker is leaving or
    /// removed.
    bool reserveBatch(WorkerIndex worker, const Resources &amount);
    void releaseBatch(WorkerIndex worker, const Resources &amount);
    /// Records a task that already runs according to the worker's own list, even beyond its
    /// capacity.
    void adoptBatch(WorkerIndex worker, const Resources &amount);
    /// True when the worker is known, live and healthy, that is, neither ejected nor probing.
    bool acceptsWork(WorkerIndex worker) const;

    /// Sets the predicted slowdown of urgent calls by batch tasks, at least 1.
    void setExpectedSlowdown(WorkerIndex worker, double slowdown);
    /// Learned latency of a call on \a worker, in microseconds, without the network; decays to the
    /// mean of the pool without observations.
    double latencyUs(WorkerIndex worker, TimePoint now) const;
    /// Share of the worker's recent calls that failed; decays to 0 without observations.
    double failureShare(WorkerIndex worker, TimePoint now) const;
    /// Mean latency of a call without slowdown, in microseconds, learned over all workers.
    double undisturbedLatencyUs() const { return m_undisturbedLatencyUs; }
    /// Starts probing the workers whose ejection has ended.
    void tick(TimePoint now);
    /// A probing worker whose next probe is due, if it has free capacity and is not leaving.
    std::optional<WorkerIndex> acquireProbe(TimePoint now);

    /// Workers of \a zone and \a level that can take one more urgent call, in unspecified
    /// order.
    std::span<const WorkerIndex> availableWorkers(ZoneIndex zone, InterferenceLevel level) const;
    /// How much the batch tasks on \a worker are expected to slow its urgent calls.
    InterferenceLevel interferenceLevel(WorkerIndex worker) const;
    /// Urgent slots of the workers that accept work and have low interference.
    std::int64_t lowInterferenceSlots() const { return m_lowInterferenceSlots; }
    /// Index of the workers that accept work by the processors that batch tasks leave free.
    const BatchCapacityIndex &batchCapacity() const { return m_batchCapacity; }
    /// Number of workers of all zones that can take one more urgent call.
    std::size_t availableCount() const { return m_availableCount; }
    /// Number of running urgent calls.
    std::int64_t urgentInUse() const { return m_urgentInUse; }
    /// Urgent slots of all workers that were not removed.
    std::int64_t urgentSlots() const { return m_urgentSlots; }

    nlohmann::json dump(WorkerIndex worker) const;

private:
    static constexpr std::uint32_t NotListed = ~std::uint32_t(0);
    using AvailableLists = std::array<std::vector<WorkerIndex>, InterferenceLevelCount>;

    struct Entry
    {
        WorkerView view;
        std::uint32_t listPosition = NotListed; ///< Position in its list of available workers.
        /// Interference level of that list.
        InterferenceLevel listedLevel = InterferenceLevel::Low;
        std::int64_t lowInterferenceSlots = 0; ///< Its part of m_lowInterferenceSlots.
        bool isPresent = false;
        bool isRemoved = false; ///< Gone from the VM list, but still has work.
    };

    Entry &at(WorkerIndex worker) { return m_entries[toPosition(worker)]; }
    WorkerIndex insert(const WorkerInfo &info, TimePoint now);
    /// Updates all indexes and counts after a change of the worker.
    void updateIndexes(WorkerIndex worker);
    void updateAvailability(WorkerIndex worker);
    void updateBatchCapacity(WorkerIndex worker);
    void updateLowInterferenceSlots(WorkerIndex worker);
    void addToAvailable(WorkerIndex worker);
    void removeFromAvailable(WorkerIndex worker);
    void recordObservation(WorkerIndex worker, const CallObservation &observation, TimePoint now);
    void updateLatency(WorkerView &view, double us, TimePoint now);
    bool hasRoomForCall(WorkerIndex worker) const;
    void eraseIfIdle(WorkerIndex worker);

    RoutingSettings m_settings;
    CapacityLedger m_ledger;
    OutlierDetector m_outliers;
    ZoneLinks m_links;
    std::vector<Entry> m_entries;
    std::map<WorkerId, WorkerIndex> m_indexOfWorker;
    std::vector<AvailableLists> m_availableOfZone;
    BatchCapacityIndex m_batchCapacity;
    std::size_t m_availableCount = 0;
    double m_meanLatencyUs;
    double m_undisturbedLatencyUs;
    std::int64_t m_lowInterferenceSlots = 0;
    std::int64_t m_urgentInUse = 0;
    std::int64_t m_urgentSlots = 0;
};

} // namespace firefly
