#include "Membership.h"

#include <gtest/gtest.h>

using namespace firefly;
using namespace std::chrono_literals;

namespace {

class MembershipPeers : public testing::Test
{
protected:
    MembershipPeers() { setVmList({"a", "b", "c"}); }

    void setVmList(std::initializer_list<const char *> ids)
    {
        VmList reading;
        for (const char *it : ids) {
            reading.entries.push_back({EntryId(it)});
        }
        peers.onVmList(reading, now);
    }
    void receiveReply(const char *id, std::vector<EntryId> reaches = {})
    {
        HeartbeatReply reply;
        reply.heartbeat.from = EntryId(id);
        reply.heartbeat.reaches = std::move(reaches);
        peers.onHeartbeatReply(now, reply);
    }
    void failForTenSeconds(const char *id)
    {
        for (int i = 0; i < 10; ++i) {
            now += 1s;
            peers.onHeartbeatFailed(EntryId(id));
        }
    }

    TimePoint now{100s};
    PeerTable peers{EntryId("a"), MembershipTimes()};
};

} // namespace

TEST_F(MembershipPeers, silentPeerIsNotDeadWhileTheLogIsDown)
{
    peers.onLogReachable(false, now);
    failForTenSeconds("b");
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Suspected);
    peers.onLogReachable(true, now);
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Suspected);
    failForTenSeconds("b");
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Dead);
}

TEST_F(MembershipPeers, silentPeerIsNotDeadWhileAnotherEntryReachesIt)
{
    peers.onLogReachable(true, now);
    failForTenSeconds("b");
    receiveReply("c", {EntryId("b")});
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Suspected);
    receiveReply("c");
    now += 1s;
    receiveReply("c");
    EXPECT_EQ(peers.state(EntryId("b"), now), EntryState::Dead);
}

TEST_F(MembershipPeers, unlistedEntryMustConfirmUntilTheListLagHasPassed)
{
    receiveReply("b");
    receiveReply("c");
    EXPECT_TRUE(peers.confirmedByAll(now, false));
    now += 1s;
    setVmList({"a", "b", "d"});
    EXPECT_FALSE(peers.confirmedByAll(now, false)) << "d never answered";
    receiveReply("d");
    EXPECT_EQ(peers.confirmedByAll(now, false), now - 1s) << "c still counts";
    now += 8s;
    setVmList({"a", "b", "d"});
    receiveReply("b");
    receiveReply("d");
    EXPECT_EQ(peers.confirmedByAll(now, false), now);
}

TEST_F(MembershipPeers, newEntrySettlesAfterTheListLagWithoutGap)
{
    for (int i = 0; i < 9; ++i, now += 1s) {
        EXPECT_EQ(peers.isSettled(now), i >= 8) << i;
        setVmList({"a"});
    }
    now += 10s;
    setVmList({"a"});
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
