#include "Admission.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace firefly;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Resources Call{1000, 512, 0, 1};
constexpr Resources AmpleResources{1 << 30, 1 << 30, 0, 1 << 20};

AdmissionControl controlFor(const std::map<std::string, PlanLimits> &limits)
{
    AdmissionControl control;
    PlansList plans;
    for (const auto &[plan, unused] : limits) {
        plans.planOfCustomer[plan] = plan;
    }
    control.setLists(plans, {limits}, TimePoint());
    return control;
}

AdmissionRequest requestOf(const std::string &customer, int number, TimePoint now,
                           Duration patience = seconds(1))
{
    return {RequestId(std::to_string(number)), CustomerId(customer), ServiceId("service"), Call,
            now + patience};
}

RefusalReason reasonOf(const Admission &admission)
{
    return std::get<Refused>(admission).reason;
}

} // namespace

TEST(AdmissionFairness, NoPlanStarvesAtTwiceTheCapacity)
{
    // Ten slots serve 500 calls of 10 to 30 ms per second; "loud" sends 800 and "quiet" 200.
    constexpr int Slots = 10;
    std::mt19937_64 random{20261203};
    std::uniform_int_distribution<Duration::rep> callTime(10000, 30000);
    AdmissionControl control = controlFor({{"loud", {.resources = AmpleResources, .weight = 1}},
                                           {"quiet", {.resources = AmpleResources, .weight = 1}}});
    std::multimap<TimePoint, Admitted> running;
    std::map<std::string, int> admitted;
    std::map<std::string, TimePoint> arrivedAt;
    TimePoint now{};
    const auto start = [&](const Admitted &it) {
        ++admitted[it.plan.value()];
        running.emplace(now + Duration(callTime(random)), it);
    };
    const auto refuse = [&](const Refused &it) {
        EXPECT_LT(now - arrivedAt[it.request.value()], milliseconds(10));
        EXPECT_GT(it.retryAfter, Duration::zero());
    };
    for (int i = 0; i < 4000; ++i) {
        now += milliseconds(1);
        while (!running.empty() && running.begin()->first <= now) {
            control.finish(running.begin()->second, milliseconds(20));
            running.erase(running.begin());
        }
        for (const Refused &it : control.expire(now)) {
            refuse(it);
        }
        while (int(running.size()) < Slots) {
            const auto next = control.admitNext();
            if (!next) {
                break;
            }
            start(*next);
        }
        const std::string plan = i % 5 == 0 ? "quiet" : "loud";
        arrivedAt[std::to_string(i)] = now;
        std::vector<Refused> displaced;
        const UrgentCapacity capacity{.free = Slots - std::int64_t(running.size())};
        const auto answer = control.admit(requestOf(plan, i, now), capacity, now, displaced);
        if (const auto *it = std::get_if<Admitted>(&answer)) {
            start(*it);
        } else if (const auto *it = std::get_if<Refused>(&answer)) {
            refuse(*it);
        }
        for (const Refused &it : displaced) {
            refuse(it);
        }
    }
    EXPECT_GT(admitted["quiet"], 700)
        << "of 800 requests, which are below its fair share of one half";
    EXPECT_GT(admitted["quiet"] + admitted["loud"], 1800)
        << "of the 2000 calls that the slots can serve";
}

TEST(AdmissionFairness, FullQueueDisplacesNewestRequestOfTheMostLoadedPlan)
{
    AdmissionControl control = controlFor({{"loud", {.resources = AmpleResources, .weight = 1}},
                                           {"quiet", {.resources = AmpleResources, .weight = 1}}});
    std::vector<Refused> displaced;
    for (int i = 0; i < 64; ++i) {
        control.admit(requestOf("loud", i, TimePoint()), {}, TimePoint(), displaced);
    }
    const auto more = control.admit(requestOf("loud", 64, TimePoint()), {}, TimePoint(), displaced);
    EXPECT_EQ(reasonOf(more), RefusalReason::Overload);
    EXPECT_TRUE(displaced.empty());
    const auto quiet =
        control.admit(requestOf("quiet", 65, TimePoint()), {}, TimePoint(), displaced);
    EXPECT_TRUE(std::holds_alternative<Queued>(quiet));
    ASSERT_EQ(displaced.size(), 1U);
    EXPECT_EQ(displaced.front().request, RequestId("63"));
    EXPECT_EQ(control.queued(), 64U);
}

TEST(AdmissionFairness, RefusesRequestThatCannotMeetItsDeadline)
{
    AdmissionControl control = controlFor({{"plan", {.resources = AmpleResources}}});
    std::vector<Refused> displaced;
    const auto answer = control.admit(requestOf("plan", 1, TimePoint(), milliseconds(5)),
                                      {.free = 1}, TimePoint(), displaced);
    EXPECT_EQ(reasonOf(answer), RefusalReason::DeadlineTooClose);
}

TEST(AdmissionFairness, EnforcesPlanRateAndResources)
{
    AdmissionControl control =
        controlFor({{"rate", {.resources = AmpleResources, .urgentPerSecond = 2}},
                    {"size", {.resources = Call}}});
    std::vector<Refused> displaced;
    TimePoint now{};
    const auto admit = [&](const std::string &plan, int n) {
        return control.admit(requestOf(plan, n, now), {.free = 9}, now, displaced);
    };
    admit("rate", 1);
    admit("rate", 2);
    EXPECT_EQ(reasonOf(admit("rate", 3)), RefusalReason::PlanRate);
    now += seconds(1);
    EXPECT_TRUE(std::holds_alternative<Admitted>(admit("rate", 4)));

    const auto first = admit("size", 5);
    EXPECT_EQ(reasonOf(admit("size", 6)), RefusalReason::PlanResources);
    control.setLists({{{"size", "rate"}}}, {{{"rate", {.resources = AmpleResources}}}}, now);
    control.finish(std::get<Admitted>(first), milliseconds(20));
    EXPECT_EQ(reasonOf(admit("rate", 7)), RefusalReason::UnknownCustomer);
}
