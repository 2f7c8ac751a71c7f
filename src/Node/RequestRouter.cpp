#include "Node/RequestRouter.h"

#include "Admission/RetryAdvice.h"
#include "Node/RequestOutcome.h"
#include "platform/CallerHttp.h"
#include "platform/Wire.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace firefly {
namespace {

/// Pause before the next attempt to reach an owner.
constexpr Duration RetryPause = std::chrono::milliseconds(60);
/// Timeout of one forwarded request; leaves time for another attempt when the owner stalls.
constexpr Duration ForwardTimeout = std::chrono::milliseconds(1200);
/// Part of the client's timeout reserved for the answer to arrive.
constexpr Duration AnswerMargin = std::chrono::milliseconds(150);
/// Least time left for a further attempt to start a request that has surely not run: one that is
/// cut short by the client's timeout would leave its outcome unknown.
constexpr Duration MinAttemptTime = std::chrono::milliseconds(150);
/// Retry-After told to clients before the job's cell is known.
constexpr Duration MinRetryAfter = std::chrono::seconds(1);

} // namespace

struct RequestRouter::Private : std::enable_shared_from_this<Private>
{
    /// A client's request until it is answered.
    struct Exchange
    {
        Exchange(asio::io_context &context, HttpServer::Respond respondIn)
            : respond(std::move(respondIn))
            , timer(context)
        {}

        ForwardedRequest request;
        std::string queue;
        HttpServer::Respond respond;
        TimePoint arrivedAt{};
        TimePoint deadline{};      ///< Latest time to send the final answer.
        TimePoint ownerDeadline{}; ///< The same while no owner is found.
        RequestOutcome outcome;
        bool isAsking = false;   ///< An attempt awaits its reply.
        std::optional<int> cell; ///< Cell to ask; empty until the layout is known.
        int cellsAsked = 0;      ///< Cells that don't know the job.
        int tries = 0;
        asio::basic_waitable_timer<Clock> timer;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    Private(asio::io_context &contextIn, const RouteTable &routesIn, CellSet &cellsIn,
            RequestForwarder &forwarderIn, EventLog &logIn, Metrics &metricsIn)
        : context(contextIn)
        , routes(routesIn)
        , cells(cellsIn)
        , forwarder(forwarderIn)
        , log(logIn)
        , metrics(metricsIn)
    {}

    void handle(HttpRequest request, HttpServer::Respond respond)
    {
        ++inFlight;
        const auto exchange = std::make_shared<Exchange>(context, std::move(respond));
        exchange->arrivedAt = Clock::now();
        open.insert(exchange);
        if (isStopping) {
            finish(exchange, {CallerOutcome::NotRun, JobState::Queued, 0, "stopping"});
            return;
        }
        if (!routes.isConfigured()) {
            finish(exchange, {CallerOutcome::NotRun, JobState::Queued, 0, "no configuration yet"});
            return;
        }
        const Route *route = routes.find(platform::hostHeader(request), request.path);
        if (!route) {
            finish(exchange, {CallerOutcome::NoSuchQueue, JobState::Queued, 0, "no such queue"});
            return;
        }
        const auto target = platform::parseTarget(
            request, std::string_view(request.path).substr(route->pathPrefix.size()));
        if (!target) {
            finish(exchange, {CallerOutcome::Malformed, JobState::Queued, 0, "no such call"});
            return;
        }
        exchange->queue = route->policy.queue.value();
        exchange->request.verb = target->verb;
        exchange->outcome = RequestOutcome(target->verb);
        exchange->request.job = target->job;
        exchange->request.body = std::move(request.body);
        exchange->request.policy = route->policy;
        const Duration clientTimeout =
            std::min(platform::clientTimeout(request).value_or(route->timeout), route->timeout);
        exchange->deadline =
            exchange->arrivedAt + std::max(clientTimeout - AnswerMargin, clientTimeout / 2);
        exchange->ownerDeadline = std::min(exchange->deadline, exchange->arrivedAt + MaxOwnerWait);
        if (target->verb == CallerVerb::CountPending) {
            countPending(exchange);
            return;
        }
        attempt(exchange);
    }

    void countPending(const ExchangePtr &exchange)
    {
        CallerReply reply;
        reply.outcome = CallerOutcome::Done;
        reply.pending = cells.pendingCount(exchange->queue);
        finish(exchange, reply);
    }

    void attempt(const ExchangePtr &exchange)
    {
        ++exchange->tries;
        const auto onReply = [weak = weak_from_this(), exchange](const CallerReply &reply) {
            if (const auto self = weak.lock()) {
                exchange->isAsking = false;
                self->handleReply(exchange, reply);
            }
        };
        CellHost *cell = nullptr;
        try {
            cell = findCell(exchange);
        } catch (const platform::WireError &e) {
            finish(exchange, {CallerOutcome::Malformed, JobState::Queued, 0, e.what()});
            return;
        }
        if (!cell) {
            handleReply(exchange, {CallerOutcome::NotRun, JobState::Queued, 0, "no layout yet"});
            return;
        }
        const Duration left = exchange->deadline - Clock::now();
        if (exchange->tries > 1 && exchange->outcome.hasCertainlyNotRun()
            && left < MinAttemptTime) {
            finish(exchange, {CallerOutcome::NotRun, JobState::Queued, 0, "no owner in time"});
            return;
        }
        if (cell->isServing()) {
            startAnswerTimer(exchange);
            exchange->isAsking = true;
            forwarder.answer(*cell, exchange->request, onReply);
            return;
        }
        const OwnershipClaim *claim = cells.claimOf(*exchange->cell);
        if (!claim || claim->holder.empty() || cell->election().isOwner()) {
            handleReply(exchange, {CallerOutcome::NotRun, JobState::Queued, 0, "no owner"});
            return;
        }
        exchange->isAsking = true;
        forwarder.forward(claim->endpoint, *exchange->cell, exchange->request,
                          std::clamp<Duration>(left, std::chrono::milliseconds(50), ForwardTimeout),
                          onReply);
    }

    /// The cell to ask; null while the layout is unknown.
    CellHost *findCell(const ExchangePtr &exchange)
    {
        const CellLayout *layout = cells.layout();
        if (!layout) {
            return nullptr;
        }
        if (!exchange->cell) {
            exchange->cell = forwarder.cellFor(*layout, exchange->request);
        }
        return cells.find(*exchange->cell);
    }

    /// Asks the next cell about an unknown job; false when all were asked or it isn't a search.
    ///
    /// A job may be in another cell than its id says: that of its data's rack, or the one that had
    /// workers of its queue's service at the time.
    bool askNextCell(const ExchangePtr &exchange, const CallerReply &reply)
    {
        const bool isSearch = reply.outcome == CallerOutcome::NoSuchJob && exchange->cell
                              && !exchange->request.isReferred
                              && exchange->request.verb != CallerVerb::Submit;
        if (!isSearch || ++exchange->cellsAsked >= cells.layout()->cellCount()) {
            return false;
        }
        exchange->cell = (*exchange->cell + 1) % cells.layout()->cellCount();
        attempt(exchange);
        return true;
    }

    /// Limits the wait for an answer of a cell in this process.
    void startAnswerTimer(const ExchangePtr &exchange)
    {
        exchange->timer.expires_at(exchange->deadline);
        exchange->timer.async_wait([weak = weak_from_this(), exchange](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->finish(exchange,
                             {CallerOutcome::Unknown, JobState::Queued, 0, "not stored in time"});
            }
        });
    }

    void handleReply(const ExchangePtr &exchange, CallerReply reply)
    {
        if (!exchange->respond) {
            return;
        }
        if (reply.outcome == CallerOutcome::Elsewhere && !exchange->request.isReferred) {
            exchange->request.isReferred = true;
            exchange->cell = reply.cell;
            attempt(exchange);
            return;
        }
        if (askNextCell(exchange, reply)) {
            return;
        }
        exchange->outcome.record(reply.outcome);
        const TimePoint limit =
            exchange->outcome.hasCertainlyNotRun() ? exchange->ownerDeadline : exchange->deadline;
        if (exchange->outcome.isSettledBy(reply.outcome) || Clock::now() + RetryPause >= limit) {
            finish(exchange, std::move(reply));
            return;
        }
        cells.refreshClaims();
        exchange->timer.expires_after(RetryPause);
        exchange->timer.async_wait([weak = weak_from_this(), exchange](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->attempt(exchange);
            }
        });
    }

    void finish(const ExchangePtr &exchange, CallerReply reply)
    {
        if (!exchange->respond) {
            return;
        }
        reply.outcome = exchange->outcome.told(reply.outcome);
        exchange->timer.cancel();
        open.erase(exchange);
        const Duration took = Clock::now() - exchange->arrivedAt;
        logResult(*exchange, reply, took);
        HttpResponse response =
            platform::toResponse(exchange->request.verb, reply, retryAfter(*exchange, reply));
        response.closesConnection = isDraining;
        const auto respond = std::exchange(exchange->respond, {});
        --inFlight;
        respond(std::move(response));
    }

    /// When the client should try again: as the owner says, or by how long there has been none.
    Duration retryAfter(const Exchange &exchange, const CallerReply &reply)
    {
        if (!exchange.cell) {
            return MinRetryAfter;
        }
        const TimePoint now = Clock::now();
        RetryAdvice &retries =
            ownerRetries.try_emplace(*exchange.cell, RetryAdvice::RefusedAfterWait).first->second;
        const bool isRefusal =
            reply.outcome == CallerOutcome::NotRun || reply.outcome == CallerOutcome::Refused;
        if (isRefusal && !reply.retryAfter) {
            retries.onFailure(now);
        } else if (reply.outcome != CallerOutcome::Unknown) {
            retries.onSuccess();
        }
        return reply.retryAfter.value_or(retries.delayFor(exchange.request.job.value(), now));
    }

    std::size_t finishAll()
    {
        isStopping = true;
        const std::set<ExchangePtr> unanswered = std::exchange(open, {});
        for (const ExchangePtr &it : unanswered) {
            finish(it, {it->isAsking ? CallerOutcome::Unknown : CallerOutcome::NotRun,
                        JobState::Queued, 0, "stopping"});
        }
        return unanswered.size();
    }

    void logResult(const Exchange &exchange, const CallerReply &reply, Duration took)
    {
        const CallerVerb verb = exchange.request.verb;
        metrics.record(
            verb == CallerVerb::Submit ? "firefly_submit_seconds" : "firefly_query_seconds", took);
        if (reply.outcome == CallerOutcome::Done && verb != CallerVerb::Submit
            && verb != CallerVerb::Cancel) {
            return;
        }
        log.write(LogLevel::Info, "front", verb == CallerVerb::Submit ? "submit" : "request", [&] {
            return nlohmann::json{{"job", exchange.request.job.value()},
                                  {"queue", exchange.queue},
                                  {"verdict", toString(reply.outcome)},
                                  {"detail", reply.detail},
                                  {"tries", exchange.tries},
                                  {"config", routes.version()},
                                  {"cell", exchange.cell.value_or(-1)},
                                  {"ms", took.count() / 1000}};
        });
    }

    asio::io_context &context;
    const RouteTable &routes;
    CellSet &cells;
    RequestForwarder &forwarder;
    EventLog &log;
    Metrics &metrics;
    bool isDraining = false;
    bool isStopping = false;
    std::set<ExchangePtr> open; ///< Requests not answered yet.
    std::size_t inFlight = 0;
    std::map<int, RetryAdvice> ownerRetries; ///< By cell.
};

RequestRouter::RequestRouter(asio::io_context &context, const RouteTable &routes, CellSet &cells,
                             RequestForwarder &forwarder, EventLog &log, Metrics &metrics)
    : m_private(std::make_shared<Private>(context, routes, cells, forwarder, log, metrics))
{}

RequestRouter::~RequestRouter() = default;

void RequestRouter::handle(HttpRequest request, HttpServer::Respond respond)
{
    m_private->handle(std::move(request), std::move(respond));
}

void RequestRouter::drain()
{
    m_private->isDraining = true;
}

std::size_t RequestRouter::finishAll()
{
    return m_private->finishAll();
}

std::size_t RequestRouter::inFlight() const
{
    return m_private->inFlight;
}

} // namespace firefly
