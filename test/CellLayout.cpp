#include "Fleet/CellLayout.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace firefly {
namespace {

WorkerDescription makeWorker(int number, const std::string &service, int rackSize = 8)
{
    WorkerDescription worker;
    worker.id = WorkerId("w" + std::to_string(number));
    worker.service = service;
    worker.rack = service + "-r" + std::to_string(number / rackSize);
    return worker;
}

std::vector<WorkerDescription> makeWorkers(int count, const std::string &service)
{
    std::vector<WorkerDescription> workers;
    workers.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        workers.push_back(makeWorker(i, service));
    }
    return workers;
}

JobId job(int number)
{
    return JobId("job-" + std::to_string(number));
}

TEST(CellLayout, PlansOneCellForASmallFleet)
{
    EXPECT_EQ(CellLayout::plan({}, 12).cellCount(), 1);
    EXPECT_EQ(CellLayout::plan(makeWorkers(66, "a"), 12).cellCount(), 1);
}

// On the small twin of kayal-roster-large one VM of 0.069 core and 2 Mbit/s owned all 120 workers:
// renewals came late, connections were opened anew, and it never recovered (metastable overload).
TEST(CellLayout, PlansMoreCellsForAFleetOfWeakVms)
{
    const auto workers = makeWorkers(120, "a");
    const std::vector<VmCapacity> vms(18, VmCapacity{0.069, 2});
    const CellLayout layout = CellLayout::plan(workers, 12, vms);
    EXPECT_GE(layout.cellCount(), 4);
    EXPECT_LE(layout.cellCount(), 6);
}

TEST(CellLayout, PlansByTheStrongVmsIfThereAreEnough)
{
    std::vector<VmCapacity> vms(132, VmCapacity{0.069, 20});
    vms.insert(vms.begin(), 15, VmCapacity{0.5, 200});
    EXPECT_EQ(CellLayout::plan(makeWorkers(1100, "a"), 12, vms).cellCount(), 9);
    EXPECT_EQ(CellLayout::plan(makeWorkers(48, "a"), 12, std::vector<VmCapacity>(7, {0.1, 1000}))
                  .cellCount(),
              1);
}

TEST(CellLayout, AFleetThatCannotManageItsWorkersGetsTheBestPlanThereIs)
{
    EXPECT_EQ(CellLayout::plan(makeWorkers(1100, "a"), 12, std::vector<VmCapacity>(30, {0.069, 20}))
                  .cellCount(),
              12);
    EXPECT_EQ(CellLayout::plan(makeWorkers(100, "a"), 12, std::vector<VmCapacity>(1, {0.01, 20}))
                  .cellCount(),
              1);
}

TEST(CellLayout, SplitsALargeFleetEvenlyWithoutSplittingRacks)
{
    const auto workers = makeWorkers(490, "a");
    const CellLayout layout = CellLayout::plan(workers, 12);
    EXPECT_EQ(layout.cellCount(), 4);
    std::map<int, int> load;
    std::map<std::string, int> cellOfRack;
    for (const WorkerDescription &it : workers) {
        const int cell = layout.cellOf(it);
        ++load[cell];
        EXPECT_EQ(cellOfRack.try_emplace(it.rack, cell).first->second, cell);
    }
    for (const auto &[cell, count] : load) {
        EXPECT_NEAR(count, 490.0 / 4, 8) << "cell " << cell;
    }
}

TEST(CellLayout, LimitsCellsToStorePartitionsAndRacks)
{
    EXPECT_EQ(CellLayout::plan(makeWorkers(4000, "a"), 12).cellCount(), 12);
    std::vector<WorkerDescription> oneRack;
    oneRack.reserve(300);
    for (int i = 0; i < 300; ++i) {
        oneRack.push_back(makeWorker(i, "a", 1000));
    }
    EXPECT_EQ(CellLayout::plan(oneRack, 12).cellCount(), 1);
}

TEST(CellLayout, AssignsJobsToCellsWithWorkersOfTheirService)
{
    auto workers = makeWorkers(400, "big");
    for (const WorkerDescription &it : makeWorkers(9, "small")) {
        workers.push_back(it);
    }
    const CellLayout layout = CellLayout::plan(workers, 12);
    std::map<std::string, std::vector<int>> cells;
    for (const WorkerDescription &it : workers) {
        cells[it.service].push_back(layout.cellOf(it));
    }
    for (int i = 0; i < 500; ++i) {
        for (const std::string service : {"big", "small"}) {
            EXPECT_TRUE(std::ranges::count(cells[service], layout.cellOf(job(i), service, {})));
        }
    }
}

TEST(CellLayout, AssignsWorkersAndJobsOfANewServiceToOneCell)
{
    const CellLayout layout = CellLayout::plan(makeWorkers(490, "a"), 12);
    const int cell = layout.cellOf(makeWorker(1, "new"));
    EXPECT_EQ(layout.cellOf(makeWorker(300, "new")), cell);
    EXPECT_EQ(layout.cellOf(job(1), "new", {}), cell);
    // The same holds for racks that ran another service when the layout was made.
    WorkerDescription moved = makeWorker(7, "a");
    moved.service = "new";
    EXPECT_EQ(layout.cellOf(moved), cell);
}

TEST(CellLayout, AssignsAJobToTheCellOfItsDataRack)
{
    const auto workers = makeWorkers(490, "a");
    const CellLayout layout = CellLayout::plan(workers, 12);
    for (int i = 0; i < 490; i += 50) {
        const WorkerDescription &worker = workers[static_cast<std::size_t>(i)];
        EXPECT_EQ(layout.cellOf(job(i), "a", worker.rack), layout.cellOf(worker));
    }
    EXPECT_EQ(layout.cellOf(job(3), "a", "no-such-rack"), layout.cellOf(job(3), "a", {}));
}

TEST(CellLayout, DistributesJobsEvenlyOverCells)
{
    const CellLayout layout = CellLayout::plan(makeWorkers(490, "a"), 12);
    std::map<int, int> load;
    constexpr int Jobs = 8000;
    for (int i = 0; i < Jobs; ++i) {
        ++load[layout.cellOf(job(i), "a", {})];
    }
    ASSERT_EQ(load.size(), 4U);
    for (const auto &[cell, count] : load) {
        EXPECT_NEAR(count, Jobs / 4.0, Jobs / 40.0);
    }
}

TEST(CellLayout, DecodesWhatItEncoded)
{
    const CellLayout layout = CellLayout::plan(makeWorkers(490, "a"), 12);
    EXPECT_EQ(CellLayout::decode(layout.encode()), layout);
}

TEST(CellLayout, RejectsInvalidRecords)
{
    EXPECT_THROW(CellLayout::decode("{"), CellLayoutError);
    EXPECT_THROW(CellLayout::decode(R"({"cells":2,"racks":{"r":2},"services":{}})"),
                 CellLayoutError);
    EXPECT_THROW(CellLayout::decode(R"({"cells":0,"racks":{},"services":{}})"), CellLayoutError);
    EXPECT_THROW(CellLayout::decode(R"({"cells":2,"racks":{},"services":{"s":[]}})"),
                 CellLayoutError);
}

} // namespace
} // namespace firefly
