#include "Admission/AdmissionControl.h"

#include "Core/Assert.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace firefly {
namespace {

/// Weight of one request in a plan's moving average of refused requests.
constexpr double RefusedShareGain = 0.05;
/// Bounds the divisor (1 - share) of the retry delay away from zero.
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
            continue; // applyLimits() would refill the token bucket.
        }
        plan.limits = planLimits;
        applyLimits(plan, now);
    }
}

void AdmissionControl::setLimitShare(double share, TimePoint now)
{
    FIREFLY_ASSERT(share > 0 && share <= 1, "the share of the plan limits must be in (0, 1]");
    m_share = share;
    for (auto &[id, plan] : m_plans) {
        applyLimits(plan, now);
    }
}

void AdmissionControl::applyLimits(Plan &plan, TimePoint now)
{
    plan.rateLimiter.reset();
    if (plan.limits.urgentPerSecond == 0) {
        return;
    }
    const double perSecond = m_share * double(plan.limits.urgentPerSecond);
    plan.rateLimiter.emplace(perSecond, std::max(1.0, perSecond * m_settings.rateBurstSeconds),
                             now);
}

Resources AdmissionControl::scaledLimit(const Plan &plan) const
{
    const auto scaled = [this](std::int64_t amount) {
        return std::int64_t(std::ceil(m_share * double(amount)));
    };
    const Resources &limit = plan.limits.resources;
    return {scaled(limit.milliProcessors), scaled(limit.memoryMiB), scaled(limit.accelerators),
            scaled(limit.slots)};
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

Admission AdmissionControl::admit(const AdmissionRequest &request, const UrgentCapacity &capacity,
                                  TimePoint now, std::vector<Refused> &displaced)
{
    auto *plan = findPlan(request.customer);
    if (plan == nullptr) {
        return Refused{request.request, RefusalReason::UnknownCustomer, m_settings.maxRetryAfter};
    }
    if (auto refused = checkDeadlineAndLimits(plan->second, request, now)) {
        return *refused;
    }
    if (capacity.free > std::int64_t(m_queued)) {
        plan->second.reserved += request.resources;
        return markAdmitted(*plan, request);
    }
    return enqueue(plan->second, request, now, displaced);
}

std::optional<Refused>
AdmissionControl::checkDeadlineAndLimits(Plan &plan, const AdmissionRequest &request, TimePoint now)
{
    if (now + expectedServiceTime(request.service) > request.deadline) {
        return refuse(plan, request, RefusalReason::DeadlineTooClose);
    }
    if (!(plan.reserved + request.resources).fitsIn(scaledLimit(plan))) {
        return refuse(plan, request, RefusalReason::PlanResources);
    }
    if (plan.rateLimiter && !plan.rateLimiter->tryConsume(now)) {
        Refused refused = refuse(plan, request, RefusalReason::PlanRate);
        refused.retryAfter = std::max(refused.retryAfter, plan.rateLimiter->timeUntilNext(now));
        return refused;
    }
    return std::nullopt;
}

Duration AdmissionControl::expectedServiceTime(const ServiceId &service) const
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
        Plan *mostLoaded = mostLoadedWaitingPlan();
        if (mostLoaded == nullptr || plan.demandPerWeight(1) >= mostLoaded->demandPerWeight()) {
            if (plan.rateLimiter) {
                plan.rateLimiter->refund();
            }
            return refuse(plan, request, RefusalReason::Overload);
        }
        const AdmissionRequest newest = mostLoaded->waiting.back().request;
        mostLoaded->waiting.pop_back();
        displaced.push_back(refuseWaiting(*mostLoaded, newest));
    }
    const TimePoint latestStart = request.deadline - expectedServiceTime(request.service);
    const TimePoint expiresAt = std::min(now + m_settings.maxWait, latestStart);
    plan.reserved += request.resources;
    plan.waiting.push_back({request, expiresAt});
    ++m_queued;
    return Queued{expiresAt};
}

AdmissionControl::Plan *AdmissionControl::mostLoadedWaitingPlan()
{
    Plan *mostLoaded = nullptr;
    for (auto &[id, plan] : m_plans) {
        if (plan.waiting.empty()) {
            continue;
        }
        if (mostLoaded == nullptr || plan.demandPerWeight() > mostLoaded->demandPerWeight()) {
            mostLoaded = &plan;
        }
    }
    return mostLoaded;
}

AdmissionControl::Plans::value_type *AdmissionControl::leastLoadedWaitingPlan()
{
    Plans::value_type *leastLoaded = nullptr;
    for (auto &entry : m_plans) {
        const Plan &plan = entry.second;
        if (plan.waiting.empty()) {
            continue;
        }
        if (leastLoaded == nullptr
            || plan.runningPerWeight() < leastLoaded->second.runningPerWeight()) {
            leastLoaded = &entry;
        }
    }
    return leastLoaded;
}

std::optional<Admitted> AdmissionControl::admitNext()
{
    auto *plan = leastLoadedWaitingPlan();
    if (plan == nullptr) {
        return std::nullopt;
    }
    const AdmissionRequest request = plan->second.waiting.front().request;
    plan->second.waiting.pop_front();
    --m_queued;
    return markAdmitted(*plan, request);
}

Admitted AdmissionControl::markAdmitted(Plans::value_type &plan, const AdmissionRequest &request)
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
    plan.reserved -= request.resources;
    --m_queued;
    if (plan.rateLimiter) {
        plan.rateLimiter->refund();
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
        std::deque<Waiting> remaining;
        for (const Waiting &it : plan.waiting) {
            if (now < it.expiresAt) {
                remaining.push_back(it);
                continue;
            }
            refused.push_back(refuseWaiting(plan, it.request));
        }
        if (remaining.size() != plan.waiting.size()) {
            plan.waiting = std::move(remaining);
        }
    }
    return refused;
}

std::optional<TimePoint> AdmissionControl::nextExpiry() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, plan] : m_plans) {
        for (const Waiting &it : plan.waiting) {
            if (!earliest || it.expiresAt < *earliest) {
                earliest = it.expiresAt;
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
    plan->second.reserved -= it->request.resources;
    waiting.erase(it);
    --m_queued;
    return true;
}

void AdmissionControl::finish(const Admitted &admitted, std::optional<Duration> latency)
{
    Plan &plan = m_plans.at(admitted.plan);
    FIREFLY_ASSERT(plan.running > 0, "finish() was called for a plan that has no running request");
    --plan.running;
    plan.reserved -= admitted.resources;
    if (!latency) {
        return;
    }
    const ServiceTimeEstimate initial(m_settings.initialServiceTime);
    m_serviceTimes.try_emplace(admitted.service, initial).first->second.record(*latency);
}

bool AdmissionControl::reserveForJob(const CustomerId &customer, const Resources &resources)
{
    auto *plan = findPlan(customer);
    if (plan == nullptr || !(plan->second.reserved + resources).fitsIn(scaledLimit(plan->second))) {
        return false;
    }
    plan->second.reserved += resources;
    return true;
}

void AdmissionControl::releaseForJob(const PlanId &plan, const Resources &resources)
{
    m_plans.at(plan).reserved -= resources;
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
