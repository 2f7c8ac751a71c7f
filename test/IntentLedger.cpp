#include "Calls.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace firefly;

namespace {

const CustomerId Customer("kayal");

CallIntended intent(const char *key, const char *request, std::uint64_t bodyHash = 7)
{
    return {Customer, key, EntryId("e1"), WriterId("e1.1"), RequestId(request), bodyHash};
}

CallConcluded conclusion(const char *key, const char *request, Outcome outcome,
                         const char *answer = "")
{
    return {Customer, key, RequestId(request), outcome, answer};
}

} // namespace

TEST(IntentLedger, firstIntentOfAKeyWins)
{
    IntentLedger ledger;
    EXPECT_EQ(ledger.apply(1, intent("k", "r1")), FoldResult::Accepted);
    EXPECT_EQ(ledger.apply(2, intent("k", "r2")), FoldResult::Duplicate);
    EXPECT_EQ(ledger.apply(3, intent("k", "r3", 8)), FoldResult::Conflict);
    EXPECT_EQ(ledger.apply(4, intent("", "r4")), FoldResult::Invalid);
    EXPECT_EQ(ledger.find({Customer, "k"})->request, RequestId("r1"));
    EXPECT_EQ(ledger.find({CustomerId("steekproef"), "k"}), nullptr);
}

TEST(IntentLedger, onlyTheWinnerConcludesAndOnlyOnce)
{
    IntentLedger ledger;
    ledger.apply(1, intent("k", "r1"));
    ledger.apply(2, intent("k", "r2"));
    EXPECT_EQ(ledger.apply(3, conclusion("k", "r2", Outcome::NotRun)), FoldResult::Stale);
    EXPECT_EQ(ledger.apply(4, conclusion("k", "r1", Outcome::Answer, "yes")), FoldResult::Accepted);
    EXPECT_EQ(ledger.apply(5, conclusion("k", "r1", Outcome::NotRun)), FoldResult::Duplicate);
    EXPECT_EQ(ledger.find({Customer, "k"})->answer, "yes");
}

TEST(IntentLedger, notRunReopensTheKey)
{
    IntentLedger ledger;
    ledger.apply(1, intent("k", "r1"));
    EXPECT_EQ(ledger.apply(2, conclusion("k", "r1", Outcome::NotRun)), FoldResult::Accepted);
    EXPECT_EQ(ledger.find({Customer, "k"}), nullptr);
    EXPECT_EQ(ledger.apply(3, intent("k", "r2")), FoldResult::Accepted);
}

TEST(IntentLedger, newKeyIsInvalidWhileNoKeyMayBeEvicted)
{
    IntentLedger ledger({.maxKeys = 2, .maxAnswerBytes = 4, .minRetention = 10});
    ledger.apply(1, intent("a", "r1"));
    ledger.apply(2, intent("b", "r2"));
    EXPECT_EQ(ledger.apply(3, intent("c", "r3")), FoldResult::Invalid);
    EXPECT_NE(ledger.find({Customer, "a"}), nullptr);
    EXPECT_EQ(ledger.apply(12, intent("c", "r3")), FoldResult::Accepted);
    EXPECT_EQ(ledger.find({Customer, "a"}), nullptr);
    EXPECT_EQ(ledger.size(), 2U);
}

TEST(IntentLedger, oversizeAnswerIsStoredAsUnknown)
{
    IntentLedger ledger({.maxKeys = 2, .maxAnswerBytes = 4, .minRetention = 10});
    ledger.apply(1, intent("a", "r1"));
    EXPECT_EQ(ledger.apply(2, conclusion("a", "r1", Outcome::Answer, "longer")),
              FoldResult::Accepted);
    EXPECT_EQ(ledger.find({Customer, "a"})->outcome, Outcome::Unknown);
    EXPECT_EQ(ledger.apply(3, intent("a", "r2")), FoldResult::Duplicate);
}

TEST(IntentLedger, loadRestoresTheSavedState)
{
    IntentLedger ledger;
    ledger.apply(1, intent("b", "r1"));
    ledger.apply(2, intent("a", "r2"));
    ledger.apply(3, conclusion("a", "r2", Outcome::Failed, "no"));
    IntentLedger copy;
    copy.load(ledger.save());
    EXPECT_EQ(copy.save(), ledger.save());
    EXPECT_EQ(*copy.find({Customer, "a"}), *ledger.find({Customer, "a"}));
    EXPECT_EQ(*copy.find({Customer, "b"}), *ledger.find({Customer, "b"}));
    EXPECT_EQ(copy.dump(), ledger.dump());
}
