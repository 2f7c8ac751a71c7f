#include "CallDriver.h"

#include <charconv>
#include <memory>
#include <utility>

namespace firefly::load {
namespace {

constexpr Duration ReplyMargin = std::chrono::seconds(2);
constexpr Duration RetryDelay = std::chrono::milliseconds(100);
constexpr int StatusUnavailable = 503;

/// Time after which a not-run reply asks to retry; a default if it states none.
Duration retryAfter(const HttpResult &result)
{
    std::int64_t number = 0;
    const auto parse = [&number](std::string_view text) {
        return std::from_chars(text.data(), text.data() + text.size(), number).ec == std::errc();
    };
    if (parse(result.header("firefly-retry-after-ms"))) {
        return std::chrono::milliseconds(number);
    }
    return parse(result.header("retry-after")) ? Duration(std::chrono::seconds(number))
                                               : RetryDelay;
}

} // namespace

CallDriver::CallDriver(asio::io_context &context, CurlLoop &loop, const LoadOptions &options)
    : m_context(context)
    , m_loop(loop)
    , m_options(options)
    , m_rateTimer(context)
{
    for (PlannedCall &call : planCalls(options)) {
        m_traces.push_back({std::move(call), {}, {}});
    }
}

void CallDriver::start()
{
    m_startedAt = Clock::now();
    sendDueCalls();
}

void CallDriver::sendDueCalls()
{
    while (m_nextIndex < m_traces.size() && m_inFlight < m_options.concurrency) {
        const double dueUs = static_cast<double>(m_nextIndex) * 1e6 / m_options.callsPerSecond;
        const Duration wait =
            m_startedAt + Duration(static_cast<std::int64_t>(dueUs)) - Clock::now();
        if (wait > Duration::zero()) {
            m_rateTimer.expires_after(wait);
            m_rateTimer.async_wait([this](asio::error_code ec) {
                if (!ec) {
                    sendDueCalls();
                }
            });
            return;
        }
        ++m_inFlight;
        send(m_nextIndex++);
    }
}

void CallDriver::send(std::size_t index)
{
    CallTrace &trace = m_traces[index];
    const std::size_t entry = (index + trace.attempts.size()) % m_options.entries.size();
    CallAttempt attempt;
    attempt.sentAt = Clock::now();
    trace.attempts.push_back(attempt);
    const auto deadlineMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_options.deadline).count();
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url =
        baseUrl(m_options.entries[entry]) + "/v1/services/" + trace.call.service + "/calls";
    exchange.headers = {{"Content-Type", "application/json"},
                        {"Firefly-Customer", trace.call.customer},
                        {"Firefly-Deadline-Ms", std::to_string(deadlineMs)}};
    if (!trace.call.key.empty()) {
        exchange.headers.push_back({"Idempotency-Key", trace.call.key});
    }
    exchange.body = trace.call.body;
    exchange.timeout = m_options.deadline + ReplyMargin;
    m_loop.start(std::move(exchange),
                 [this, index](HttpResult result) { onReply(index, std::move(result)); });
}

void CallDriver::onReply(std::size_t index, HttpResult result)
{
    CallTrace &trace = m_traces[index];
    CallAttempt &attempt = trace.attempts.back();
    const std::string_view outcome = result.header("firefly-outcome");
    attempt.doneAt = Clock::now();
    attempt.outcome = result.isComplete() && !outcome.empty() ? std::string(outcome) : "none";
    attempt.wasSent = result.state != ExchangeState::NotSent;
    attempt.status = result.statusCode;
    const bool isLast = trace.attempts.size() >= m_options.maxAttempts;
    if (!isLast && attempt.outcome == "not-run" && attempt.status == StatusUnavailable) {
        retry(index, retryAfter(result));
        return;
    }
    if (!isLast && attempt.outcome == "none") {
        retry(index, RetryDelay);
        return;
    }
    attempt.body = std::move(result.body);
    trace.outcome = attempt.outcome;
    completeCall();
}

void CallDriver::retry(std::size_t index, Duration after)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, after);
    timer->async_wait([this, timer, index](asio::error_code ec) {
        if (!ec) {
            send(index);
        }
    });
}

void CallDriver::completeCall()
{
    --m_inFlight;
    ++m_finished;
    sendDueCalls();
}

} // namespace firefly::load
