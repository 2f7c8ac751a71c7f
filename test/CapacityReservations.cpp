#include "Cell/CapacityReservations.h"

#include "Cell/TaskLedger.h"
#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// A cell with one idle worker and two pending tasks of 5000, too large for the worker together.
class CapacityReservationsTest : public ::testing::Test
{
protected:
    CapacityReservationsTest()
        : reservations(state)
    {
        auto &worker = state.workers["w0"];
        worker = std::make_unique<CellWorker>();
        worker->info.id = WorkerId("w0");
        worker->info.capacity = {8000, 64000, 0};
        worker->isRegistered = true;
        auto &job = state.jobs["a"];
        job = std::make_unique<CellJob>();
        job->id = JobId("a");
        job->spec = makeChain(1, 2);
        job->spec.steps.front().demand = {5000, 100, 0};
        TaskLedger::addOccurrence(*job, 0, TaskState::Pending);
        first = {job.get(), 0, 0, 0};
        second = {job.get(), 0, 0, 1};
    }

    CellWorker &worker() { return *state.workers.at("w0"); }

    CellState state;
    CapacityReservations reservations;
    TaskRef first;
    TaskRef second;
    TimePoint now{100s};
};

TEST_F(CapacityReservationsTest, KeptCapacityIsAvailableToItsTaskOnly)
{
    reservations.add(first, worker(), CapacityReservations::Kind::Free, now);
    EXPECT_EQ(reservations.availableTo(first, worker()).milliCpu, 8000);
    EXPECT_EQ(reservations.availableTo(second, worker()).milliCpu, 3000);
    ASSERT_EQ(reservations.pendingTasks().size(), 1U);
    EXPECT_EQ(reservations.pendingTasks().front(), first);
}

TEST_F(CapacityReservationsTest, CapacityIsGivenBackAfterTheTimeout)
{
    reservations.add(first, worker(), CapacityReservations::Kind::Free, now);
    reservations.removeObsolete(now + CapacityReservations::Timeout - 1ms);
    EXPECT_TRUE(reservations.contains(first));
    reservations.removeObsolete(now + CapacityReservations::Timeout);
    EXPECT_FALSE(reservations.contains(first));
    EXPECT_EQ(reservations.availableTo(second, worker()).milliCpu, 8000);
}

TEST_F(CapacityReservationsTest, CapacityIsGivenBackOnceTheTaskHasStarted)
{
    reservations.add(first, worker(), CapacityReservations::Kind::Free, now);
    TaskLedger::place(first, worker(), TaskState::Starting, 1);
    reservations.removeObsolete(now);
    EXPECT_EQ(reservations.size(), 0U);
    EXPECT_EQ(reservations.availableTo(second, worker()).milliCpu, 3000);
}

TEST_F(CapacityReservationsTest, AReservationOnAWorkerThatDrainsOrIsErasedIsDropped)
{
    reservations.add(first, worker(), CapacityReservations::Kind::Free, now);
    worker().info.isDraining = true;
    reservations.removeObsolete(now);
    EXPECT_EQ(reservations.size(), 0U);
    worker().info.isDraining = false;
    reservations.add(first, worker(), CapacityReservations::Kind::Free, now);
    state.workers.clear();
    reservations.removeObsolete(now);
    EXPECT_EQ(reservations.size(), 0U);
}

TEST_F(CapacityReservationsTest, AReservationOfAnErasedJobIsDropped)
{
    reservations.add(first, worker(), CapacityReservations::Kind::Free, now);
    state.jobs.clear();
    EXPECT_TRUE(reservations.pendingTasks().empty());
    reservations.removeObsolete(now);
    EXPECT_EQ(worker().held, ResourceVector{});
}

} // namespace
} // namespace firefly
