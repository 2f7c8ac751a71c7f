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
    SnapshotPlannerLimits result;
    result.everyRecords = 100;
    result.retention = 1h;
    result.partBytes = 64;
    return result;
}

struct Reader
{
    void readAll(const fakes::FakeLog &log, std::size_t limit = 7)
    {
        const auto ignore = [](const LoggedEnvelope & /*logged*/, FoldResult /*result*/) {};
        for (int i = 0; i < 1000; ++i) {
            const Offset before = catchUp.next();
            catchUp.apply(log.read(before, limit), state, ignore);
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
    /// Appends a snapshot of the state of \a writer, without its last \a missing parts; submits
    /// \a between jobs after the offset that the snapshot covers and before its first part.
    void writeSnapshot(Reader &writer, std::size_t missing = 0, int between = 0)
    {
        writer.readAll(log);
        auto parts = planner.split(now, Writer, writer.state.applied(), writer.state.snapshot());
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
    Reader establishedReader;
    Reader newReader;
    int jobs = 0;
    std::uint64_t sequence = 0;
    std::uint64_t otherSequence = 0;
};

} // namespace

TEST_F(SnapshotRecovery, newReaderReachesTheSameStateFromASnapshotAndLaterRecords)
{
    submitJobs(20);
    writeSnapshot(establishedReader);
    const Offset covered = planner.covered();
    submitJobs(5);
    log.trim(covered + 1);
    establishedReader.readAll(log);
    newReader.readAll(log);
    EXPECT_TRUE(newReader.catchUp.isCurrent());
    EXPECT_EQ(newReader.catchUp.restores(), 1U);
    EXPECT_EQ(newReader.state.snapshot(), establishedReader.state.snapshot());
    EXPECT_EQ(newReader.state.get<JobLedger>().size(), 25U);
}

TEST_F(SnapshotRecovery, newReaderAppliesNothingWhileItsRecordsAreTrimmedWithoutASnapshot)
{
    submitJobs(20);
    writeSnapshot(establishedReader, 0, 1);
    submitJobs(4);
    establishedReader.readAll(log);
    log.trim(planner.covered() + 2);
    newReader.readAll(log);
    EXPECT_EQ(newReader.catchUp.state(), CatchUpState::NeedsSnapshot);
    EXPECT_EQ(newReader.state.applied(), 0U);
    writeSnapshot(establishedReader);
    newReader.readAll(log);
    EXPECT_EQ(newReader.state.get<JobLedger>().size(), 25U);
}

TEST_F(SnapshotRecovery, readerBehindTheHeadRestoresANewerSnapshot)
{
    submitJobs(3);
    newReader.readAll(log);
    submitJobs(20);
    writeSnapshot(establishedReader);
    log.trim(planner.covered() + 1);
    newReader.readAll(log);
    establishedReader.readAll(log);
    EXPECT_EQ(newReader.state.snapshot(), establishedReader.state.snapshot());
}

TEST_F(SnapshotRecovery, incompleteSnapshotIsIgnored)
{
    submitJobs(10);
    writeSnapshot(establishedReader);
    const Offset covered = planner.covered();
    submitJobs(10);
    writeSnapshot(establishedReader, 1);
    EXPECT_EQ(planner.covered(), covered);
    log.trim(covered + 1);
    newReader.readAll(log);
    establishedReader.readAll(log);
    EXPECT_EQ(newReader.state.snapshot(), establishedReader.state.snapshot());
    log.trim(covered + 2);
    Reader later;
    later.readAll(log);
    EXPECT_EQ(later.catchUp.state(), CatchUpState::NeedsSnapshot);
}

TEST_F(SnapshotRecovery, restoresThePreviousSnapshotWhenTheNewestIsUnreadable)
{
    submitJobs(10);
    writeSnapshot(establishedReader);
    const Offset covered = planner.covered();
    submitJobs(3);
    log.append(Writer, ++sequence, SnapshotPart{"bad", covered + 1, 0, 1, "{"});
    log.trim(covered + 1);
    newReader.readAll(log);
    establishedReader.readAll(log);
    EXPECT_EQ(newReader.state.snapshot(), establishedReader.state.snapshot());
}

TEST_F(SnapshotRecovery, restoredReaderIgnoresDuplicatesOfEarlierRecords)
{
    submitJobs(10);
    writeSnapshot(establishedReader);
    log.trim(planner.covered() + 1);
    newReader.readAll(log);
    log.append(Other, 1, JobSubmitted{JobId("resurrected"), {}});
    newReader.readAll(log);
    EXPECT_EQ(newReader.state.get<JobLedger>().find(JobId("resurrected")), nullptr);
}

TEST_F(SnapshotRecovery, readerIsNotCurrentAfterAReadOlderThanItsState)
{
    submitJobs(3);
    newReader.readAll(log);
    const std::string before = newReader.state.snapshot();
    newReader.readAll(fakes::FakeLog());
    EXPECT_FALSE(newReader.catchUp.isCurrent());
    EXPECT_EQ(newReader.state.snapshot(), before);
}

TEST_F(SnapshotRecovery, readThatSkipsAnOffsetViolatesAnInvariant)
{
    submitJobs(3);
    LogRead read = log.read(1);
    read.envelopes.erase(read.envelopes.begin() + 1);
    const auto ignore = [](const LoggedEnvelope & /*logged*/, FoldResult /*result*/) {};
    EXPECT_THROW(newReader.catchUp.apply(read, newReader.state, ignore), InvariantViolation);
}

TEST_F(SnapshotRecovery, designatedWriterWritesASnapshotBeforeTheRetentionEnds)
{
    EXPECT_TRUE(planner.isDue(now, 10, 1, true));
    EXPECT_FALSE(planner.isDue(now, 10, 1, false));
    submitJobs(10);
    writeSnapshot(establishedReader);
    EXPECT_EQ(planner.covered(), 10U);
    EXPECT_FALSE(planner.isDue(now, 109, 1, true));
    EXPECT_TRUE(planner.isDue(now, 110, 1, true));
    EXPECT_FALSE(planner.isDue(now, 110, 1, false));
    EXPECT_TRUE(planner.isDue(now + 15min, 11, 1, true));
}

TEST_F(SnapshotRecovery, anyReaderWritesASnapshotWhenHalfOfTheRetentionHasPassed)
{
    submitJobs(10);
    writeSnapshot(establishedReader);
    now += 29min;
    EXPECT_FALSE(planner.isDue(now, 50, 1, false));
    now += 1min;
    EXPECT_TRUE(planner.isDue(now, 50, 1, false));
    EXPECT_TRUE(planner.isDue(now, 50, 12, true));
    writeSnapshot(establishedReader, 1);
    EXPECT_FALSE(planner.isDue(now, 50, 1, false));
    EXPECT_TRUE(planner.isDue(now + 10s, 50, 1, false));
}

TEST_F(SnapshotRecovery, anyReaderWritesASnapshotWhenTheNewestIsNoLongerUsable)
{
    submitJobs(10);
    writeSnapshot(establishedReader);
    EXPECT_FALSE(planner.isDue(now, 20, 11, false));
    EXPECT_TRUE(planner.isDue(now, 20, 12, false));
}
