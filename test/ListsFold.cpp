#include "Config.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

using namespace firefly;

namespace {

using ListEdit = std::variant<PlansEdited, LimitsEdited>;

PlansEdited plansEdit(Offset base, const std::string &plan, const std::string &author = "op")
{
    return {author, base, PlansList{{{"kayal", plan}}}};
}

LimitsEdited limitsEdit(Offset base, const std::vector<std::string> &plans)
{
    LimitsEdited edit{"op", base, {}};
    for (const std::string &it : plans) {
        edit.list.limitsOfPlan[it].resources = Resources{1000, 1024, 0, 4};
    }
    return edit;
}

FoldResult read(ListsFold &fold, Offset offset, const ListEdit &edit)
{
    return std::visit([&](const auto &it) { return fold.apply(offset, it); }, edit);
}

/// A log of edits, with the lists in force after each of its prefixes.
struct EditLog
{
    std::vector<ListEdit> records;         ///< The record at offset i + 1.
    std::vector<OperatorLists> states;     ///< The lists in force after i records.
    std::vector<nlohmann::json> snapshots; ///< The saved fold after i records.
};

ListEdit randomEdit(const OperatorLists &now)
{
    const bool isStale = *rc::gen::inRange(0, 4) == 0;
    const auto base = [&](Offset version) { return isStale ? version / 2 : version; };
    const std::vector<std::string> names = {"gold", "silver"};
    const std::string plan = *rc::gen::elementOf(names);
    if (*rc::gen::arbitrary<bool>()) {
        return plansEdit(base(now.plans.version), plan);
    }
    const auto kept = *rc::gen::element(std::vector<std::string>{plan}, names);
    return limitsEdit(base(now.limits.version), kept);
}

EditLog randomLog()
{
    EditLog log;
    ListsFold fold;
    const int n = *rc::gen::inRange(1, 40);
    log.states.push_back(fold.inForce());
    log.snapshots.push_back(fold.save());
    for (int i = 1; i <= n; ++i) {
        log.records.push_back(randomEdit(fold.inForce()));
        read(fold, static_cast<Offset>(i), log.records.back());
        log.states.push_back(fold.inForce());
        log.snapshots.push_back(fold.save());
    }
    return log;
}

/// An entry that reads the log, adopts lists from peers and loads snapshots, in any order.
struct Reader
{
    ListsFold fold;
    std::size_t next = 0;   ///< Index of the next record to read.
    std::size_t covers = 0; ///< Number of records included in the saved state.

    void step(const EditLog &log)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, log.states.size());
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            fold.adopt(log.states[at]);
            break;
        case 1:
            fold.load(log.snapshots[at]);
            next = at;
            covers = at;
            break;
        case 2:
            next = std::min(next, at); // Reads records again.
            break;
        default:
            readNext(log);
        }
    }

    void readNext(const EditLog &log)
    {
        if (next < log.records.size()) {
            read(fold, next + 1, log.records[next]);
            ++next;
            covers = std::max(covers, next);
        }
    }
};

} // namespace

TEST(ListsFold, acceptsTheFirstEditOfAVersionAndReportsTheConflictOfTheSecond)
{
    ListsFold fold;
    ASSERT_EQ(fold.apply(1, limitsEdit(0, {"gold", "silver"})), FoldResult::Accepted);
    ASSERT_EQ(fold.apply(2, plansEdit(0, "gold", "ann")), FoldResult::Accepted);

    EXPECT_EQ(fold.apply(3, plansEdit(2, "silver", "bob")), FoldResult::Accepted);
    const PlansEdited late = plansEdit(2, "gold", "cid");
    EXPECT_EQ(fold.apply(4, late), FoldResult::Conflict);

    const EditConflict<PlansList> conflict = fold.conflict(late);
    EXPECT_EQ(conflict.base, 2U);
    EXPECT_EQ(conflict.yours, late.list);
    EXPECT_EQ(conflict.theirs.version, 3U);
    EXPECT_EQ(conflict.theirs.author, "bob");
    EXPECT_EQ(*fold.planOf(CustomerId("kayal")), "silver");
}

TEST(ListsFold, refusesInvalidEdits)
{
    ListsFold fold;
    EXPECT_EQ(fold.apply(1, plansEdit(0, "gold")), FoldResult::Invalid);
    ASSERT_EQ(fold.apply(2, limitsEdit(0, {"gold"})), FoldResult::Accepted);
    ASSERT_EQ(fold.apply(3, plansEdit(0, "gold")), FoldResult::Accepted);

    EXPECT_EQ(fold.apply(4, limitsEdit(2, {"silver"})), FoldResult::Invalid);
    LimitsEdited negative = limitsEdit(2, {"gold"});
    negative.list.limitsOfPlan["gold"].resources.memoryMiB = -1;
    EXPECT_EQ(fold.apply(5, negative), FoldResult::Invalid);
    EXPECT_EQ(fold.limitsVersion(), 2U);
    EXPECT_EQ(fold.limitsOf(CustomerId("steekproef")), nullptr);
    EXPECT_EQ(fold.limitsOf(CustomerId("kayal"))->resources.memoryMiB, 1024);
}

TEST(ListsFold, adoptsOnlyNewerConsistentAndValidLists)
{
    ListsFold peer;
    peer.apply(1, limitsEdit(0, {"gold"}));
    peer.apply(2, plansEdit(0, "gold"));
    ListsFold disconnected;
    EXPECT_TRUE(disconnected.adopt(peer.inForce()));
    EXPECT_FALSE(disconnected.adopt(peer.inForce()));
    EXPECT_FALSE(disconnected.adopt(ListsFold().inForce()));

    OperatorLists mixed = peer.inForce();
    mixed.plans.version = 9;
    mixed.limits.version = 0;
    EXPECT_FALSE(disconnected.adopt(mixed));
    OperatorLists invalid = peer.inForce();
    invalid.plans = {9, "op", PlansList{{{"kayal", "tin"}}}};
    EXPECT_FALSE(disconnected.adopt(invalid));
    EXPECT_EQ(disconnected.plansVersion(), 2U);
    EXPECT_EQ(disconnected.dump().at("inForceFrom"), "peer");
}

RC_GTEST_PROP(ListsFold, anyOrderOfReadsAdoptionsAndLoadsEndsInTheSameState, ())
{
    const EditLog log = randomLog();
    Reader reader;
    const int n = *rc::gen::inRange(0, 80);
    for (int i = 0; i < n; ++i) {
        const OperatorLists before = reader.fold.inForce();
        reader.step(log);
        const OperatorLists &after = reader.fold.inForce();
        RC_ASSERT(after.plans.version >= before.plans.version);
        RC_ASSERT(after.limits.version >= before.limits.version);
        RC_ASSERT(reader.fold.save() == log.snapshots[reader.covers]);
        RC_ASSERT(std::find(log.states.begin(), log.states.end(), after) != log.states.end());
    }
    while (reader.next < log.records.size()) {
        reader.readNext(log);
    }
    RC_ASSERT(reader.fold.inForce() == log.states.back());
    RC_ASSERT(reader.fold.save() == log.snapshots.back());
}

TEST(PlannedWorkFold, lastSwitchInLogOrderTakesEffect)
{
    PlannedWorkFold fold;
    const CustomerId kayal("kayal");
    const PlannedWorkSwitched stop{"op", kayal, "rebuild", false};
    const PlannedWorkSwitched start{"op", kayal, "rebuild", true};
    EXPECT_EQ(fold.apply(1, start), FoldResult::Duplicate);
    EXPECT_EQ(fold.apply(2, stop), FoldResult::Accepted);
    EXPECT_FALSE(fold.isRunning(kayal, "rebuild"));
    EXPECT_TRUE(fold.isRunning(kayal, "monitor"));

    PlannedWorkFold loaded;
    loaded.load(fold.save());
    EXPECT_FALSE(loaded.isRunning(kayal, "rebuild"));
    EXPECT_EQ(loaded.apply(3, start), FoldResult::Accepted);
    EXPECT_EQ(loaded.apply(2, stop), FoldResult::Duplicate); // The same record, read again.
    EXPECT_TRUE(loaded.isRunning(kayal, "rebuild"));
    EXPECT_EQ(loaded.apply(4, PlannedWorkSwitched{"op", kayal, "", false}), FoldResult::Invalid);
}
