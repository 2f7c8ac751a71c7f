#pragma once

#include "Cell/CellJob.h"
#include "Cell/CellJournal.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace firefly {

/// Bounds that the platform guarantees; from the settings.
struct CellBounds
{
    /// Long enough for a change of owner, short enough to restart the tasks of a lost worker soon.
    static constexpr Duration PreferredLease = std::chrono::milliseconds(5000);

    /// Longest lease that an owner grants.
    Duration grantedLease() const { return std::min(maxLease, PreferredLease); }

    Duration maxLease = std::chrono::seconds(6); ///< Longest lease a worker grants.
    Duration maxStop = std::chrono::milliseconds(200);
    Duration earlyStart = std::chrono::milliseconds(250); ///< Tolerated before a due time.
    Duration statusKept = std::chrono::seconds(120);      ///< Of a final job.
    Duration gangTimeout = std::chrono::seconds(3);
    Duration violation = std::chrono::seconds(4); ///< Longest time over a tail latency target.
};

/// Everything that one owner knows about its cell; the parts of the scheduler share it.
struct CellState
{
    CellBounds bounds;
    Epoch epoch = 0;
    TimePoint ordersUntil{}; ///< Leases are granted up to here: after it another owner may act.
    TimePoint locateUntil{}; ///< By then every order of earlier owners has expired.
    bool isLocating = false; ///< Some worker may still run unknown tasks of an earlier owner.
    bool isFenced = false;   ///< A worker has seen a higher epoch.
    bool wantsPlacement = false;
    std::unordered_map<std::string, std::unique_ptr<CellJob>> jobs; ///< By id.
    std::map<std::string, std::unique_ptr<CellWorker>> workers;     ///< By id.
    /// Jobs that other cells have, by id; entries that aren't durable yet have no cell.
    struct Referral
    {
        std::optional<int> cell;
        std::int64_t atUnixMs = 0;
    };
    std::unordered_map<std::string, Referral> referrals;
    CellJournal journal;
    std::vector<CellAction> actions;

    void note(const char *message, const TaskRef &ref, std::string detail)
    {
        const CellTask &task = ref.task();
        const std::string worker = task.worker ? task.worker->info.id.value() : std::string();
        actions.emplace_back(CellNote{message, ref.name(), worker, task.run, std::move(detail)});
    }

    CellJob *findJob(const JobId &id)
    {
        const auto it = jobs.find(id.value());
        return it == jobs.end() ? nullptr : it->second.get();
    }
    CellWorker *findWorker(const WorkerId &id)
    {
        const auto it = workers.find(id.value());
        return it == workers.end() ? nullptr : it->second.get();
    }
    /// The task \a name of a known job and a due occurrence.
    std::optional<TaskRef> findTask(const TaskName &name);
};

} // namespace firefly
