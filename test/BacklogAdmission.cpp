#include "fakes/BatchOverload.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace firefly {
namespace {

using namespace overload;

/// Largest number of \a times, which are sorted, within one second.
std::ptrdiff_t mostInOneSecond(const std::vector<TimePoint> &times)
{
    std::ptrdiff_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it) {
        most = std::max(most, std::ranges::lower_bound(times, *it + 1s) - it);
    }
    return most;
}

class BacklogAdmissionLoads : public testing::TestWithParam<Shape>
{
protected:
    Overload load{GetParam()};
};

TEST_P(BacklogAdmissionLoads, AnOverloadOfTenSecondsIsOverFiveSecondsAfterItEnds)
{
    load.run(3.0, 10s);
    const TimePoint over = load.now + 5s;
    load.run(0.5, 40s);
    for (const Job &it : load.jobs) {
        if (it.handedIn < over || it.handedIn > load.now - 20s) {
            continue;
        }
        EXPECT_EQ(it.tries, 1);
        ASSERT_NE(it.end, TimePoint{});
        EXPECT_LE(it.end - it.handedIn, load.shape.objective());
    }
}

TEST_P(BacklogAdmissionLoads, RetriesFourDeepReturnInTheOrderOfTheirRefusals)
{
    load.run(3.0, 30s);
    EXPECT_FALSE(load.returns.empty()) << "30 s of three times the capacity can't be served";
    EXPECT_TRUE(std::ranges::is_sorted(load.returns));
    EXPECT_LE(mostInOneSecond(load.returns), mostInOneSecond(load.refusals)) << "a herd";
}

TEST_P(BacklogAdmissionLoads, BelowTheCapacityNothingIsRefused)
{
    load.run(0.9, 60s);
    EXPECT_TRUE(load.returns.empty());
}

INSTANTIATE_TEST_SUITE_P(, BacklogAdmissionLoads, testing::ValuesIn(Shapes));

/// A job behind 1000 core-seconds whose caller waits for 10 s at most.
BacklogAdmission::Request hopelessRequest(TimePoint now)
{
    return {10.0, 1000.0, 1000.0, 1s, now + 5s, now + 10s};
}

/// Lets \a admission finish 10 core-seconds in each of \a seconds.
TimePoint finishTenCores(BacklogAdmission &admission, bool isWaiting, int seconds)
{
    TimePoint now = Begin;
    for (int i = 0; i < 10 * seconds; ++i, now += 100ms) {
        admission.setWaiting(isWaiting, now);
        admission.recordFinished(1.0, 1s, now);
    }
    return now;
}

TEST(BacklogAdmission, AnOwnerThatHasJustBegunRefusesNothing)
{
    BacklogAdmission admission;
    admission.setWaiting(true, Begin);
    EXPECT_EQ(admission.decide(hopelessRequest(Begin), Begin).reason, AdmissionReason::RateUnknown);
}

TEST(BacklogAdmission, WhatFinishedWithoutDemandTellsNothingOfTheRate)
{
    BacklogAdmission admission;
    const TimePoint now = finishTenCores(admission, false, 30);
    admission.setWaiting(true, now);
    EXPECT_EQ(admission.decide(hopelessRequest(now), now).reason, AdmissionReason::RateUnknown);
}

TEST(BacklogAdmission, WithFreeWorkersNothingIsRefused)
{
    BacklogAdmission admission;
    const TimePoint now = finishTenCores(admission, true, 30);
    EXPECT_TRUE(admission.decide(hopelessRequest(now), now).isRefused());
    auto request = hopelessRequest(now);
    request.canStart = true;
    EXPECT_EQ(admission.decide(request, now).reason, AdmissionReason::FreeCapacity);
}

TEST(BacklogAdmission, TheRateIsThatOfTheFinishedWork)
{
    BacklogAdmission admission;
    const TimePoint now = finishTenCores(admission, true, 30);
    EXPECT_NEAR(admission.rate(now), 10.0, 0.5);
    admission.setWaiting(false, now);
    EXPECT_EQ(admission.rate(now + 30s), 0.0) << "too old";
}

TEST(BacklogAdmission, AJobThatCanStillBeInTimeIsAcceptedBeforeALateBacklog)
{
    BacklogAdmission admission;
    const TimePoint now = finishTenCores(admission, true, 30);
    auto request = hopelessRequest(now);
    request.inTimeAhead = 20.0;
    EXPECT_EQ(admission.decide(request, now).reason, AdmissionReason::InTime);
}

} // namespace
} // namespace firefly
