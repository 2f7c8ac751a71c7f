#include "fakes/LongRunningTasks.h"
#include "Workload/JobRecords.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t LargeDemand = 7000; ///< Fits a worker only alone.

// What is being stopped still occupies its worker, also when an earlier owner cancelled its job.
TEST(CanceledRunAfterOwnerChange, ARunOfACancelledJobOccupiesItsWorkerAfterAChangeOfOwner)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        CellWorld cell(seed, 1);
        cell.run(500ms);
        cell.submit(JobId("long"), makeLongRunning(1, LargeDemand));
        cell.run(1s);
        cell.submit(JobId("next"), makeLongRunning(1, LargeDemand));
        cell.run(200ms);
        ASSERT_TRUE(cell.owner->cancel(JobId("long"), cell.now, cell.unixMs(), [](auto) {}));
        const auto isCancelStored = [&cell] {
            const auto it = cell.store.find(JobRecords::progressKey(JobId("long")));
            return it != cell.store.end()
                   && JobRecords::decodeProgress(it->second).state == JobState::Canceled;
        };
        while (!isCancelStored()) {
            cell.step();
        }
        cell.replaceOwner(cell.now + 9s);
        cell.run(3s);
        EXPECT_EQ(cell.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
