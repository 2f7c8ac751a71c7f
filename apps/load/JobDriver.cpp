#include "JobDriver.h"

#include "Adapters/PercentEncoding.h"
#include "Records/Codec.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace firefly::load {
namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(250);
constexpr Duration RetryDelay = std::chrono::milliseconds(500);
constexpr Duration ReplyTimeout = std::chrono::seconds(10);
constexpr int StatusAccepted = 202;

std::string jobUrl(const Endpoint &entry, const std::string &job)
{
    return baseUrl(entry) + "/v1/jobs/" + percentEncode(job);
}

std::string encodeSubmission(const PlannedJob &job)
{
    return nlohmann::json{
        {"customer", job.customer},   {"kind", job.kind},           {"key", job.key},
        {"resources", job.resources}, {"runtimeMs", job.runtimeMs}, {"payload", ""}}
        .dump();
}

/// Parses the JSON object of a successful reply; returns an empty object for any other.
nlohmann::json parseObject(const HttpResult &result)
{
    auto json = nlohmann::json::parse(result.isSuccess() ? result.body : "{}", nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

bool isFinal(const std::string &state)
{
    return state == "finished" || state == "failed" || state == "cancelled";
}

} // namespace

JobDriver::JobDriver(asio::io_context &context, CurlLoop &loop, const LoadOptions &options)
    : m_context(context)
    , m_loop(loop)
    , m_options(options)
{
    for (PlannedJob &job : planJobs(options)) {
        JobTrace trace;
        trace.job = std::move(job);
        m_traces.push_back(std::move(trace));
    }
}

void JobDriver::start()
{
    m_deadline = Clock::now() + m_options.jobWait;
    for (std::size_t n = 0; n < m_traces.size(); ++n) {
        const double dueUs = static_cast<double>(n) * 1e6 / m_options.jobsPerSecond;
        scheduleStep(Duration(static_cast<std::int64_t>(dueUs)), n, &JobDriver::submit);
    }
}

const Endpoint &JobDriver::nextEntry()
{
    return m_options.entries[m_nextEntryIndex++ % m_options.entries.size()];
}

void JobDriver::scheduleStep(Duration delay, std::size_t index, Step step)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, index, step](asio::error_code ec) {
        if (!ec) {
            (this->*step)(index);
        }
    });
}

void JobDriver::submit(std::size_t index)
{
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url = baseUrl(nextEntry()) + "/v1/jobs";
    exchange.headers = {{"Content-Type", "application/json"}};
    exchange.body = encodeSubmission(m_traces[index].job);
    exchange.timeout = ReplyTimeout;
    m_loop.start(std::move(exchange),
                 [this, index](const HttpResult &result) { onSubmitted(index, result); });
}

void JobDriver::onSubmitted(std::size_t index, const HttpResult &result)
{
    JobTrace &trace = m_traces[index];
    if (result.isComplete() && result.statusCode == StatusAccepted) {
        trace.id = parseObject(result).value("job", "");
        scheduleStep(PollInterval, index,
                     trace.job.isCancelled ? &JobDriver::cancel : &JobDriver::poll);
        return;
    }
    const bool isRejected =
        result.isComplete() && result.statusCode >= 400 && result.statusCode < 500;
    if (isRejected || Clock::now() > m_deadline) {
        completeJob(index,
                    "not accepted: " + std::to_string(result.statusCode) + " " + result.body);
        return;
    }
    scheduleStep(RetryDelay, index, &JobDriver::submit);
}

void JobDriver::cancel(std::size_t index)
{
    HttpExchange exchange;
    exchange.method = "DELETE";
    exchange.url = jobUrl(nextEntry(), m_traces[index].id);
    exchange.timeout = ReplyTimeout;
    m_loop.start(std::move(exchange), [this, index](const HttpResult &result) {
        scheduleStep(RetryDelay, index, result.isSuccess() ? &JobDriver::poll : &JobDriver::cancel);
    });
}

void JobDriver::poll(std::size_t index)
{
    HttpExchange exchange;
    exchange.url = jobUrl(nextEntry(), m_traces[index].id);
    exchange.timeout = ReplyTimeout;
    m_loop.start(std::move(exchange),
                 [this, index](const HttpResult &result) { onStatus(index, result); });
}

void JobDriver::onStatus(std::size_t index, const HttpResult &result)
{
    JobTrace &trace = m_traces[index];
    const auto json = parseObject(result);
    trace.state = json.value("state", trace.state);
    trace.evictions = json.value("evictions", trace.evictions);
    if (trace.state == "finished") {
        fetchResult(index);
    } else if (isFinal(trace.state)) {
        completeJob(index, {});
    } else if (Clock::now() > m_deadline) {
        completeJob(index, "not finished in time");
    } else {
        scheduleStep(PollInterval, index, &JobDriver::poll);
    }
}

void JobDriver::fetchResult(std::size_t index)
{
    HttpExchange exchange;
    exchange.url = jobUrl(nextEntry(), m_traces[index].id) + "/result";
    exchange.timeout = ReplyTimeout;
    m_loop.start(std::move(exchange), [this, index](const HttpResult &result) {
        if (!result.isSuccess() && Clock::now() <= m_deadline) {
            scheduleStep(RetryDelay, index, &JobDriver::fetchResult);
            return;
        }
        m_traces[index].hasResult = result.isSuccess();
        m_traces[index].result = parseObject(result).value("result", "");
        completeJob(index, result.isSuccess() ? "" : "result not fetched");
    });
}

void JobDriver::completeJob(std::size_t index, const std::string &error)
{
    m_traces[index].error = error;
    ++m_finished;
}

} // namespace firefly::load
