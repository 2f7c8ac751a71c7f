#include "Node/FrontDesk.h"

#include "platform/CallerHttp.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(60);
/// One try to reach the owner; a stalled one leaves time for another.
constexpr Duration TryTimeout = std::chrono::milliseconds(1200);
/// Kept back from the client's time for the answer to arrive.
constexpr Duration AnswerMargin = std::chrono::milliseconds(150);
/// When a client may come back: a new owner is found in about this time.
constexpr Duration RetryAfter = std::chrono::seconds(1);

} // namespace

struct FrontDesk::Private : std::enable_shared_from_this<Private>
{
    /// One request of a client on its way.
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
        TimePoint deadline{};      ///< The final answer leaves by then.
        TimePoint ownerDeadline{}; ///< Without an owner, it leaves by then.
        bool isUncertain = false;  ///< Some try may have had its effect.
        int tries = 0;
        asio::basic_waitable_timer<Clock> timer;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    Private(asio::io_context &contextIn, const RouteTable &routesIn, CellHost &cellIn,
            PeerJobs &peersIn, EventLog &logIn, Metrics &metricsIn)
        : context(contextIn)
        , routes(routesIn)
        , cell(cellIn)
        , peers(peersIn)
        , log(logIn)
        , metrics(metricsIn)
    {}

    void handle(HttpRequest request, HttpServer::Respond respond)
    {
        ++inFlight;
        const auto exchange = std::make_shared<Exchange>(context, std::move(respond));
        exchange->arrivedAt = Clock::now();
        if (!routes.isConfigured()) {
            finish(exchange, {CallerVerdict::NotRun, JobState::Queued, 0, "no configuration yet"});
            return;
        }
        const Route *route = routes.find(platform::hostOf(request), request.path);
        if (!route) {
            finish(exchange, {CallerVerdict::NoSuchQueue, JobState::Queued, 0, "no such queue"});
            return;
        }
        const auto target = platform::parseTarget(
            request, std::string_view(request.path).substr(route->pathPrefix.size()));
        if (!target) {
            finish(exchange, {CallerVerdict::Malformed, JobState::Queued, 0, "no such call"});
            return;
        }
        exchange->queue = route->policy.queue.value();
        exchange->request.verb = target->verb;
        exchange->request.job = target->job;
        exchange->request.body = std::move(request.body);
        exchange->request.policy = route->policy;
        const Duration patience =
            std::min(platform::patienceOf(request).value_or(route->timeout), route->timeout);
        exchange->deadline = exchange->arrivedAt + std::max(patience - AnswerMargin, patience / 2);
        exchange->ownerDeadline = std::min(exchange->deadline, exchange->arrivedAt + MaxOwnerWait);
        if (target->verb == CallerVerb::CountPending) {
            countPending(exchange);
            return;
        }
        attempt(exchange);
    }

    void countPending(const ExchangePtr &exchange)
    {
        const auto &counts = cell.election().claim().pendingByQueue;
        const auto it = counts.find(exchange->queue);
        CallerReply reply;
        reply.verdict = CallerVerdict::Done;
        reply.pending = it == counts.end() ? 0 : it->second;
        finish(exchange, reply);
    }

    void attempt(const ExchangePtr &exchange)
    {
        ++exchange->tries;
        const auto onReply = [weak = weak_from_this(), exchange](const CallerReply &reply) {
            if (const auto self = weak.lock()) {
                self->take(exchange, reply);
            }
        };
        if (cell.isServing()) {
            expectAnswer(exchange);
            peers.answer(exchange->request, onReply);
            return;
        }
        const CellElection &election = cell.election();
        if (!election.hasOwner() || election.isOwner()) {
            take(exchange, {CallerVerdict::NotRun, JobState::Queued, 0, "no owner"});
            return;
        }
        const Duration left = exchange->deadline - Clock::now();
        peers.forward(election.claim().endpoint, exchange->request,
                      std::clamp<Duration>(left, std::chrono::milliseconds(50), TryTimeout),
                      onReply);
    }

    /// Bounds the wait for an answer of this process itself.
    void expectAnswer(const ExchangePtr &exchange)
    {
        exchange->timer.expires_at(exchange->deadline);
        exchange->timer.async_wait([weak = weak_from_this(), exchange](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->finish(exchange,
                             {CallerVerdict::Unknown, JobState::Queued, 0, "not stored in time"});
            }
        });
    }

    void take(const ExchangePtr &exchange, CallerReply reply)
    {
        const bool isFinal =
            reply.verdict != CallerVerdict::NotRun && reply.verdict != CallerVerdict::Unknown;
        exchange->isUncertain = exchange->isUncertain || reply.verdict == CallerVerdict::Unknown;
        const TimePoint now = Clock::now();
        const TimePoint limit =
            exchange->isUncertain ? exchange->deadline : exchange->ownerDeadline;
        if (isFinal || now + RetryPause >= limit) {
            const bool isRefusal = !isFinal || reply.verdict == CallerVerdict::Refused;
            if (isRefusal && exchange->isUncertain) {
                reply.verdict = CallerVerdict::Unknown;
            }
            finish(exchange, reply);
            return;
        }
        exchange->timer.expires_after(RetryPause);
        exchange->timer.async_wait([weak = weak_from_this(), exchange](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->attempt(exchange);
            }
        });
    }

    void finish(const ExchangePtr &exchange, const CallerReply &reply)
    {
        if (!exchange->respond) {
            return;
        }
        exchange->timer.cancel();
        const Duration took = Clock::now() - exchange->arrivedAt;
        note(*exchange, reply, took);
        HttpResponse response = platform::toResponse(exchange->request.verb, reply, RetryAfter);
        response.closesConnection = isDraining;
        const auto respond = std::exchange(exchange->respond, {});
        --inFlight;
        respond(std::move(response));
    }

    void note(const Exchange &exchange, const CallerReply &reply, Duration took)
    {
        const CallerVerb verb = exchange.request.verb;
        metrics.record(
            verb == CallerVerb::Submit ? "firefly_submit_seconds" : "firefly_query_seconds", took);
        if (reply.verdict == CallerVerdict::Done && verb != CallerVerb::Submit
            && verb != CallerVerb::Cancel) {
            return;
        }
        log.write(LogLevel::Info, "front", verb == CallerVerb::Submit ? "submit" : "request",
                  {{"job", exchange.request.job.value()},
                   {"queue", exchange.queue},
                   {"verdict", static_cast<int>(reply.verdict)},
                   {"detail", reply.detail},
                   {"tries", exchange.tries},
                   {"config", routes.version()},
                   {"epoch", cell.election().epoch()},
                   {"ms", took.count() / 1000}});
    }

    asio::io_context &context;
    const RouteTable &routes;
    CellHost &cell;
    PeerJobs &peers;
    EventLog &log;
    Metrics &metrics;
    bool isDraining = false;
    std::size_t inFlight = 0;
};

FrontDesk::FrontDesk(asio::io_context &context, const RouteTable &routes, CellHost &cell,
                     PeerJobs &peers, EventLog &log, Metrics &metrics)
    : m_private(std::make_shared<Private>(context, routes, cell, peers, log, metrics))
{}

FrontDesk::~FrontDesk() = default;

void FrontDesk::handle(HttpRequest request, HttpServer::Respond respond)
{
    m_private->handle(std::move(request), std::move(respond));
}

void FrontDesk::drain()
{
    m_private->isDraining = true;
}

std::size_t FrontDesk::inFlight() const
{
    return m_private->inFlight;
}

} // namespace firefly
