#include "Node/NodeRuntime.h"

#include "Fleet/RouteTable.h"
#include "Node/CellSet.h"
#include "Node/FrontDesk.h"
#include "Node/PeerJobs.h"
#include "Node/TopicFollower.h"
#include "platform/StoreClient.h"
#include "platform/Wire.h"
#include "platform/WorkerClient.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <random>

namespace firefly {
namespace {

/// Lines of one kind in ten seconds: a line for each job of a small site's usual load.
constexpr int LogLinesPerInterval = 150;
constexpr Duration ConfigReadWait = std::chrono::milliseconds(1500);
/// The balancer needs two failed checks, a second apart, to stop sending connections.
constexpr Duration BalancerNotice = std::chrono::milliseconds(2500);
/// The process ends this long before it would be killed.
constexpr Duration KillMargin = std::chrono::milliseconds(700);
constexpr Duration DrainPoll = std::chrono::milliseconds(50);
constexpr std::size_t LargestCallerBody = 256U << 10U;
constexpr Duration SlowestRequest = std::chrono::seconds(5);
constexpr Duration IdleConnection = std::chrono::seconds(60);

std::string makeIncarnation(const std::string &node)
{
    std::random_device device;
    return node + "." + std::to_string(device());
}

CurlLoopOptions curlOptions(const NodeSettings &settings)
{
    // An owner keeps connections to each of its workers; clients get the other descriptors.
    CurlLoopOptions options;
    options.maxIdleConnections = static_cast<long>(settings.maxConnections / 2);
    return options;
}

HttpLimits callerLimits(const NodeSettings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = LargestCallerBody;
    limits.maxConnections = settings.maxConnections / 2;
    limits.readTimeout = IdleConnection;
    limits.handleTimeout = SlowestRequest * 2;
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
        , store(curl, settings.store)
        , workers(curl)
        , cells(context, settings, cellOptions(), store, workers, log, metrics)
        , peers(curl, cells, &platform::decodeJob)
        , desk(context, routes, cells, peers, log, metrics)
        , internal(context, internalEndpoint(), HttpLimits{}, internalHandler())
        , callers(context, settings.callers, callerLimits(settings), callerHandler())
        , drainTimer(context)
    {
        if (settings.ready) {
            ready = std::make_unique<HttpServer>(context, *settings.ready, HttpLimits{},
                                                 readyHandler());
        }
        followConfig();
        log.write(LogLevel::Info, "node", "started",
                  {{"incarnation", incarnation},
                   {"zone", settings.zone},
                   {"cpu_share", settings.cpuShare}});
    }

    Endpoint internalEndpoint() const { return {settings.address, settings.internalPorts.front()}; }

    CellHost::Options cellOptions() const
    {
        CellHost::Options options;
        options.incarnation = incarnation;
        options.endpoint = internalEndpoint();
        return options;
    }

    HttpServer::Handler callerHandler()
    {
        return [this](HttpRequest request, HttpServer::Respond respond) {
            desk.handle(std::move(request), std::move(respond));
        };
    }

    HttpServer::Handler readyHandler()
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
                peers.handle(request, std::move(respond));
                return;
            }
            respond(std::move(response));
        };
    }

    nlohmann::json dump() const
    {
        return {{"node", settings.node},        {"incarnation", incarnation},
                {"config", routes.version()},   {"draining", isDraining},
                {"in_flight", desk.inFlight()}, {"cells", cells.dump()}};
    }

    void followConfig()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { takeConfig(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [](std::uint64_t) {};
        config = std::make_unique<TopicFollower>(context, store, platform::operatorTopic(),
                                                 ConfigReadWait, Duration{}, std::move(callbacks));
    }

    void takeConfig(const KeyedRecord &record)
    {
        if (record.key != platform::ConfigKey || !record.value) {
            return;
        }
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
        drainBegan = Clock::now();
        log.write(LogLevel::Info, "node", "draining", {{"in_flight", desk.inFlight()}});
        desk.drain();
        cells.resign();
        pollDrain();
    }

    void pollDrain()
    {
        const Duration since = Clock::now() - drainBegan;
        const bool isQuiet = since >= BalancerNotice && desk.inFlight() == 0 && cells.hasResigned();
        if (isQuiet || since >= settings.gracePeriod - KillMargin) {
            log.write(LogLevel::Info, "node", "stopped", {{"in_flight", desk.inFlight()}});
            context.stop();
            return;
        }
        drainTimer.expires_after(DrainPoll);
        drainTimer.async_wait([this](asio::error_code ec) {
            if (!ec) {
                pollDrain();
            }
        });
    }

    asio::io_context &context;
    NodeSettings settings;
    std::string incarnation;
    EventLog log;
    Metrics metrics;
    CurlLoop curl;
    platform::StoreClient store;
    platform::WorkerClient workers;
    RouteTable routes;
    CellSet cells;
    PeerJobs peers;
    FrontDesk desk;
    HttpServer internal;
    HttpServer callers;
    std::unique_ptr<HttpServer> ready;
    std::unique_ptr<TopicFollower> config;
    asio::basic_waitable_timer<Clock> drainTimer;
    TimePoint drainBegan{};
    bool isDraining = false;
};

NodeRuntime::NodeRuntime(asio::io_context &context, NodeSettings settings)
    : m_private(std::make_unique<Private>(context, std::move(settings)))
{}

NodeRuntime::~NodeRuntime() = default;

void NodeRuntime::drain()
{
    m_private->drain();
}

void NodeRuntime::settingsChanged(const NodeSettings &settings)
{
    m_private->log.write(LogLevel::Info, "node", "settings read again",
                         {{"zone", settings.zone}, {"cpu_share", settings.cpuShare}});
}

} // namespace firefly
