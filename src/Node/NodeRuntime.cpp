#include "Node/NodeRuntime.h"

#include "CellLease/StoreRetryPolicy.h"
#include "Fleet/EvacuationList.h"
#include "Fleet/RouteTable.h"
#include "Node/CellSet.h"
#include "Node/RequestForwarder.h"
#include "Node/RequestRouter.h"
#include "Node/TopicFollower.h"
#include "platform/StoreClient.h"
#include "platform/Wire.h"
#include "platform/WorkerClient.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace firefly {
namespace {

/// Log lines of one kind in ten seconds: allows one per job at the usual load of a small site.
constexpr int LogLinesPerInterval = 150;
constexpr Duration ConfigReadWait = std::chrono::milliseconds(1500);
/// The load balancer stops sending connections after two failed checks, a second apart.
constexpr Duration BalancerDetectionTime = std::chrono::milliseconds(2500);
/// A draining process exits this long before the end of its grace period, when it would be killed.
constexpr Duration ShutdownMargin = std::chrono::milliseconds(500);
/// Time for the last answers to reach the clients.
constexpr Duration FlushTime = std::chrono::milliseconds(250);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
constexpr std::size_t MaxClientBodyBytes = 256U << 10U;
constexpr Duration MaxRequestTime = std::chrono::seconds(5);
constexpr Duration IdleConnectionTimeout = std::chrono::seconds(60);

std::string makeIncarnation(const std::string &node)
{
    std::random_device device;
    return node + "." + std::to_string(device());
}

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

CurlLoopOptions curlOptions(const NodeSettings &settings)
{
    // An owner keeps connections to all of its workers; the other half is left for clients.
    CurlLoopOptions options;
    options.maxIdleConnections = static_cast<long>(settings.maxConnections / 2);
    return options;
}

HttpLimits clientLimits(const NodeSettings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = MaxClientBodyBytes;
    limits.maxConnections = settings.maxConnections / 2;
    limits.readTimeout = IdleConnectionTimeout;
    limits.handleTimeout = MaxRequestTime * 2;
    return limits;
}

} // namespace

struct NodeRuntime::Private
{
    Private(asio::io_context &contextIn, NodeSettings settingsIn)
        : context(contextIn)
        , settings(std::move(settingsIn))
        , incarnation(makeIncarnation(settings.node))
        , log(settings.node, LogLevel::Info, LogStream::Output, LogLinesPerInterval)
        , curl(context, curlOptions(settings))
        , store(curl, settings.storeEndpoint)
        , storeRetries(std::random_device{}())
        , workers(curl)
        , cells(context, settings, cellOptions(), store, storeRetries, workers, log, metrics)
        , forwarder(curl, cells, &platform::decodeJob)
        , router(context, routes, cells, forwarder, log, metrics)
        , internalServer(context, internalEndpoint(), HttpLimits{}, internalHandler())
        , clientServer(context, settings.clientEndpoint, clientLimits(settings), clientHandler())
        , drainTimer(context)
    {
        cells.setDelegationForwarder(
            [this](const Endpoint &owner, const DelegationRequest &request, OnCallerReply done) {
                forwarder.forwardDelegation(owner, request, std::move(done));
            });
        if (settings.readinessEndpoint) {
            readinessServer = std::make_unique<HttpServer>(context, *settings.readinessEndpoint,
                                                           HttpLimits{}, readinessHandler());
        }
        followOperators();
        log.write(LogLevel::Info, "node", "started",
                  {{"incarnation", incarnation},
                   {"zone", settings.zone},
                   {"cpu_share", settings.capacity.cpuShare}});
    }

    Endpoint internalEndpoint() const { return {settings.address, settings.internalPorts.front()}; }

    CellHost::Options cellOptions() const
    {
        CellHost::Options options;
        options.incarnation = incarnation;
        options.endpoint = internalEndpoint();
        return options;
    }

    HttpServer::Handler clientHandler()
    {
        return [this](HttpRequest request, HttpServer::Respond respond) {
            router.handle(std::move(request), std::move(respond));
        };
    }

    HttpServer::Handler readinessHandler()
    {
        return [this](const HttpRequest &, const HttpServer::Respond &respond) {
            HttpResponse response;
            response.status = routes.isConfigured() && !isDraining ? 200 : 503;
            response.body = "{}";
            respond(std::move(response));
        };
    }

    HttpServer::Handler internalHandler()
    {
        return [this](const HttpRequest &request, HttpServer::Respond respond) {
            HttpResponse response;
            if (request.path == "/metrics") {
                response.contentType = "text/plain; version=0.0.4";
                response.body = metrics.exposition();
            } else if (request.path == "/state") {
                response.body = dump().dump(2);
            } else {
                forwarder.handle(request, std::move(respond));
                return;
            }
            respond(std::move(response));
        };
    }

    nlohmann::json dump() const
    {
        return {{"node", settings.node},
                {"incarnation", incarnation},
                {"config", routes.version()},
                {"draining", isDraining},
                {"in_flight", router.inFlight()},
                {"open_requests", clientServer.openRequests()},
                {"failed_store_reads", storeRetries.failedReads()},
                {"evacuated", dumpEvacuations()},
                {"cells", cells.dump()}};
    }

    /// Start of each current evacuation, by zone.
    nlohmann::json dumpEvacuations() const
    {
        nlohmann::json sinceMs = nlohmann::json::object();
        for (const auto &[zone, since] : evacuations.begins()) {
            sinceMs[zone] = toMs(Clock::now() - since);
        }
        return sinceMs;
    }

    void followOperators()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { onOperatorRecord(it); };
        callbacks.onSnapshot = [this](const std::set<std::string> &keys) {
            onOperatorSnapshot(keys);
        };
        callbacks.onRead = [](std::uint64_t) {};
        callbacks.onFailed = [this](const std::string &) {
            metrics.add("firefly_store_read_failures_total{topic=\"operators\"}");
        };
        const TopicFollower::Options options{
            platform::operatorTopic(), StoreReadKind::Configuration, ConfigReadWait, Duration{}};
        operatorFollower = std::make_unique<TopicFollower>(context, store, storeRetries, options,
                                                           std::move(callbacks));
    }

    void onOperatorRecord(const KeyedRecord &record)
    {
        if (const auto zone = platform::evacuatedZone(record.key)) {
            if (const auto change =
                    evacuations.apply(*zone, record.value.has_value(), Clock::now())) {
                onEvacuationChange(*change);
                updateCells();
            }
        } else if (record.key == platform::ConfigKey && record.value) {
            onConfigRecord(record);
        }
    }

    void onOperatorSnapshot(const std::set<std::string> &keys)
    {
        std::set<std::string> requested;
        for (const std::string &it : keys) {
            if (auto zone = platform::evacuatedZone(it)) {
                requested.insert(std::move(*zone));
            }
        }
        for (const EvacuationList::Change &it : evacuations.retain(requested)) {
            onEvacuationChange(it);
        }
        hasReadOperators = true;
        updateCells();
    }

    void onEvacuationChange(const EvacuationList::Change &change)
    {
        metrics.set("firefly_evacuated_zones", static_cast<double>(evacuations.begins().size()));
        if (change.isEvacuated) {
            metrics.add("firefly_evacuations_total");
            log.write(LogLevel::Info, "node", "evacuation begins", {{"zone", change.zone}});
        } else {
            log.write(LogLevel::Info, "node", "evacuation ends",
                      {{"zone", change.zone}, {"lasted_ms", toMs(Clock::now() - change.since)}});
        }
    }

    /// Tells the cells which zones are evacuated, once all requests have been read.
    void updateCells()
    {
        if (hasReadOperators) {
            cells.setEvacuatedZones(evacuations.zones());
        }
    }

    void onConfigRecord(const KeyedRecord &record)
    {
        try {
            FleetConfig decoded = platform::decodeConfig(*record.value);
            const auto version = decoded.version;
            const auto count = decoded.routes.size();
            if (routes.apply(std::move(decoded))) {
                log.write(LogLevel::Info, "node", "configuration in force",
                          {{"version", version}, {"routes", count}});
            }
        } catch (const platform::WireError &e) {
            log.write(LogLevel::Error, "node", "unreadable configuration",
                      {{"error", e.what()}, {"kept", routes.version()}});
        }
    }

    void drain()
    {
        if (std::exchange(isDraining, true)) {
            return;
        }
        drainBeganAt = Clock::now();
        log.write(LogLevel::Info, "node", "draining", {{"in_flight", router.inFlight()}});
        router.drain();
        cells.resign();
        pollDrain();
    }

    /// Ends the process once it owes nothing any more, or shortly before it would be killed.
    ///
    /// Until the load balancer has noticed, new connections are served; from then on only those
    /// that are open, each with one request more at most.
    void pollDrain()
    {
        const Duration since = Clock::now() - drainBeganAt;
        const Duration answerLimit = settings.gracePeriod - ShutdownMargin - FlushTime;
        const bool isGraceOver = since >= settings.gracePeriod - ShutdownMargin;
        if (since >= answerLimit) {
            forcedAnswers += router.finishAll();
        }
        if (isGraceOver || isDrained()) {
            runReadyHandlers();
        }
        if (isGraceOver || isDrained()) {
            logStop(since);
            context.stop();
            return;
        }
        if (since >= std::min(BalancerDetectionTime, answerLimit)
            && !std::exchange(hasStoppedAccepting, true)) {
            clientServer.stopAccepting();
        }
        drainTimer.expires_after(DrainPollInterval);
        drainTimer.async_wait([this](asio::error_code ec) {
            if (!ec) {
                pollDrain();
            }
        });
    }

    bool isDrained() const { return hasStoppedAccepting && !owesAnswers() && cells.hasResigned(); }

    /// Handles what has been read already: the rest of a request may wait behind the drain timer.
    void runReadyHandlers()
    {
        const TimePoint limit = Clock::now() + FlushTime;
        bool isReady = true;
        while (isReady && Clock::now() < limit) {
            isReady = context.poll_one() > 0;
        }
    }

    /// True while a client or another process waits for an answer, or for the rest of it.
    bool owesAnswers() const
    {
        return router.inFlight() > 0 || clientServer.openRequests() > 0
               || internalServer.openRequests() > 0;
    }

    void logStop(Duration drainTime)
    {
        log.write(LogLevel::Info, "node", "stopped",
                  {{"drained", isDrained()},
                   {"drain_ms", drainTime.count() / 1000},
                   {"forced_answers", forcedAnswers},
                   {"in_flight", router.inFlight()},
                   {"open_requests", clientServer.openRequests()},
                   {"open_internal_requests", internalServer.openRequests()},
                   {"resigned", cells.hasResigned()}});
    }

    asio::io_context &context;
    NodeSettings settings;
    std::string incarnation;
    EventLog log;
    Metrics metrics;
    CurlLoop curl;
    platform::StoreClient store;
    StoreRetryPolicy storeRetries;
    platform::WorkerClient workers;
    RouteTable routes;
    EvacuationList evacuations;
    bool hasReadOperators = false; ///< The newest record of each key of the operators is known.
    CellSet cells;
    RequestForwarder forwarder;
    RequestRouter router;
    HttpServer internalServer;
    HttpServer clientServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<TopicFollower> operatorFollower;
    asio::basic_waitable_timer<Clock> drainTimer;
    TimePoint drainBeganAt{};
    bool isDraining = false;
    bool hasStoppedAccepting = false;
    std::size_t forcedAnswers = 0; ///< Given because the grace period ends.
};

NodeRuntime::NodeRuntime(asio::io_context &context, NodeSettings settings)
    : m_private(std::make_unique<Private>(context, std::move(settings)))
{}

NodeRuntime::~NodeRuntime() = default;

void NodeRuntime::drain()
{
    m_private->drain();
}

void NodeRuntime::onSettingsChanged(const NodeSettings &settings)
{
    m_private->log.write(LogLevel::Info, "node", "settings read again",
                         {{"zone", settings.zone}, {"cpu_share", settings.capacity.cpuShare}});
}

} // namespace firefly
