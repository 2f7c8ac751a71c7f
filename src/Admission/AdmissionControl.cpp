#include "Admission/AdmissionControl.h"

#include "Core/Assert.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace firefly {
namespace {

constexpr double RefusedShareGain = 0.05;
constexpr double MaxRefusedShare = 0.99;

} // namespace

void AdmissionControl::setLists(const PlansList &plans, const LimitsList &limits, TimePoint now)
{
    m_planOfCustomer.clear();
    for (const auto &[customer, plan] : plans.planOfCustomer) {
        m_planOfCustomer.emplace(CustomerId(customer), PlanId(plan));
    }
    for (auto &[id, plan] : m_plans) {
        plan.listed = false;
    }
    for (const auto &[name, planLimits] : limits.limitsOfPlan) {
        Plan &plan = m_plans[PlanId(name)];
        plan.listed = true;
        if (plan.limits == planLimits) {
            continue; // Keeps the tokens of its bucket.
        }
        plan.limits = planLimits;
        applyLimits(plan, now);
    }
}

void AdmissionControl::setShare(double share, TimePoint now)
{
    FIREFLY_ASSERT(share > 0 && share <= 1, "a share of the limits is not in (0, 1]");
    m_share = share;
    for (auto &[id, plan] : m_plans) {
        applyLimits(plan, now);
    }
}

void AdmissionControl::applyLimits(Plan &plan, TimePoint now)
{
    plan.rate.reset();
    if (plan.limits.urgentPerSecond == 0) {
        return;
    }
    const double perSecond = m_share * double(plan.limits.urgentPerSecond);
    plan.rate.emplace(perSecond, std::max(1.0, perSecond * m_settings.rateBurstSeconds), now);
}

Resources AdmissionControl::sharedLimit(const Plan &plan) const
{
    const auto part = [this](std::int64_t amount) {
        return std::int64_t(std::ceil(m_share * double(amount)));
    };
    const Resources &limit = plan.limits.resources;
    return {part(limit.milliProcessors), part(limit.memoryMiB), part(limit.accelerators),
            part(limit.slots)};
}

AdmissionControl::Plans::value_type *AdmissionControl::findPlan(const CustomerId &customer)
{
    const auto it = m_planOfCustomer.find(customer);
    if (it == m_planOfCustomer.end()) {
        return nullptr;
    }
    const auto plan = m_plans.find(it->second);
    if (plan == m_plans.end() || !plan->second.listed) {
        return nullptr;
    }
    return &*plan;
}

PlanId AdmissionControl::planOf(const CustomerId &customer) const
{
    const auto it = m_planOfCustomer.find(customer);
    return it == m_planOfCustomer.end() ? PlanId() : it->second;
}

Admission AdmissionControl::admit(const AdmissionRequest &request, const UrgentRoom &room,
                                  TimePoint now, std::vector<Refused> &displaced)
{
    auto *plan = findPlan(request.customer);
    if (plan == nullptr) {
        return Refused{request.request, RefusalReason::UnknownCustomer, m_settings.maxRetryAfter};
    }
    if (auto refused = refuseByPlan(plan->second, request, now)) {
        return *refused;
    }
    if (room.free > std::int64_t(m_queued)) {
        plan->second.claimed += request.resources;
        return start(*plan, request);
    }
    return enqueue(plan->second, request, now, displaced);
}

std::optional<Refused> AdmissionControl::refuseByPlan(Plan &plan, const AdmissionRequest &request,
                                                      TimePoint now)
{
    if (now + expectedTime(request.service) > request.deadline) {
        return refuse(plan, request, RefusalReason::DeadlineTooClose);
    }
    if (!(plan.claimed + request.resources).fitsIn(sharedLimit(plan))) {
        return refuse(plan, request, RefusalReason::PlanResources);
    }
    if (plan.rate && !plan.rate->tryTake(now)) {
        Refused refused = refuse(plan, request, RefusalReason::PlanRate);
        refused.retryAfter = std::max(refused.retryAfter, plan.rate->untilNext(now));
        return refused;
    }
    return std::nullopt;
}

Duration AdmissionControl::expectedTime(const ServiceId &service) const
{
    const auto it = m_serviceTimes.find(service);
    if (it == m_serviceTimes.end()) {
        return m_settings.initialServiceTime;
    }
    return it->second.mean() + it->second.deviation();
}

Admission AdmissionControl::enqueue(Plan &plan, const AdmissionRequest &request, TimePoint now,
                                    std::vector<Refused> &displaced)
{
    if (m_queued >= m_settings.maxQueued) {
        Plan *heaviest = heaviestWaiting();
        if (heaviest == nullptr || plan.claimForWeight(1) >= heaviest->claimForWeight()) {
            if (plan.rate) {
                plan.rate->putBack();
            }
            return refuse(plan, request, RefusalReason::Overload);
        }
        const AdmissionRequest newest = heaviest->waiting.back().request;
        heaviest->waiting.pop_back();
        displaced.push_back(refuseWaiting(*heaviest, newest));
    }
    const TimePoint latestStart = request.deadline - expectedTime(request.service);
    const TimePoint until = std::min(now + m_settings.maxWait, latestStart);
    plan.claimed += request.resources;
    plan.waiting.push_back({request, until});
    ++m_queued;
    return Queued{until};
}

AdmissionControl::Plan *AdmissionControl::heaviestWaiting()
{
    Plan *heaviest = nullptr;
    for (auto &[id, plan] : m_plans) {
        if (plan.waiting.empty()) {
            continue;
        }
        if (heaviest == nullptr || plan.claimForWeight() > heaviest->claimForWeight()) {
            heaviest = &plan;
        }
    }
    return heaviest;
}

AdmissionControl::Plans::value_type *AdmissionControl::lightestWaiting()
{
    Plans::value_type *lightest = nullptr;
    for (auto &entry : m_plans) {
        const Plan &plan = entry.second;
        if (plan.waiting.empty()) {
            continue;
        }
        if (lightest == nullptr || plan.runningForWeight() < lightest->second.runningForWeight()) {
            lightest = &entry;
        }
    }
    return lightest;
}

std::optional<Admitted> AdmissionControl::next()
{
    auto *plan = lightestWaiting();
    if (plan == nullptr) {
        return std::nullopt;
    }
    const AdmissionRequest request = plan->second.waiting.front().request;
    plan->second.waiting.pop_front();
    --m_queued;
    return start(*plan, request);
}

Admitted AdmissionControl::start(Plans::value_type &plan, const AdmissionRequest &request)
{
    ++plan.second.running;
    ++plan.second.admitted;
    plan.second.refusedShare -= RefusedShareGain * plan.second.refusedShare;
    return {request.request, plan.first, request.service, request.resources};
}

Refused AdmissionControl::refuse(Plan &plan, const AdmissionRequest &request, RefusalReason reason)
{
    ++plan.refused;
    plan.refusedShare += RefusedShareGain * (1 - plan.refusedShare);
    return {request.request, reason, retryAfter(plan)};
}

Refused AdmissionControl::refuseWaiting(Plan &plan, const AdmissionRequest &request)
{
    plan.claimed -= request.resources;
    --m_queued;
    if (plan.rate) {
        plan.rate->putBack();
    }
    return refuse(plan, request, RefusalReason::Overload);
}

Duration AdmissionControl::retryAfter(const Plan &plan) const
{
    const double share = std::min(plan.refusedShare, MaxRefusedShare);
    const double us = double(m_settings.minRetryAfter.count()) / (1 - share);
    return std::min(Duration(Duration::rep(us)), m_settings.maxRetryAfter);
}

std::vector<Refused> AdmissionControl::expire(TimePoint now)
{
    std::vector<Refused> refused;
    for (auto &[id, plan] : m_plans) {
        std::deque<Waiting> kept;
        for (const Waiting &it : plan.waiting) {
            if (now < it.until) {
                kept.push_back(it);
                continue;
            }
            refused.push_back(refuseWaiting(plan, it.request));
        }
        if (kept.size() != plan.waiting.size()) {
            plan.waiting = std::move(kept);
        }
    }
    return refused;
}

std::optional<TimePoint> AdmissionControl::nextExpiry() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, plan] : m_plans) {
        for (const Waiting &it : plan.waiting) {
            if (!earliest || it.until < *earliest) {
                earliest = it.until;
            }
        }
    }
    return earliest;
}

bool AdmissionControl::cancel(const CustomerId &customer, const RequestId &request)
{
    auto *plan = findPlan(customer);
    if (plan == nullptr) {
        return false;
    }
    auto &waiting = plan->second.waiting;
    const auto it = std::find_if(waiting.begin(), waiting.end(), [&](const Waiting &candidate) {
        return candidate.request.request == request;
    });
    if (it == waiting.end()) {
        return false;
    }
    plan->second.claimed -= it->request.resources;
    waiting.erase(it);
    --m_queued;
    return true;
}

void AdmissionControl::finish(const Admitted &admitted, std::optional<Duration> latency)
{
    Plan &plan = m_plans.at(admitted.plan);
    FIREFLY_ASSERT(plan.running > 0, "a request ended that was not running");
    --plan.running;
    plan.claimed -= admitted.resources;
    if (!latency) {
        return;
    }
    const ServiceTimeEstimate initial(m_settings.initialServiceTime);
    m_serviceTimes.try_emplace(admitted.service, initial).first->second.record(*latency);
}

bool AdmissionControl::takeForJob(const CustomerId &customer, const Resources &resources)
{
    auto *plan = findPlan(customer);
    if (plan == nullptr || !(plan->second.claimed + resources).fitsIn(sharedLimit(plan->second))) {
        return false;
    }
    plan->second.claimed += resources;
    return true;
}

void AdmissionControl::releaseForJob(const PlanId &plan, const Resources &resources)
{
    m_plans.at(plan).claimed -= resources;
}

nlohmann::json AdmissionControl::dump() const
{
    nlohmann::json plans = nlohmann::json::object();
    for (const auto &[id, plan] : m_plans) {
        plans[id.value()] = {{"listed", plan.listed},
                             {"weight", plan.limits.weight},
                             {"running", plan.running},
                             {"waiting", plan.waiting.size()},
                             {"admitted", plan.admitted},
                             {"refused", plan.refused},
                             {"retryAfterUs", retryAfter(plan).count()}};
    }
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[id, time] : m_serviceTimes) {
        services[id.value()] = {{"meanUs", time.mean().count()},
                                {"deviationUs", time.deviation().count()}};
    }
    return {{"queued", m_queued}, {"share", m_share}, {"plans", plans}, {"services", services}};
}

} // namespace firefly
