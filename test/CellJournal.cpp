#include "Cell/CellJournal.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

TEST(CellJournal, RecordsPutDuringAnAppendShareTheNextBatch)
{
    CellJournal journal;
    journal.put({"a", "1"});
    const auto first = journal.next();
    ASSERT_TRUE(first.has_value());
    journal.put({"b", "1"});
    journal.put({"c", "1"});
    journal.put({"b", "2"});
    EXPECT_FALSE(journal.next().has_value());
    journal.onOutcome(AppendOutcome::Stored);
    const auto second = journal.next();
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->sequence, first->sequence + 1);
    ASSERT_EQ(second->records.size(), 2U);
    EXPECT_EQ(second->records[0].value, "2");
}

TEST(CellJournal, ABatchOfUnknownOutcomeIsRetriedUnderItsSequenceNumber)
{
    CellJournal journal;
    bool isDurable = false;
    journal.put({"a", "1"}, [&] { isDurable = true; });
    const auto first = journal.next();
    journal.onOutcome(AppendOutcome::Unknown);
    const auto again = journal.next();
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->sequence, first->sequence);
    EXPECT_FALSE(isDurable);
    journal.onOutcome(AppendOutcome::Stored);
    EXPECT_TRUE(isDurable);
}

TEST(CellJournal, RefusePendingKeepsRecordsThatMayBeStored)
{
    CellJournal journal;
    int lost = 0;
    int durable = 0;
    const auto submit = [&](const char *key) {
        journal.putRefusable(
            {key, "1"}, [&] { ++durable; }, [&](bool) { ++lost; });
    };
    submit("a");
    journal.next();
    journal.onOutcome(AppendOutcome::Unknown);
    submit("b");
    journal.put({"p", "1"});
    bool isBarrierPassed = false;
    journal.whenDurable([&] { isBarrierPassed = true; });
    journal.refusePending();
    EXPECT_EQ(lost, 1) << "the batch that may have been stored is kept";
    journal.next();
    journal.onOutcome(AppendOutcome::Stored);
    EXPECT_EQ(durable, 1);
    journal.next();
    journal.onOutcome(AppendOutcome::Stored);
    EXPECT_TRUE(isBarrierPassed);
}

TEST(CellJournal, ABarrierBehindARefusedRecordPassesIfNothingElseIsPending)
{
    CellJournal journal;
    journal.putRefusable(
        {"a", "1"}, [] {}, [](bool) {});
    bool isPassed = false;
    journal.whenDurable([&] { isPassed = true; });
    journal.refusePending();
    EXPECT_TRUE(isPassed) << "no record before the barrier is pending";
}

TEST(CellJournal, AbandonReportsWhichRecordsMayBeStored)
{
    CellJournal journal;
    std::vector<bool> definitelyLost;
    const auto onLost = [&](bool isDefinitelyLost) { definitelyLost.push_back(isDefinitelyLost); };
    journal.putRefusable(
        {"a", "1"}, [] {}, onLost);
    journal.next();
    journal.putRefusable(
        {"b", "1"}, [] {}, onLost);
    journal.abandon();
    EXPECT_EQ(definitelyLost, (std::vector<bool>{false, true}));
    EXPECT_TRUE(journal.isIdle());
}

TEST(CellJournal, ABarrierBehindARefusedRecordWaitsForEarlierRecords)
{
    CellJournal journal;
    int refused = 0;
    int passed = 0;
    int lost = 0;
    journal.put({"p", "1"});
    journal.putRefusable(
        {"a", "1"}, [] {}, [&](bool) { ++refused; });
    journal.whenDurable([&] { ++passed; }, [&](bool) { ++lost; });
    journal.refusePending();
    EXPECT_EQ(refused, 1);
    EXPECT_EQ(passed + lost, 0);
    journal.next();
    journal.onOutcome(AppendOutcome::Stored);
    EXPECT_EQ(passed, 1);
    EXPECT_EQ(lost, 0);
}

TEST(CellJournal, ABarrierBehindOnlyARefusedRecordPassesOnce)
{
    CellJournal journal;
    int passed = 0;
    int lost = 0;
    journal.putRefusable(
        {"a", "1"}, [] {}, [](bool) {});
    journal.whenDurable([&] { ++passed; }, [&](bool) { ++lost; });
    journal.refusePending();
    EXPECT_EQ(passed, 1);
    EXPECT_EQ(lost, 0);
}

} // namespace
} // namespace firefly
