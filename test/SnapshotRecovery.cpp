#include "Calls.h"
#include "fakes/FakeLog.h"
#include "fakes/FakeShardTerms.h"
#include "Jobs.h"
#include "Recovery.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace firefly;
using namespace std::chrono_literals;

namespace {

using State = CompositeFold<fakes::FakeShardTerms, JobLedger, IntentLedger>;

const WriterId Writer("e1.1");
const WriterId Other("e2.1");

SnapshotPlannerLimits limits()
{
    SnapshotPlannerLimits made;
    made.everyRecords = 100;
    made.retention = 1h;
    made.partBytes = 64;
    return made;
}

struct Reader
{
    void readAll(const fakes::FakeLog &log, std::size_t limit = 7)
    {
        const auto ignore = [](const LoggedEnvelope & /*logged*/, FoldVerdict /*verdict*/) {};
        for (int i = 0; i < 1000; ++i) {
            const Offset before = catchUp.next();
            catchUp.absorb(log.read(before, limit), state, ignore);
            if (catchUp.isCurrent() || catchUp.next() == before) {
                return;
            }
        }
    }

    State state;
    CatchUp catchUp;
};

class SnapshotRecovery : public testing::Test
{
protected:
    void submitJobs(int count)
    {
        for (int i = 0; i < count; ++i) {
            const JobId job("j" + std::to_string(++jobs));
            log.append(Other, ++otherSequence, JobSubmitted{job, {}});
        }
    }
    /// Writes a snapshot of what \a writer has folded, without its last \a missing parts;
    /// \a between jobs are submitted between the snapshot's coverage and its first part.
    void writeSnapshot(Reader &writer, std::size_t missing = 0, int between = 0)
    {
        writer.readAll(log);
        auto parts = planner.cut(now, Writer, writer.state.applied(), writer.state.snapshot());
        ASSERT_GT(parts.size(), missing);
        parts.resize(parts.size() - missing);
        submitJobs(between);
        for (const SnapshotPart &it : parts) {
            log.append(Writer, ++sequence, it);
            planner.onRead(now, it);
        }
    }

    fakes::FakeLog log;
    TimePoint now{10h};
    SnapshotPlanner planner{limits(), now};
    Reader veteran;
    Reader newcomer;
    int jobs = 0;
    std::uint64_t sequence = 0;
    std::uint64_t otherSequence = 0;
};

} // namespace

TEST_F(SnapshotRecovery, newcomerReachesTheSameStateFromASnapshotAndTheRest)
{
    submitJobs(20);
    writeSnapshot(veteran);
    const Offset covered = planner.covered();
    submitJobs(5);
    log.trim(covered + 1);
    veteran.readAll(log);
    newcomer.readAll(log);
    EXPECT_TRUE(newcomer.catchUp.isCurrent());
    EXPECT_EQ(newcomer.catchUp.restores(), 1U);
    EXPECT_EQ(newcomer.state.snapshot(), veteran.state.snapshot());
    EXPECT_EQ(newcomer.state.get<JobLedger>().size(), 25U);
}

TEST_F(SnapshotRecovery, trimPastWhatANewcomerNeedsIsNeverGuessedOver)
{
    submitJobs(20);
    writeSnapshot(veteran, 0, 1);
    submitJobs(4);
    veteran.readAll(log);
    log.trim(planner.covered() + 2);
    newcomer.readAll(log);
    EXPECT_EQ(newcomer.catchUp.state(), CatchUpState::NeedsSnapshot);
    EXPECT_EQ(newcomer.state.applied(), 0U);
    writeSnapshot(veteran);
    newcomer.readAll(log);
    EXPECT_EQ(newcomer.state.get<JobLedger>().size(), 25U);
}

TEST_F(SnapshotRecovery, lateReaderThatFallsBehindTheHeadRestoresForward)
{
    submitJobs(3);
    newcomer.readAll(log);
    submitJobs(20);
    writeSnapshot(veteran);
    log.trim(planner.covered() + 1);
    newcomer.readAll(log);
    veteran.readAll(log);
    EXPECT_EQ(newcomer.state.snapshot(), veteran.state.snapshot());
}

TEST_F(SnapshotRecovery, incompleteSnapshotIsIgnored)
{
    submitJobs(10);
    writeSnapshot(veteran);
    const Offset covered = planner.covered();
    submitJobs(10);
    writeSnapshot(veteran, 1);
    EXPECT_EQ(planner.covered(), covered);
    log.trim(covered + 1);
    newcomer.readAll(log);
    veteran.readAll(log);
    EXPECT_EQ(newcomer.state.snapshot(), veteran.state.snapshot());
    log.trim(covered + 2);
    Reader later;
    later.readAll(log);
    EXPECT_EQ(later.catchUp.state(), CatchUpState::NeedsSnapshot);
}

TEST_F(SnapshotRecovery, unreadableSnapshotGivesWayToTheOneBefore)
{
    submitJobs(10);
    writeSnapshot(veteran);
    const Offset covered = planner.covered();
    submitJobs(3);
    log.append(Writer, ++sequence, SnapshotPart{"bad", covered + 1, 0, 1, "{"});
    log.trim(covered + 1);
    newcomer.readAll(log);
    veteran.readAll(log);
    EXPECT_EQ(newcomer.state.snapshot(), veteran.state.snapshot());
}

TEST_F(SnapshotRecovery, restoredReaderStillFiltersWhatWasAppendedBefore)
{
    submitJobs(10);
    writeSnapshot(veteran);
    log.trim(planner.covered() + 1);
    newcomer.readAll(log);
    log.append(Other, 1, JobSubmitted{JobId("resurrected"), {}});
    newcomer.readAll(log);
    EXPECT_EQ(newcomer.state.get<JobLedger>().find(JobId("resurrected")), nullptr);
}

TEST_F(SnapshotRecovery, readingOlderThanTheStateIsNotTakenAsCurrent)
{
    submitJobs(3);
    newcomer.readAll(log);
    const std::string before = newcomer.state.snapshot();
    newcomer.readAll(fakes::FakeLog());
    EXPECT_FALSE(newcomer.catchUp.isCurrent());
    EXPECT_EQ(newcomer.state.snapshot(), before);
}

TEST_F(SnapshotRecovery, gapInsideAReadingIsRefused)
{
    submitJobs(3);
    LogRead read = log.read(1);
    read.envelopes.erase(read.envelopes.begin() + 1);
    const auto ignore = [](const LoggedEnvelope & /*logged*/, FoldVerdict /*verdict*/) {};
    EXPECT_THROW(newcomer.catchUp.absorb(read, newcomer.state, ignore), InvariantViolation);
}

TEST_F(SnapshotRecovery, designatedWriterCarriesStateForwardBeforeRetentionEnds)
{
    EXPECT_TRUE(planner.isDue(now, 10, 1, true));
    EXPECT_FALSE(planner.isDue(now, 10, 1, false));
    submitJobs(10);
    writeSnapshot(veteran);
    EXPECT_EQ(planner.covered(), 10U);
    EXPECT_FALSE(planner.isDue(now, 109, 1, true));
    EXPECT_TRUE(planner.isDue(now, 110, 1, true));
    EXPECT_FALSE(planner.isDue(now, 110, 1, false));
    EXPECT_TRUE(planner.isDue(now + 15min, 11, 1, true));
}

TEST_F(SnapshotRecovery, anyoneWritesFirstThingAfterAnOutageThatAteMostOfTheRetention)
{
    submitJobs(10);
    writeSnapshot(veteran);
    now += 29min;
    EXPECT_FALSE(planner.isDue(now, 50, 1, false));
    now += 1min;
    EXPECT_TRUE(planner.isDue(now, 50, 1, false));
    EXPECT_TRUE(planner.isDue(now, 50, 12, true));
    writeSnapshot(veteran, 1);
    EXPECT_FALSE(planner.isDue(now, 50, 1, false));
    EXPECT_TRUE(planner.isDue(now + 10s, 50, 1, false));
}

TEST_F(SnapshotRecovery, anyoneWritesWhenTheNewestSnapshotIsNoLongerUsable)
{
    submitJobs(10);
    writeSnapshot(veteran);
    EXPECT_FALSE(planner.isDue(now, 20, 11, false));
    EXPECT_TRUE(planner.isDue(now, 20, 12, false));
}
