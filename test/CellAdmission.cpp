#include "fakes/CellWorld.h"
#include "Fleet/SpareCapacity.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Hands \a perSecond jobs of 4 core-seconds to a cell of 32 cores for \a span; returns the number
/// of refused ones.
int handIn(CellWorld &world, const std::string &prefix, int perSecond, Duration span)
{
    int refused = 0;
    const auto count = perSecond * (span / 1s);
    for (int i = 0; i < count; ++i) {
        const JobId id(prefix + std::to_string(i));
        const JobSpec spec = makeChain(1, 8);
        if (world.owner->admit(id, spec, world.now).isRefused()) {
            ++refused;
        } else {
            world.submit(id, spec);
        }
        world.run(Duration(1s) / perSecond);
    }
    return refused;
}

AdmissionReason reasonFor(CellWorld &world, const std::string &id, const JobSpec &spec)
{
    return world.owner->admit(JobId(id), spec, world.now).reason;
}

struct CellAdmission : testing::Test
{
    CellAdmission()
    {
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 500ms;
        }
        world.run(1s);
    }
    CellWorld world{1};
};

TEST_F(CellAdmission, WithFreeWorkersNothingIsRefused)
{
    EXPECT_EQ(handIn(world, "a", 4, 10s), 0);
}

TEST_F(CellAdmission, OfThreeTimesTheCapacityTheExcessIsRefused)
{
    const int refused = handIn(world, "a", 24, 10s);
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, 24 * 10 * 2 / 3 + 1) << "the capacity must stay in use";
    world.run(5s);
    EXPECT_EQ(handIn(world, "b", 2, 5s), 0) << "over 5 s after it ends";
}

TEST_F(CellAdmission, UnderLoadOnlyNewUnscheduledBatchJobsOfQueuesWithAnObjectiveAreRefused)
{
    handIn(world, "a", 24, 10s);
    const JobSpec spec = makeChain(1, 8);
    ASSERT_EQ(reasonFor(world, "new", spec), AdmissionReason::Backlog);
    EXPECT_EQ(reasonFor(world, "a0", spec), AdmissionReason::NotLimited) << "a repeated submission";
    JobSpec other = spec;
    other.steps.front().isLongRunning = true;
    EXPECT_EQ(reasonFor(world, "new", other), AdmissionReason::NotLimited);
    other = spec;
    other.repetitions = 2;
    EXPECT_EQ(reasonFor(world, "new", other), AdmissionReason::NotLimited);
    other = spec;
    other.policy.targetLatencyMs = 0;
    EXPECT_EQ(reasonFor(world, "new", other), AdmissionReason::NotLimited);
    other = spec;
    other.steps.front().isFiller = true;
    EXPECT_EQ(reasonFor(world, "new", other), AdmissionReason::FreeCapacity) << "no filler waits";
}

TEST_F(CellAdmission, ANewOwnerWithABacklogRefusesNothing)
{
    handIn(world, "a", 24, 10s);
    world.replaceOwner(world.now);
    world.run(300ms);
    EXPECT_NE(reasonFor(world, "new", makeChain(1, 8)), AdmissionReason::Backlog);
}

TEST(SpareCapacity, IsFoundOnlyInCellsWithRoomForATask)
{
    const CellLoad job{0.1, 0.0, 0.0, 32000.0};
    const ResourceVector demand{1000, 100, 0};
    const ServiceRoom room{{4000, 4000, 0}, {}};
    std::vector<std::optional<GuestOffer>> offers(3);
    EXPECT_EQ(findSpareCapacity(offers, job, demand, 0.5), std::nullopt);
    offers[1] = GuestOffer{{0.95, 0.0, 0.0, 32000.0}, room};
    offers[2] = GuestOffer{{0.5, 0.0, 0.0, 32000.0}, {}};
    EXPECT_EQ(findSpareCapacity(offers, job, demand, 0.5), std::nullopt) << "full, or no room";
    offers[2]->room = room;
    EXPECT_EQ(findSpareCapacity(offers, job, demand, 0.5), 2);
}

} // namespace
} // namespace firefly
