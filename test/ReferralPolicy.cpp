#include "Fleet/ReferralPolicy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Cells of equal size whose owners decide by loads that are PublishDelay old.
class CellsWithStaleLoads
{
public:
    explicit CellsWithStaleLoads(std::uint32_t seed, std::size_t count = 9)
        : loads(count)
        , m_policies(count)
        , m_held(count)
        , m_random(seed)
    {}

    /// Submits a job that adds \a load to its cell, at a random home.
    void submitBatch(const CellLoad &load)
    {
        const std::size_t home = m_random() % loads.size();
        std::vector<std::optional<CellLoad>> others = published();
        others[home].reset();
        const ReferralPolicy::Job job = makeJob(load);
        accept(job, home, m_policies[home].chooseForBatch(job, loads[home], others, now));
    }

    void submitLongRunning(const CellLoad &load)
    {
        const std::size_t home = m_random() % loads.size();
        const ReferralPolicy::Job job = makeJob(load);
        if (m_policies[home].shouldHold(now)) {
            m_held[home].emplace_back(now + ReferralPolicy::HoldTime, job);
            return;
        }
        accept(job, home,
               m_policies[home].chooseForLongRunning(job, home, false, published(), now));
    }

    /// Advances the time by \a span, in steps of 1 ms.
    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end;) {
            now += 1ms;
            for (std::size_t home = 0; home < loads.size(); ++home) {
                releaseHeld(home);
            }
            m_history.push_back(loadsWithHeld());
            if (m_history.size() > PublishDelay / 1ms) {
                m_history.pop_front();
            }
        }
    }

    double maxLoad() const { return std::ranges::max(loads, {}, &CellLoad::reserved).reserved; }
    double meanLoad() const
    {
        double sum = 0.0;
        for (const CellLoad &it : loads) {
            sum += it.reserved;
        }
        return sum / static_cast<double>(loads.size());
    }

    std::vector<CellLoad> loads; ///< Of the accepted jobs, by cell.
    TimePoint now{10s};
    int referrals = 0;

private:
    static constexpr Duration PublishDelay = 100ms;

    ReferralPolicy::Job makeJob(const CellLoad &load)
    {
        return {JobId(std::to_string(m_random())), load};
    }

    std::vector<std::optional<CellLoad>> published() const
    {
        const auto &seen = m_history.empty() ? loads : m_history.front();
        return {seen.begin(), seen.end()};
    }

    std::vector<CellLoad> loadsWithHeld() const
    {
        std::vector<CellLoad> result = loads;
        for (std::size_t i = 0; i < result.size(); ++i) {
            for (const auto &[at, job] : m_held[i]) {
                result[i] += job.load;
            }
        }
        return result;
    }

    void releaseHeld(std::size_t home)
    {
        while (!m_held[home].empty() && m_held[home].front().first <= now) {
            const ReferralPolicy::Job job = m_held[home].front().second;
            m_held[home].pop_front();
            accept(job, home,
                   m_policies[home].chooseForLongRunning(job, home, true, published(), now));
        }
    }

    void accept(const ReferralPolicy::Job &job, std::size_t home, std::optional<int> target)
    {
        referrals += target ? 1 : 0;
        loads[target ? static_cast<std::size_t>(*target) : home] += job.load;
    }

    std::vector<ReferralPolicy> m_policies;
    std::vector<std::deque<std::pair<TimePoint, ReferralPolicy::Job>>> m_held;
    std::deque<std::vector<CellLoad>> m_history; ///< Loads of the last PublishDelay.
    std::mt19937 m_random;
};

/// Load of one of the long-running jobs of kayal-roster-large, of unlike sizes.
CellLoad drawLongRunningLoad(std::mt19937 &random)
{
    return {std::lognormal_distribution<double>(-3.48, 0.45)(random), 0.0};
}

// Skewed placement: on kayal-roster-large 214 long-running jobs come within 0.6 s.  A cell at 0.96
// of its room stood beside one at 0.66 from then on, and a failed task found no room in its own
// cell (LOST on quiet-1, scale-1 and scale-2).  A cell at 0.95 has no room for a task (incident
// inc1).
TEST(ReferralPolicy, ManyLongRunningJobsAtOnceLeaveRoomInEveryCell)
{
    constexpr double NoRoomLoad = 0.95;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        CellsWithStaleLoads cells(seed);
        std::mt19937 random(seed);
        while (cells.meanLoad() < 0.81 && cells.now < TimePoint{20s}) {
            cells.submitLongRunning(drawLongRunningLoad(random));
            cells.run(3ms);
        }
        cells.run(1s);
        // The jobs that were held when the mean reached 0.81 are more than the day has.
        const double excess = cells.meanLoad() - 0.81;
        EXPECT_LT(cells.maxLoad() - excess, NoRoomLoad) << "seed " << seed;
    }
}

TEST(ReferralPolicy, SingleLongRunningJobsKeepTheCellsEven)
{
    CellsWithStaleLoads cells(1);
    std::mt19937 random(1);
    for (int i = 0; i < 180; ++i) {
        cells.submitLongRunning(drawLongRunningLoad(random));
        cells.run(840ms);
    }
    EXPECT_LT(cells.maxLoad() - cells.meanLoad(), 0.14);
}

// Herding: owners that see the same stale loads must not all refer to the one least loaded cell.
TEST(ReferralPolicy, StaleLoadsDoNotSendAllJobsToOneCell)
{
    for (const bool isLongRunning : {false, true}) {
        CellsWithStaleLoads cells(1);
        for (CellLoad &it : cells.loads) {
            it.reserved = 0.8;
        }
        cells.loads[4].reserved = 0.6;
        cells.run(1s);
        for (int i = 0; i < 60; ++i) {
            isLongRunning ? cells.submitLongRunning({0.005, 0.0}) : cells.submitBatch({0.005, 0.0});
            cells.run(10ms);
        }
        cells.run(1s);
        EXPECT_LE(cells.loads[4].reserved, 0.9);
    }
}

TEST(ReferralPolicy, CellsWithRoomAndEqualCellsReferNoBatchJobs)
{
    CellsWithStaleLoads cells(2);
    cells.loads[3].reserved = 0.35;
    cells.run(1s);
    for (int i = 0; i < 30; ++i) {
        cells.submitBatch({0.0001, 0.0});
    }
    EXPECT_EQ(cells.referrals, 0) << "a cell with room refers nothing";
    for (CellLoad &it : cells.loads) {
        it.reserved = 0.8;
    }
    cells.run(1s);
    for (int i = 0; i < 30; ++i) {
        cells.submitBatch({0.0001, 0.0});
    }
    EXPECT_EQ(cells.referrals, 0);
}

TEST(ReferralPolicy, ACellThatCannotGetTheJobIsNotChosen)
{
    ReferralPolicy policy;
    std::vector<std::optional<CellLoad>> loads(9);
    const ReferralPolicy::Job job{JobId("a"), {0.1, 0.0}};
    EXPECT_FALSE(policy.chooseForBatch(job, {0.9, 0.0}, loads, TimePoint{1s}));
    EXPECT_FALSE(policy.chooseForLongRunning(job, 2, false, loads, TimePoint{1s}));
    loads[2] = CellLoad{0.9, 0.0};
    EXPECT_FALSE(policy.chooseForLongRunning(job, 2, false, loads, TimePoint{1s}));
    loads[5] = CellLoad{0.2, 0.0};
    EXPECT_EQ(policy.chooseForLongRunning(job, 2, false, loads, TimePoint{1s}), 5);
}

} // namespace
} // namespace firefly
