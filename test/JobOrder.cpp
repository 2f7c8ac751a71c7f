#include "Cell/JobOrder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr double Cores = 100;
constexpr Duration PassInterval = 50ms;
const std::vector<double> Rates{Cores};

JobOrder::Job makeJob(std::size_t id, TimePoint submittedAt, double coreSeconds,
                      Duration objective = 5s)
{
    JobOrder::Job job;
    job.id = id;
    job.priority = 2;
    job.objective = submittedAt + objective;
    job.usefulUntil = submittedAt + 3 * objective;
    job.remainingPath = 2s;
    job.remainingCoreSeconds = coreSeconds;
    return job;
}

/// A job of a load and when it ended.
struct Served
{
    JobOrder::Job job;
    double size = 0;
    TimePoint submittedAt{};
    std::optional<TimePoint> endedAt;

    bool isInTime() const { return endedAt && *endedAt <= job.objective; }
};

using Order = std::vector<std::size_t> (*)(std::span<const JobOrder::Job>, std::span<const double>,
                                           TimePoint);

std::vector<std::size_t> sortByObjective(std::span<const JobOrder::Job> jobs,
                                         std::span<const double>, TimePoint)
{
    std::vector<JobOrder::Job> sorted(jobs.begin(), jobs.end());
    std::ranges::sort(sorted, {}, &JobOrder::Job::objective);
    std::vector<std::size_t> ids;
    std::ranges::transform(sorted, std::back_inserter(ids), &JobOrder::Job::id);
    return ids;
}

/// Gives the cores to jobs in the order that \a order returns, pass by pass, until \a end.
void serve(std::vector<Served> &load, Order order, TimePoint end)
{
    for (TimePoint now{}; now < end; now += PassInterval) {
        std::vector<JobOrder::Job> waiting;
        for (const Served &it : load) {
            if (!it.endedAt && it.submittedAt <= now) {
                waiting.push_back(it.job);
            }
        }
        double coreSeconds = Cores * std::chrono::duration<double>(PassInterval).count();
        for (const std::size_t id : order(waiting, Rates, now)) {
            Served &served = load[id];
            // A job can't use more cores than its critical path lets it.
            const double most = served.size * 0.05 / 2.0;
            const double used = std::min({coreSeconds, most, served.job.remainingCoreSeconds});
            coreSeconds -= used;
            served.job.hasBegun = served.job.hasBegun || used > 0;
            served.job.remainingCoreSeconds -= used;
            served.job.remainingPath = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(2 * served.job.remainingCoreSeconds / served.size));
            if (served.job.remainingCoreSeconds < 1e-9) {
                served.endedAt = now + PassInterval;
            }
        }
    }
}

/// Jobs that ask for \a factor of the cores between 5 s and 5 s + \a length, for 0.7 otherwise.
/// Each tenth one is four times as large as the others.
std::vector<Served> makeBurst(double factor, Duration length)
{
    std::vector<Served> load;
    TimePoint at{};
    while (at < TimePoint{} + 5s + length + 15s) {
        const std::size_t id = load.size();
        const double size = id % 10 == 9 ? 40 : 10;
        load.push_back({makeJob(id, at, size), size, at, {}});
        const bool isBurst = at >= TimePoint{} + 5s && at < TimePoint{} + 5s + length;
        const double rate = Cores * (isBurst ? factor : 0.7);
        at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(size / rate));
    }
    return load;
}

std::ptrdiff_t countInTime(std::span<const Served> load)
{
    return std::ranges::count_if(load, &Served::isInTime);
}

// Earliest deadline first starts each job of a burst so late that it just misses its objective.
TEST(JobOrder, ABurstOfTwiceTheCapacityLeavesMostOfTheCapacityToJobsThatAreInTime)
{
    std::vector<Served> load = makeBurst(2.0, 6s);
    std::vector<Served> byObjective = load;
    serve(load, &JobOrder::sort, TimePoint{} + 60s);
    serve(byObjective, &sortByObjective, TimePoint{} + 60s);
    EXPECT_GT(countInTime(load), countInTime(byObjective));
    // The capacity of the time until the last objective of the burst carries at least 0.6 of it.
    EXPECT_GE(countInTime(load), static_cast<std::ptrdiff_t>(load.size()) * 6 / 10);
}

TEST(JobOrder, AnOverloadOfTenSecondsIsOverFiveSecondsAfterItEnds)
{
    std::vector<Served> load = makeBurst(2.0, 10s);
    serve(load, &JobOrder::sort, TimePoint{} + 60s);
    for (const Served &it : load) {
        if (it.submittedAt >= TimePoint{} + 5s + 10s + 5s) {
            EXPECT_TRUE(it.isInTime()) << "job " << it.job.id;
        }
    }
}

// A site refuses a day on which the largest jobs are served less than half as often as all.
TEST(JobOrder, LargeJobsAreServedAtLeastHalfAsOftenAsAllInABurst)
{
    std::vector<Served> load = makeBurst(2.0, 6s);
    serve(load, &JobOrder::sort, TimePoint{} + 60s);
    std::vector<Served> large;
    std::ranges::copy_if(load, std::back_inserter(large),
                         [](const Served &it) { return it.size > 20; });
    const auto share = [](std::span<const Served> jobs) {
        const auto count = std::ranges::count_if(
            jobs, [](const Served &it) { return it.endedAt && *it.endedAt <= it.job.usefulUntil; });
        return static_cast<double>(count) / static_cast<double>(jobs.size());
    };
    EXPECT_GE(share(large), share(load) / 2);
}

TEST(JobOrder, WithEnoughCapacityJobsAreSortedByObjective)
{
    std::vector<JobOrder::Job> jobs;
    for (std::size_t i = 0; i < 20; ++i) {
        jobs.push_back(makeJob(i, TimePoint{} + std::chrono::milliseconds(i * 37 % 20), 5));
    }
    EXPECT_EQ(JobOrder::sort(jobs, Rates, TimePoint{} + 20ms),
              sortByObjective(jobs, {}, TimePoint{}));
}

TEST(JobOrder, AJobThatHasBegunIsNotPassedOverForSmallerOnes)
{
    JobOrder::Job begun = makeJob(0, TimePoint{}, 450);
    begun.hasBegun = true;
    std::vector<JobOrder::Job> jobs{begun};
    for (std::size_t i = 1; i < 10; ++i) {
        jobs.push_back(makeJob(i, TimePoint{} + 10ms, 20));
    }
    const auto ids = JobOrder::sort(jobs, Rates, TimePoint{} + 10ms);
    EXPECT_EQ(ids.front(), 0U);
}

TEST(JobOrder, PriorityAndStandingTasksGoBeforeLateness)
{
    JobOrder::Job late = makeJob(0, TimePoint{} - 60s, 10);
    late.priority = 0;
    JobOrder::Job standing = makeJob(1, TimePoint{}, 0);
    standing.priority = 0;
    standing.isLongRunning = true;
    JobOrder::Job displaced = standing;
    displaced.id = 2;
    displaced.isDisplaced = true;
    const std::vector<JobOrder::Job> jobs{makeJob(3, TimePoint{}, 10), late, standing, displaced};
    EXPECT_EQ(JobOrder::sort(jobs, Rates, TimePoint{}), (std::vector<std::size_t>{2, 1, 0, 3}));
}

// One timetable serves all priorities of a queue.
TEST(JobOrder, ASmallJobOfLowerPriorityDoesNotMakeALargeUrgentOneLate)
{
    JobOrder::Job urgent = makeJob(0, TimePoint{}, 400);
    urgent.priority = 1;
    JobOrder::Job lateUrgent = makeJob(1, TimePoint{} - 4s, 50);
    lateUrgent.priority = 1;
    const std::vector<JobOrder::Job> jobs{makeJob(2, TimePoint{}, 150), lateUrgent, urgent};
    EXPECT_EQ(JobOrder::sort(jobs, Rates, TimePoint{}).front(), 0U);
}

// A cell whose workers are all lost has no capacity; nothing is in time, and nothing is forgotten.
TEST(JobOrder, WithoutCapacityAllJobsAreKept)
{
    std::vector<JobOrder::Job> jobs{makeJob(0, TimePoint{}, 10), makeJob(1, TimePoint{}, 10)};
    EXPECT_EQ(JobOrder::sort(jobs, std::vector<double>{0.0}, TimePoint{}).size(), 2U);
}

} // namespace
} // namespace firefly
