#include "Node/FrontDesk.h"

#include "platform/CallerHttp.h"
#include "platform/Wire.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

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
        std::optional<int> cell;   ///< Asked now; empty until the layout is known.
        int cellsAsked = 0;        ///< Those that don't know the job.
        int tries = 0;
        asio::basic_waitable_timer<Clock> timer;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    Private(asio::io_context &contextIn, const RouteTable &routesIn, CellSet &cellsIn,
            PeerJobs &peersIn, EventLog &logIn, Metrics &metricsIn)
        : context(contextIn)
        , routes(routesIn)
        , cells(cellsIn)
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
        CallerReply reply;
        reply.verdict = CallerVerdict::Done;
        reply.pending = cells.pending(exchange->queue);
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
        CellHost *cell = nullptr;
        try {
            cell = findCell(exchange);
        } catch (const platform::WireError &e) {
            finish(exchange, {CallerVerdict::Malformed, JobState::Queued, 0, e.what()});
            return;
        }
        if (!cell) {
            take(exchange, {CallerVerdict::NotRun, JobState::Queued, 0, "no layout yet"});
            return;
        }
        if (cell->isServing()) {
            expectAnswer(exchange);
            peers.answer(*cell, exchange->request, onReply);
            return;
        }
        const CellElection &election = cell->election();
        if (!election.hasOwner() || election.isOwner()) {
            take(exchange, {CallerVerdict::NotRun, JobState::Queued, 0, "no owner"});
            return;
        }
        const Duration left = exchange->deadline - Clock::now();
        peers.forward(election.claim().endpoint, *exchange->cell, exchange->request,
                      std::clamp<Duration>(left, std::chrono::milliseconds(50), TryTimeout),
                      onReply);
    }

    /// The cell to ask now; null while the layout is unknown.
    CellHost *findCell(const ExchangePtr &exchange)
    {
        const CellLayout *layout = cells.layout();
        if (!layout) {
            return nullptr;
        }
        if (!exchange->cell) {
            exchange->cell = peers.cellFor(*layout, exchange->request);
        }
        return cells.find(*exchange->cell);
    }

    /// A job may lie elsewhere: near its data, or where its queue's workers were before.
    bool asksNextCell(const ExchangePtr &exchange, const CallerReply &reply)
    {
        const bool isSearch = reply.verdict == CallerVerdict::NoSuchJob && exchange->cell
                              && !exchange->request.isReferred
                              && exchange->request.verb != CallerVerb::Submit;
        if (!isSearch || ++exchange->cellsAsked >= cells.layout()->cellCount()) {
            return false;
        }
        exchange->cell = (*exchange->cell + 1) % cells.layout()->cellCount();
        attempt(exchange);
        return true;
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
        if (!exchange->respond) {
            return;
        }
        if (reply.verdict == CallerVerdict::Elsewhere && !exchange->request.isReferred) {
            exchange->request.isReferred = true;
            exchange->cell = reply.cell;
            attempt(exchange);
            return;
        }
        if (asksNextCell(exchange, reply)) {
            return;
        }
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
        log.write(LogLevel::Info, "front", verb == CallerVerb::Submit ? "submit" : "request", [&] {
            return nlohmann::json{{"job", exchange.request.job.value()},
                                  {"queue", exchange.queue},
                                  {"verdict", toString(reply.verdict)},
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
    PeerJobs &peers;
    EventLog &log;
    Metrics &metrics;
    bool isDraining = false;
    std::size_t inFlight = 0;
};

FrontDesk::FrontDesk(asio::io_context &context, const RouteTable &routes, CellSet &cells,
                     PeerJobs &peers, EventLog &log, Metrics &metrics)
    : m_private(std::make_shared<Private>(context, routes, cells, peers, log, metrics))
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
