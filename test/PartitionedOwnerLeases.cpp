#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
/// As in CellElection: from the last renewal of a claim until others may claim the cell.
constexpr Duration OwnerTimeout = 2200ms;
const std::set<std::string> NearWorkers{"w2", "w3"}; ///< On the earlier owner's side of the cut.
const std::set<std::string> FarWorkers{"w0", "w1"};

/// Passes the messages between an owner that was replaced and the workers on its side of a cut.
class ReplacedOwner
{
public:
    ReplacedOwner(std::unique_ptr<CellScheduler> owner, CellWorld &world, TimePoint ordersUntil)
        : m_owner(std::move(owner))
        , m_world(world)
        , m_ordersUntil(ordersUntil)
    {
        // The world drops the answers to orders of replaced owners.
        for (const auto &[id, worker] : m_owner->state().workers) {
            if (worker->isRenewing) {
                RenewLease renewal;
                renewal.worker = worker->info.id;
                renewal.fence = worker->renewalFence;
                send(renewal);
            }
        }
    }

    void step()
    {
        for (Reply &it : std::exchange(m_replies, {})) {
            if (it.at <= m_world.now) {
                it.deliver();
            } else {
                m_replies.push_back(std::move(it));
            }
        }
        if (m_owner->isFenced() || m_world.now >= m_ordersUntil) {
            return;
        }
        m_owner->setOrdersUntil(m_ordersUntil);
        m_owner->tick(m_world.now, m_world.unixMs());
        for (const CellAction &it : m_owner->takeActions()) {
            std::visit([this](const auto &order) { send(order); }, it);
        }
    }

private:
    struct Reply
    {
        TimePoint at{};
        std::function<void()> deliver;
    };

    FakeCellWorker *findWorker(const WorkerId &id)
    {
        return NearWorkers.contains(id.value()) ? m_world.workers.at(id.value()).get() : nullptr;
    }

    void reply(bool isReached, std::function<void()> deliver)
    {
        constexpr Duration Timeout = 1000ms;
        m_replies.push_back({m_world.now + (isReached ? 10ms : Timeout), std::move(deliver)});
    }

    void send(const RenewLease &order)
    {
        FakeCellWorker *worker = findWorker(order.worker);
        LeaseReport report;
        report.fence = order.fence;
        const auto outcome =
            worker ? worker->renew(order, order.fence, m_world.now, report) : OrderOutcome::Unknown;
        reply(worker, [this, id = order.worker, outcome, report, sentAt = m_world.now] {
            m_owner->onLeaseReport(id, outcome, report, sentAt, m_world.now, m_world.unixMs());
        });
    }

    void send(const StartTask &order)
    {
        FakeCellWorker *worker = findWorker(order.worker);
        OrderReply answer;
        if (worker) {
            answer = {worker->start(order, order.fence, m_world.now), worker->clockMs(m_world.now),
                      order.fence};
        }
        reply(worker, [this, order, answer] {
            m_owner->onStartReply(order.worker, order.task, order.run, answer, m_world.now);
        });
    }

    void send(const StopTask &order)
    {
        FakeCellWorker *worker = findWorker(order.worker);
        const auto outcome =
            worker ? worker->stop(order, order.fence, m_world.now) : OrderOutcome::Unknown;
        reply(worker,
              [this, order, outcome] { m_owner->onStopOutcome(order, outcome, m_world.now); });
    }

    template <typename Other>
    void send(const Other &)
    {}

    std::unique_ptr<CellScheduler> m_owner;
    CellWorld &m_world;
    TimePoint m_ordersUntil;
    std::vector<Reply> m_replies;
};

void setReachable(CellWorld &world, const std::set<std::string> &ids, bool isReachable)
{
    for (const std::string &it : ids) {
        world.workers.at(it)->isReachable = isReachable;
    }
}

/// Cuts the owner and the near workers off from the store and the far workers; another owner takes
/// over on their side.  Returns when the earlier owner has ended its ownership.
void partition(CellWorld &world)
{
    const TimePoint cutAt = world.now;
    const Duration longestOrders = OwnerTimeout + world.bounds.grantedLease();
    world.isStoreDown = true;
    setReachable(world, FarWorkers, false);
    world.run(OwnerTimeout + 100ms);
    ReplacedOwner earlier(std::move(world.owner), world, cutAt + longestOrders);
    world.isStoreDown = false;
    setReachable(world, FarWorkers, true);
    setReachable(world, NearWorkers, false);
    world.replaceOwner(cutAt + longestOrders + longestOrders / 50 + 500ms);
    while (world.now < cutAt + longestOrders) {
        world.step();
        earlier.step();
    }
}

// An owner that was cut off took the leases of unreachable workers for over by the deadlines that
// it had granted itself, while the next owner renewed them, and started their tasks again.
TEST(PartitionedOwnerLeases, ATaskDoesNotRunOnBothSidesOfACut)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 20s;
        }
        world.run(500ms);
        world.submit(JobId("a"), makeChain(1, 16));
        world.run(2s);
        ASSERT_TRUE(world.accepted.contains("a")) << "seed " << seed;
        partition(world);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
