#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// A job of one task that takes a quarter of a worker and runs until it is cancelled.
JobSpec makeLongRunning()
{
    JobSpec spec = makeChain(1, 1);
    spec.steps.front().demand = {2000, 100, 0};
    spec.steps.front().isLongRunning = true;
    return spec;
}

// With a backlog of batch jobs of the same priority, some of them late already, a long-running task
// that needs a new worker must get the first capacity that becomes free.
TEST(LongRunningTaskPriority, ALongRunningTaskStartsBeforeQueuedBatchJobs)
{
    CellWorld world(1, 1);
    FakeCellWorker &worker = *world.workers.at("w0");
    worker.workTime = 3s;
    for (int i = 0; i < 20; ++i) {
        world.submit(JobId("batch" + std::to_string(i)), makeChain(1, 4));
    }
    world.run(500ms);
    world.submit(JobId("standing"), makeLongRunning());
    world.run(4s);
    const TaskName task{JobId("standing"), 0, 0, 0};
    EXPECT_FALSE(world.audit.runningOn[task].empty());
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

} // namespace
} // namespace firefly
