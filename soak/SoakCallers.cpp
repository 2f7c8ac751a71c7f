#include "SoakCallers.h"

#include "platform/standins/PartnerWire.h"

#include <algorithm>
#include <utility>

namespace firefly::soak {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration CallTimeout = std::chrono::milliseconds(4000);
constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr Duration RetryPause = std::chrono::milliseconds(400);
/// A client gives a job up after so many rejections.
constexpr int MostAttempts = 40;
constexpr Duration ShortestGap = std::chrono::milliseconds(150);
constexpr Duration LongestGap = std::chrono::milliseconds(1000);
constexpr double LastingShare = 0.08;
constexpr double CanceledShare = 0.15;
constexpr Duration LongestBeforeCancel = std::chrono::milliseconds(6000);
/// An accepted job is visible everywhere after this (`visible_ms` of the sites).
constexpr Duration VisibleAfter = std::chrono::milliseconds(3000);
/// After a cancel, tasks may run on for `cancel_ms`, the longest lease of a lost owner's worker,
/// and `stop_timeout_ms`, by the sites' bounds.
constexpr Duration GoneAfterCancel = std::chrono::milliseconds(3000 + 6000 + 200);

} // namespace

SoakCallers::SoakCallers(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed)
    : m_context(context)
    , m_fleet(fleet)
    , m_random(seed)
    , m_curl(context)
    , m_timer(context)
{}

void SoakCallers::start()
{
    tick();
}

void SoakCallers::tick()
{
    const TimePoint now = Clock::now();
    if (m_isSubmitting && now >= m_nextJob) {
        submitNew(now);
    }
    for (auto &[id, order] : m_orders) {
        if (!order->isAsking && now >= order->nextAt) {
            act(*order, now);
        }
    }
    checkCanceled(now);
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void SoakCallers::submitNew(TimePoint now)
{
    constexpr std::size_t IdDigits = 16;
    std::uniform_int_distribution<Duration::rep> gap(ShortestGap.count(), LongestGap.count());
    m_nextJob = now + Duration(gap(m_random));
    auto order = std::make_unique<Order>();
    std::string digits = std::to_string(m_orders.size() + 1);
    digits.insert(0, IdDigits - digits.size(), '0');
    order->id = JobId(digits);
    order->spec = drawJob();
    if (std::bernoulli_distribution(CanceledShare)(m_random)) {
        std::uniform_int_distribution<Duration::rep> wait(0, LongestBeforeCancel.count());
        order->cancelAt = now + Duration(wait(m_random));
    }
    m_fleet.audit.specs[digits] = order->spec;
    m_orders[digits] = std::move(order);
}

JobSpec SoakCallers::drawJob()
{
    const auto draw = [this](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    };
    JobSpec spec;
    spec.payload = "work";
    spec.policy.maxAttempts = 4;
    const bool isLasting = std::bernoulli_distribution(LastingShare)(m_random);
    const std::int64_t steps = isLasting ? 1 : draw(1, 3);
    for (std::int64_t i = 0; i < steps; ++i) {
        StepSpec step;
        step.taskCount = static_cast<std::uint32_t>(draw(1, isLasting ? 2 : 5));
        step.demand = {isLasting ? 300 : draw(500, 3000), draw(100, 4000), 0};
        step.estimateMs = 1300;
        step.isLongRunning = isLasting;
        step.isCheckpointing = draw(0, 1) == 0;
        step.maxPerWorker = draw(0, 3) == 0 ? 2 : 0;
        if (i > 0) {
            step.after = {static_cast<std::uint32_t>(i - 1)};
        }
        spec.steps.push_back(step);
    }
    return spec;
}

void SoakCallers::act(Order &order, TimePoint now)
{
    const bool isOver = order.shown && isFinal(*order.shown);
    if (!order.isAccepted && !order.isRejected) {
        submit(order);
    } else if (order.isAccepted && !isOver) {
        const bool wantsCancel = order.cancelAt != TimePoint{} && now >= order.cancelAt
                                 && order.canceledAt == TimePoint{};
        if (wantsCancel) {
            cancel(order);
        } else {
            query(order);
        }
    }
}

void SoakCallers::send(Order &order, const char *method, std::string body,
                       std::function<void(const HttpResult &)> take)
{
    const std::size_t n =
        std::uniform_int_distribution<std::size_t>(0, m_fleet.nodes.size() - 1)(m_random);
    HttpExchange exchange;
    exchange.method = method;
    exchange.url =
        baseUrl(m_fleet.nodes[n].callersEndpoint) + SoakFleet::PathPrefix + order.id.value();
    exchange.headers = {{"Host", SoakFleet::Host}, {"Content-Type", "application/json"}};
    exchange.body = std::move(body);
    exchange.timeout = CallTimeout;
    order.isAsking = true;
    m_curl.start(std::move(exchange), [&order, take = std::move(take)](const HttpResult &result) {
        order.isAsking = false;
        order.nextAt = Clock::now() + RetryPause;
        take(result);
    });
}

void SoakCallers::submit(Order &order)
{
    ++order.attempts;
    send(order, "POST", platform::encodeJob(order.spec), [this, &order](const HttpResult &result) {
        if (result.isSuccess()) {
            order.isAccepted = true;
            order.acceptedAt = Clock::now();
            return;
        }
        const bool isRejection =
            result.isWhole()
            && (result.statusCode == 503 || result.statusCode == 429 || result.statusCode == 404);
        order.isUncertain =
            order.isUncertain || (!isRejection && result.state != ExchangeState::NotSent);
        if (result.isWhole() && result.statusCode == 400) {
            violate("a valid job was called malformed", order);
        }
        if (order.attempts >= MostAttempts && !order.isUncertain) {
            order.isRejected = true;
        }
    });
}

void SoakCallers::query(Order &order)
{
    send(order, "GET", {}, [this, &order](const HttpResult &result) {
        order.nextAt = Clock::now() + PollInterval;
        takeState(order, result);
    });
}

void SoakCallers::takeState(Order &order, const HttpResult &result)
{
    if (!result.isWhole()) {
        return;
    }
    const bool isVisible = Clock::now() - CallTimeout > order.acceptedAt + VisibleAfter;
    if (result.statusCode == 410 && order.canceledAt == TimePoint{} && isVisible) {
        violate("an accepted job is unknown", order);
    }
    if (result.statusCode != 200) {
        return;
    }
    order.shown = platform::decodeState(result.body);
    if (!order.shown) {
        violate("a state that can't be read", order);
        return;
    }
    checkShown(order);
}

void SoakCallers::checkShown(const Order &order)
{
    const CellAudit &audit = m_fleet.audit;
    if (*order.shown == JobState::Canceled && order.cancelAt == TimePoint{}) {
        violate("shown as canceled without a cancel", order);
    }
    for (std::uint32_t s = 0; s < order.spec.steps.size(); ++s) {
        for (std::uint32_t i = 0; i < order.spec.steps[s].taskCount; ++i) {
            const TaskName task{order.id, 0, s, i};
            if (*order.shown == JobState::Completed && !audit.everDone.contains(task)) {
                violate("shown as completed while a task isn't done", order);
            }
        }
    }
    const bool hasFailed = std::ranges::any_of(audit.failed, [&order](const auto &it) {
        return it.first.job == order.id && it.second.size() >= order.spec.policy.maxAttempts;
    });
    if (*order.shown == JobState::Failed && !hasFailed) {
        violate("shown as failed without cause", order);
    }
}

void SoakCallers::cancel(Order &order)
{
    send(order, "DELETE", {}, [&order](const HttpResult &result) {
        if (result.isWhole() && (result.isSuccess() || result.statusCode == 410)) {
            order.canceledAt = Clock::now();
        }
    });
}

void SoakCallers::checkCanceled(TimePoint now)
{
    for (const auto &[id, order] : m_orders) {
        if (order->canceledAt == TimePoint{} || now - order->canceledAt < GoneAfterCancel) {
            continue;
        }
        const bool isRunning =
            std::ranges::any_of(m_fleet.audit.runningOn, [&job = order->id](const auto &it) {
                return it.first.job == job && !it.second.empty();
            });
        if (isRunning) {
            violate("runs on after its cancel", *order);
            order->canceledAt = now;
        }
    }
}

bool SoakCallers::isOwed(const Order &order) const
{
    const bool isLasting = order.spec.steps.front().isLongRunning;
    if (order.isRejected) {
        return false;
    }
    if (!order.isAccepted || (order.cancelAt != TimePoint{} && order.canceledAt == TimePoint{})) {
        return !(order.shown && isFinal(*order.shown));
    }
    if (isLasting && order.cancelAt == TimePoint{}) {
        for (std::uint32_t i = 0; i < order.spec.steps.front().taskCount; ++i) {
            const auto it = m_fleet.audit.runningOn.find({order.id, 0, 0, i});
            if (it == m_fleet.audit.runningOn.end() || it->second.empty()) {
                return true;
            }
        }
        return false;
    }
    return !order.shown || !isFinal(*order.shown);
}

bool SoakCallers::isSettled() const
{
    return std::ranges::none_of(m_orders, [this](const auto &it) { return isOwed(*it.second); });
}

void SoakCallers::checkPromises()
{
    for (const auto &[id, order] : m_orders) {
        if (isOwed(*order)) {
            violate(order->isAccepted ? "accepted and not finished" : "no final answer", *order);
        }
        if (order->isRejected && m_fleet.audit.everStarted.contains(id)) {
            violate("rejected and yet started", *order);
        }
    }
}

void SoakCallers::violate(const std::string &what, const Order &order)
{
    m_fleet.audit.violations.push_back(what + ": " + order.id.value());
}

std::string SoakCallers::summary() const
{
    std::map<std::string, int> counts;
    for (const auto &[id, order] : m_orders) {
        ++counts[order->isAccepted ? "accepted" : order->isRejected ? "rejected" : "open"];
        if (order->shown) {
            ++counts[platform::encodeState(*order->shown)];
        }
    }
    std::string text = "jobs " + std::to_string(m_orders.size());
    for (const auto &[name, count] : counts) {
        text += ", " + name + " " + std::to_string(count);
    }
    return text;
}

} // namespace firefly::soak
