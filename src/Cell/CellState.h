#pragma once

#include "Cell/CellJob.h"
#include "Cell/CellJournal.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace firefly {

/// Time limits that the platform guarantees, from the settings.
struct CellBounds
{
    /// Outlasts a change of owner, yet lets the tasks of a lost worker restart soon.
    static constexpr Duration PreferredLease = std::chrono::milliseconds(5000);

    /// An order without an answer isn't carried out later than this after it was sent.
    static constexpr Duration OrderLifetime = std::chrono::seconds(12);

    /// Longest lease that an owner requests.
    Duration grantedLease() const { return std::min(maxLease, PreferredLease); }

    Duration maxLease = std::chrono::seconds(6); ///< Longest lease that a worker accepts.
    Duration stopTimeout = std::chrono::milliseconds(200);
    /// How early an occurrence may start.
    Duration earlyStartTolerance = std::chrono::milliseconds(250);
    /// How long the status of a final job is kept.
    Duration statusRetention = std::chrono::seconds(120);
    Duration gangTimeout = std::chrono::seconds(3);
    /// Longest tolerated time over a tail latency target.
    Duration maxViolation = std::chrono::seconds(4);
    /// How many times as long a task takes on another rack than that of its data, and a gang with
    /// rack affinity on several racks.
    double farFactor = 1.0;
    bool hasPlaceWaits = true; ///< Tasks may wait for a place near their data.
};

/// State of a cell at its owner, shared by the components of the scheduler.
struct CellState
{
    CellBounds bounds;
    Epoch epoch = 0;
    TimePoint ordersUntil{}; ///< End of all leases and starts; another owner may act afterwards.
    /// Starts end here: a later one might not be recorded for the next owner.
    TimePoint startsUntil = TimePoint::max();
    TimePoint locateUntil{};         ///< All orders of earlier owners have expired by then.
    bool isLocating = false;         ///< Some worker may run tasks of an earlier owner unseen.
    bool isFenced = false;           ///< A worker has seen the epoch of a later owner.
    bool needsNewEpoch = false;      ///< A worker has used up the fencing tokens of this epoch.
    bool areStartsSuspended = false; ///< The evacuated zones aren't known yet.
    std::set<std::string> evacuatedZones;
    bool wantsPlacement = false;                                    ///< A placement pass is due.
    std::unordered_map<std::string, std::unique_ptr<CellJob>> jobs; ///< By id.
    std::map<std::string, std::unique_ptr<CellWorker>> workers;     ///< By id.
    /// A start that waits until the store holds it, for the next owner to know of.
    struct UnrecordedStart
    {
        StartTask order;
        TimePoint since{};
        std::uint64_t batch = 0; ///< Of CellScheduler::recordNewStarts(); 0 before.
    };
    std::vector<UnrecordedStart> unrecordedStarts;
    /// A job that was handed over to another cell.
    struct Referral
    {
        std::optional<int> cell; ///< Unset until the referral is durable.
        std::int64_t atUnixMs = 0;
    };
    /// By job id; includes entries that aren't durable yet.
    std::unordered_map<std::string, Referral> referrals;
    DelayScheduling placeWaits;
    CellJournal journal;
    std::vector<CellAction> actions;

    /// Fencing token of orders to \a worker.
    Epoch fenceOf(const CellWorker &worker) const { return epoch + worker.fenceRaises; }

    /// No other owner has granted a lease until then.
    TimePoint exclusiveUntil() const { return ordersUntil - bounds.grantedLease(); }

    /// Queues a log line about the task \a ref.
    void logDecision(const char *message, const TaskRef &ref, std::string detail)
    {
        const CellTask &task = ref.task();
        const std::string worker = task.worker ? task.worker->info.id.value() : std::string();
        actions.emplace_back(LogDecision{message, ref.name(), worker, task.run, std::move(detail)});
    }

    /// Queues a log line about \a worker.
    void logDecision(const char *message, const CellWorker &worker, std::string detail)
    {
        actions.emplace_back(
            LogDecision{message, {}, worker.info.id.value(), 0, std::move(detail)});
    }

    CellJob *findJob(const JobId &id)
    {
        const auto it = jobs.find(id.value());
        return it == jobs.end() ? nullptr : it->second.get();
    }
    /// The job \a id, unless only a part of it was delegated here.
    CellJob *findOwnJob(const JobId &id)
    {
        CellJob *job = findJob(id);
        return job && !job->isGuestPart ? job : nullptr;
    }
    CellWorker *findWorker(const WorkerId &id)
    {
        const auto it = workers.find(id.value());
        return it == workers.end() ? nullptr : it->second.get();
    }
    /// The task \a name, if its job is known and its occurrence is due.
    std::optional<TaskRef> findTask(const TaskName &name);
};

} // namespace firefly
