#include "Cell/FailureHistory.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{100s};
const WorkerId First("w0");
const WorkerId Second("w1");

TEST(FailureHistory, AFailureTellsOfItsWorkerOnly)
{
    FailureHistory history;
    EXPECT_FALSE(history.isPaused(Start));
    history.record(First, 1, Start);
    EXPECT_TRUE(history.hasFailedOn(First));
    EXPECT_FALSE(history.hasFailedOn(Second));
    EXPECT_FALSE(history.hasFailedWithout(First));
    EXPECT_TRUE(history.hasFailedWithout(Second));
    EXPECT_TRUE(history.isPausedOn(First, Start + 199ms));
    EXPECT_FALSE(history.isPausedOn(Second, Start));
    EXPECT_FALSE(history.isPaused(Start + 200ms));
}

TEST(FailureHistory, PausesOnAWorkerGrowWithItsFailures)
{
    FailureHistory history;
    history.record(First, 1, Start);
    history.record(Second, 2, Start);
    history.record(First, 3, Start);
    EXPECT_TRUE(history.isPausedOn(First, Start + 999ms));
    EXPECT_FALSE(history.isPausedOn(Second, Start + 200ms));
    EXPECT_FALSE(history.isPaused(Start + 1s));
    history.record(First, 4, Start + 1s);
    EXPECT_TRUE(history.isPausedOn(First, Start + 2999ms));
    for (std::uint32_t run = 5; run < 20; ++run) {
        history.record(First, run, Start + 3s);
    }
    EXPECT_TRUE(history.isPausedOn(First, Start + 10999ms));
    EXPECT_FALSE(history.isPaused(Start + 11s));
}

TEST(FailureHistory, ARunOfAGangCountsOnceOnEachOfItsWorkers)
{
    FailureHistory history;
    for (const WorkerId &it : {First, Second, First, Second}) {
        history.record(it, 1, Start);
    }
    EXPECT_FALSE(history.isPaused(Start + 200ms));
    EXPECT_FALSE(history.hasFailedWithout(First));
    history.record(First, 2, Start);
    EXPECT_FALSE(history.hasFailedWithout(First));
    EXPECT_TRUE(history.hasFailedWithout(Second));
}

TEST(FailureHistory, OldFailuresAreForgotten)
{
    FailureHistory history;
    history.record(First, 1, Start);
    history.record(Second, 2, Start + FailureHistory::Memory + 1ms);
    EXPECT_FALSE(history.hasFailedOn(First));
    EXPECT_FALSE(history.hasFailedWithout(Second));
}

} // namespace
} // namespace firefly
