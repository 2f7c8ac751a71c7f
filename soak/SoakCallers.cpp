#include "SoakCallers.h"

#include "platform/standins/PartnerWire.h"

#include <algorithm>
#include <utility>

namespace firefly::soak {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration CallTimeout = std::chrono::milliseconds(4000);
constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr Duration RetryDelay = std::chrono::milliseconds(400);
/// Submissions after which a client gives up a job that was rejected each time.
constexpr int MaxAttempts = 40;
constexpr Duration MinSubmitInterval = std::chrono::milliseconds(150);
constexpr Duration MaxSubmitInterval = std::chrono::milliseconds(1000);
constexpr double LongRunningShare = 0.08;
/// Share of the jobs with one step of many short tasks, up to MaxTasksPerWorker for each worker.
constexpr double WideShare = 0.25;
constexpr std::int64_t MaxTasksPerWorker = 2;
constexpr double CancelShare = 0.15;
constexpr Duration MaxCancelDelay = std::chrono::milliseconds(6000);
/// Time until an accepted job is visible at all processes (`visible_ms` of the sites).
constexpr Duration VisibilityDelay = std::chrono::milliseconds(3000);
/// Longest time that tasks may keep running after a cancel: `cancel_ms`, the longest lease of a
/// worker whose owner was lost, and `stop_timeout_ms`, as bounded by the sites.
constexpr Duration CancelStopTimeout = std::chrono::milliseconds(3000 + 6000 + 200);

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
    if (m_isSubmitting && now >= m_nextSubmitAt) {
        submitNewJob(now);
    }
    for (auto &[id, job] : m_jobs) {
        if (!job->isRequestPending && now >= job->nextRequestAt) {
            sendNextRequest(*job, now);
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

void SoakCallers::submitNewJob(TimePoint now)
{
    constexpr std::size_t IdDigits = 16;
    std::uniform_int_distribution<Duration::rep> gap(MinSubmitInterval.count(),
                                                     MaxSubmitInterval.count());
    m_nextSubmitAt = now + Duration(gap(m_random));
    auto job = std::make_unique<ClientJob>();
    std::string digits = std::to_string(m_jobs.size() + 1);
    digits.insert(0, IdDigits - digits.size(), '0');
    job->id = JobId(digits);
    job->spec = drawJob();
    if (std::bernoulli_distribution(CancelShare)(m_random)) {
        std::uniform_int_distribution<Duration::rep> wait(0, MaxCancelDelay.count());
        job->plannedCancelAt = now + Duration(wait(m_random));
    }
    m_fleet.audit.specs[digits] = job->spec;
    m_jobs[digits] = std::move(job);
}

JobSpec SoakCallers::drawJob()
{
    const auto draw = [this](std::int64_t min, std::int64_t max) {
        return std::uniform_int_distribution<std::int64_t>(min, max)(m_random);
    };
    JobSpec spec;
    spec.payload = "work";
    spec.policy.maxAttempts = 4;
    if (std::bernoulli_distribution(WideShare)(m_random)) {
        const auto workers = static_cast<std::int64_t>(m_fleet.workers.size());
        StepSpec step;
        step.taskCount = static_cast<std::uint32_t>(draw(workers / 2, MaxTasksPerWorker * workers));
        step.demand = {draw(200, 800), draw(100, 1000), 0};
        step.estimateMs = 1300;
        spec.steps.push_back(step);
        return spec;
    }
    const bool isLongRunning = std::bernoulli_distribution(LongRunningShare)(m_random);
    const std::int64_t steps = isLongRunning ? 1 : draw(1, 3);
    for (std::int64_t i = 0; i < steps; ++i) {
        StepSpec step;
        step.taskCount = static_cast<std::uint32_t>(draw(1, isLongRunning ? 2 : 5));
        step.demand = {isLongRunning ? 300 : draw(500, 3000), draw(100, 4000), 0};
        step.estimateMs = 1300;
        step.isLongRunning = isLongRunning;
        step.isCheckpointing = draw(0, 1) == 0;
        step.maxPerWorker = draw(0, 3) == 0 ? 2 : 0;
        if (i > 0) {
            step.after = {static_cast<std::uint32_t>(i - 1)};
        }
        spec.steps.push_back(step);
    }
    return spec;
}

void SoakCallers::sendNextRequest(ClientJob &job, TimePoint now)
{
    const bool isFinished = job.reportedState && isFinal(*job.reportedState);
    if (!job.isAccepted && !job.isRejected) {
        submit(job);
    } else if (job.isAccepted && !isFinished) {
        const bool wantsCancel = job.plannedCancelAt != TimePoint{} && now >= job.plannedCancelAt
                                 && job.canceledAt == TimePoint{};
        if (wantsCancel) {
            cancel(job);
        } else {
            query(job);
        }
    }
}

void SoakCallers::send(ClientJob &job, const char *method, std::string body,
                       std::function<void(const HttpResult &)> onResult)
{
    const std::size_t n =
        std::uniform_int_distribution<std::size_t>(0, m_fleet.nodes.size() - 1)(m_random);
    HttpExchange exchange;
    exchange.method = method;
    exchange.url =
        baseUrl(m_fleet.nodes[n].callersEndpoint) + SoakFleet::PathPrefix + job.id.value();
    exchange.headers = {{"Host", SoakFleet::Host}, {"Content-Type", "application/json"}};
    exchange.body = std::move(body);
    exchange.timeout = CallTimeout;
    job.isRequestPending = true;
    m_curl.start(std::move(exchange),
                 [&job, onResult = std::move(onResult)](const HttpResult &result) {
                     job.isRequestPending = false;
                     job.nextRequestAt = Clock::now() + RetryDelay;
                     onResult(result);
                 });
}

void SoakCallers::submit(ClientJob &job)
{
    ++job.attempts;
    send(job, "POST", platform::encodeJob(job.spec), [this, &job](const HttpResult &result) {
        if (result.isSuccess()) {
            job.isAccepted = true;
            job.acceptedAt = Clock::now();
            return;
        }
        const bool isRejection =
            result.isComplete()
            && (result.statusCode == 503 || result.statusCode == 429 || result.statusCode == 404);
        job.isUncertain =
            job.isUncertain || (!isRejection && result.state != ExchangeState::NotSent);
        if (result.isComplete() && result.statusCode == 400) {
            addViolation("valid job rejected as malformed", job);
        }
        if (job.attempts >= MaxAttempts && !job.isUncertain) {
            job.isRejected = true;
        }
    });
}

void SoakCallers::query(ClientJob &job)
{
    send(job, "GET", {}, [this, &job](const HttpResult &result) {
        job.nextRequestAt = Clock::now() + PollInterval;
        onStatus(job, result);
    });
}

void SoakCallers::onStatus(ClientJob &job, const HttpResult &result)
{
    if (!result.isComplete()) {
        return;
    }
    const bool isVisible = Clock::now() - CallTimeout > job.acceptedAt + VisibilityDelay;
    if (result.statusCode == 410 && job.canceledAt == TimePoint{} && isVisible) {
        addViolation("accepted job reported as unknown", job);
    }
    if (result.statusCode != 200) {
        return;
    }
    job.reportedState = platform::decodeState(result.body);
    if (!job.reportedState) {
        addViolation("unreadable job state", job);
        return;
    }
    checkReportedState(job);
}

void SoakCallers::checkReportedState(const ClientJob &job)
{
    const CellAudit &audit = m_fleet.audit;
    if (*job.reportedState == JobState::Canceled && job.plannedCancelAt == TimePoint{}) {
        addViolation("reported as canceled without a cancel request", job);
    }
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
        for (std::uint32_t i = 0; i < job.spec.steps[s].taskCount; ++i) {
            const TaskName task{job.id, 0, s, i};
            if (*job.reportedState == JobState::Completed && !audit.everDone.contains(task)) {
                addViolation("reported as completed before all tasks were done", job);
            }
        }
    }
    if (*job.reportedState == JobState::Failed && !audit.hasUsedUpAttempts(job.id)) {
        addViolation("reported as failed although no task used up its attempts", job);
    }
}

void SoakCallers::cancel(ClientJob &job)
{
    send(job, "DELETE", {}, [&job](const HttpResult &result) {
        if (result.isComplete() && (result.isSuccess() || result.statusCode == 410)) {
            job.canceledAt = Clock::now();
        }
    });
}

void SoakCallers::checkCanceled(TimePoint now)
{
    for (const auto &[id, job] : m_jobs) {
        if (job->canceledAt == TimePoint{} || now - job->canceledAt < CancelStopTimeout) {
            continue;
        }
        const bool isRunning =
            std::ranges::any_of(m_fleet.audit.runningOn, [&jobId = job->id](const auto &it) {
                return it.first.job == jobId && !it.second.empty();
            });
        if (isRunning) {
            addViolation("still running after its cancel", *job);
            job->canceledAt = now;
        }
    }
}

bool SoakCallers::isOutstanding(const ClientJob &job) const
{
    const bool isLongRunning = job.spec.steps.front().isLongRunning;
    if (job.isRejected) {
        return false;
    }
    if (!job.isAccepted || (job.plannedCancelAt != TimePoint{} && job.canceledAt == TimePoint{})) {
        return !(job.reportedState && isFinal(*job.reportedState));
    }
    if (isLongRunning && job.plannedCancelAt == TimePoint{}) {
        for (std::uint32_t i = 0; i < job.spec.steps.front().taskCount; ++i) {
            const auto it = m_fleet.audit.runningOn.find({job.id, 0, 0, i});
            if (it == m_fleet.audit.runningOn.end() || it->second.empty()) {
                return true;
            }
        }
        return false;
    }
    return !job.reportedState || !isFinal(*job.reportedState);
}

bool SoakCallers::isSettled() const
{
    return std::ranges::none_of(m_jobs,
                                [this](const auto &it) { return isOutstanding(*it.second); });
}

void SoakCallers::checkGuarantees()
{
    for (const auto &[id, job] : m_jobs) {
        if (isOutstanding(*job)) {
            addViolation(job->isAccepted ? "accepted but not finished" : "no final reply", *job);
        }
        if (job->isRejected && m_fleet.audit.everStarted.contains(id)) {
            addViolation("rejected but started", *job);
        }
    }
}

void SoakCallers::addViolation(const std::string &what, const ClientJob &job)
{
    m_fleet.audit.violations.push_back(what + ": " + job.id.value());
}

std::string SoakCallers::summary() const
{
    std::map<std::string, int> counts;
    for (const auto &[id, job] : m_jobs) {
        ++counts[job->isAccepted ? "accepted" : job->isRejected ? "rejected" : "open"];
        if (job->reportedState) {
            ++counts[platform::encodeState(*job->reportedState)];
        }
    }
    std::string text = "jobs " + std::to_string(m_jobs.size());
    for (const auto &[name, count] : counts) {
        text += ", " + name + " " + std::to_string(count);
    }
    return text;
}

} // namespace firefly::soak
