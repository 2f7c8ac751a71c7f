#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"
#include "Routing/BatchRoomIndex.h"
#include "Routing/CallObservation.h"
#include "Routing/CapacityLedger.h"
#include "Routing/Disturbance.h"
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

/// What the router knows of one worker.
struct WorkerView
{
    WorkerInfo info;
    ZoneIndex zone = 0;
    std::int64_t outstanding = 0;  ///< Urgent calls now running.
    double failureShare = 0;       ///< Of recent calls.
    double latencyUs = 0;          ///< Learned latency of a call, network excluded.
    double expectedSlowdown = 1.0; ///< Predicted from the batch tasks placed there.
    TimePoint learned{};           ///< When latencyUs and failureShare last changed.
    TimePoint rampStart{};         ///< When the worker joined or returned.
};

/// The workers of one owner: what each was given, and what each was learned to do with it.
///
/// The only writer of the capacity ledger.  Keeps, per zone, the workers that can take one more
/// urgent call, so that a routing decision costs the same for any number of workers.
class WorkerPool
{
public:
    explicit WorkerPool(const RoutingSettings &settings = {});

    /// Adds a worker, or takes over its new capacity and state.  A worker's zone does not change.
    WorkerIndex update(const WorkerInfo &info, TimePoint now);
    /// Stops giving work to a worker; it is forgotten once its work has ended.
    void remove(const WorkerId &worker);
    std::optional<WorkerIndex> find(const WorkerId &worker) const;
    const WorkerView &view(WorkerIndex worker) const { return m_rows[toPosition(worker)].view; }
    /// Indices of all workers, in index order; removed ones that still have work included.
    std::vector<WorkerIndex> workers() const;
    std::size_t size() const { return m_indexOfWorker.size(); }

    const CapacityLedger &ledger() const { return m_ledger; }
    const RoutingSettings &settings() const { return m_settings; }
    const OutlierDetector &outliers() const { return m_outliers; }
    ZoneLinks &links() { return m_links; }
    const ZoneLinks &links() const { return m_links; }

    /// Takes one urgent call's resources; false when they do not fit or the worker is leaving.
    bool reserveUrgent(WorkerIndex worker);
    /// Ends one urgent call and learns from it.
    void releaseUrgent(WorkerIndex worker, const CallObservation &observation, TimePoint now);
    /// Takes a batch task's resources; false when they do not fit or the worker is leaving.
    bool reserveBatch(WorkerIndex worker, const Resources &amount);
    void releaseBatch(WorkerIndex worker, const Resources &amount);
    /// Records a task that already runs there, as the worker's own list says.
    void adoptBatch(WorkerIndex worker, const Resources &amount);
    /// True for a worker that is present, not leaving and not ejected.
    bool acceptsWork(WorkerIndex worker) const;

    void setExpectedSlowdown(WorkerIndex worker, double slowdown);
    /// Learned latency of a call on \a worker, in microseconds; drifts to the pool's mean without
    /// news.
    double latencyUs(WorkerIndex worker, TimePoint now) const;
    /// Share of the worker's recent calls that failed; fades without news.
    double failureShare(WorkerIndex worker, TimePoint now) const;
    /// Latency of an undisturbed call, in microseconds, learned over all workers.
    double undisturbedUs() const { return m_undisturbedUs; }
    /// Lets ended ejections go on to probing.
    void tick(TimePoint now);
    /// A probing worker whose probe is due and that has room.
    std::optional<WorkerIndex> takeProbe(TimePoint now);

    /// Workers of \a zone and \a disturbance that can take one more urgent call, in no meaningful
    /// order.
    std::span<const WorkerIndex> openWorkers(ZoneIndex zone, Disturbance disturbance) const;
    /// How much the batch tasks on \a worker are expected to slow its calls.
    Disturbance disturbance(WorkerIndex worker) const;
    /// Urgent slots of the workers that accept work and are calm.
    std::int64_t calmSlots() const { return m_calmSlots; }
    /// Workers that accept work, by the processors that batch tasks leave free.
    const BatchRoomIndex &batchRoom() const { return m_batchRoom; }
    /// Workers, of any zone, that can take one more urgent call.
    std::size_t openCount() const { return m_openCount; }
    /// Urgent calls now running.
    std::int64_t urgentInUse() const { return m_urgentInUse; }
    /// Urgent slots of all present workers.
    std::int64_t urgentSlots() const { return m_urgentSlots; }

    nlohmann::json dump(WorkerIndex worker) const;

private:
    static constexpr std::uint32_t NotOpen = ~std::uint32_t(0);
    using OpenLists = std::array<std::vector<WorkerIndex>, DisturbanceCount>;

    struct Row
    {
        WorkerView view;
        std::uint32_t openPosition = NotOpen;   ///< Position in its list of open workers.
        Disturbance openAs = Disturbance::Calm; ///< Which list of its zone that is.
        std::int64_t calmSlots = 0;             ///< Its part of the pool's.
        bool present = false;
        bool removed = false; ///< Gone from the VM list, but still has work.
    };

    Row &at(WorkerIndex worker) { return m_rows[toPosition(worker)]; }
    WorkerIndex insert(const WorkerInfo &info, TimePoint now);
    void refresh(WorkerIndex worker);
    void refreshOpen(WorkerIndex worker);
    void refreshBatchRoom(WorkerIndex worker);
    void refreshCalmSlots(WorkerIndex worker);
    void open(WorkerIndex worker);
    void close(WorkerIndex worker);
    void learn(WorkerIndex worker, const CallObservation &observation, TimePoint now);
    void learnLatency(WorkerView &view, double us, TimePoint now);
    bool fitsCall(WorkerIndex worker) const;
    void forgetIfIdle(WorkerIndex worker);

    RoutingSettings m_settings;
    CapacityLedger m_ledger;
    OutlierDetector m_outliers;
    ZoneLinks m_links;
    std::vector<Row> m_rows;
    std::map<WorkerId, WorkerIndex> m_indexOfWorker;
    std::vector<OpenLists> m_openOfZone;
    BatchRoomIndex m_batchRoom;
    std::size_t m_openCount = 0;
    double m_meanLatencyUs;
    double m_undisturbedUs;
    std::int64_t m_calmSlots = 0;
    std::int64_t m_urgentInUse = 0;
    std::int64_t m_urgentSlots = 0;
};

} // namespace firefly
