#include "Membership.h"

#include <gtest/gtest.h>

using namespace firefly;
using namespace std::chrono_literals;

namespace {

class MembershipPeers : public testing::Test
{
protected:
    MembershipPeers() { list({"a", "b", "c"}); }

    void list(std::initializer_list<const char *> ids)
    {
        VmList reading;
        for (const char *it : ids) {
            reading.entries.push_back({EntryId(it)});
        }
        peers.onVmList(reading, now);
    }
    void answer(const char *id, std::vector<EntryId> reaches = {})
    {
        HeartbeatReply reply;
        reply.heartbeat.from = EntryId(id);
        reply.heartbeat.reaches = std::move(reaches);
        peers.onExchange(now, reply);
    }
    void failForTenSeconds(const char *id)
    {
        for (int i = 0; i < 10; ++i) {
            now += 1s;
            peers.onExchangeFailed(EntryId(id));
        }
    }

    TimePoint now{100s};
    PeerTable peers{EntryId("a"), MembershipTimes()};
};

} // namespace

TEST_F(MembershipPeers, silenceWhileTheLogIsDownMakesNobodyDead)
{
    peers.onLogReachable(false, now);
    failForTenSeconds("b");
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Suspected);
    peers.onLogReachable(true, now);
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Suspected);
    failForTenSeconds("b");
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Dead);
}

TEST_F(MembershipPeers, entryThatAnotherReachesIsNotDead)
{
    peers.onLogReachable(true, now);
    failForTenSeconds("b");
    answer("c", {EntryId("b")});
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Suspected);
    answer("c");
    now += 1s;
    answer("c");
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Dead);
}

TEST_F(MembershipPeers, droppedEntryMustStillBeHeardForTheListsLag)
{
    answer("b");
    answer("c");
    EXPECT_TRUE(peers.witnessedByAll(now, false));
    now += 1s;
    list({"a", "b", "d"});
    EXPECT_FALSE(peers.witnessedByAll(now, false)) << "d never answered";
    answer("d");
    EXPECT_EQ(peers.witnessedByAll(now, false), now - 1s) << "c still counts";
    now += 8s;
    list({"a", "b", "d"});
    answer("b");
    answer("d");
    EXPECT_EQ(peers.witnessedByAll(now, false), now);
}

TEST_F(MembershipPeers, newcomerSettlesAfterTheListsLagWithoutGap)
{
    for (int i = 0; i < 9; ++i, now += 1s) {
        EXPECT_EQ(peers.isSettled(now), i >= 8) << i;
        list({"a"});
    }
    now += 10s;
    list({"a"});
    EXPECT_FALSE(peers.isSettled(now));
}

TEST_F(MembershipPeers, vanishedWorkerIsKeptUntilForgotten)
{
    WorkerInfo worker;
    worker.id = WorkerId("w");
    worker.zone = ZoneId("z");
    worker.rack = "r";
    WorkerTable table;
    table.onVmList({{worker}, {}}, now);
    EXPECT_TRUE(table.acceptsWork(worker.id));
    table.onVmList({}, now);
    EXPECT_FALSE(table.acceptsWork(worker.id));
    EXPECT_NE(table.find(worker.id), nullptr);
    EXPECT_EQ(table.vanishedAt(worker.id), now);
    table.forget(worker.id);
    EXPECT_EQ(table.find(worker.id), nullptr);
}
