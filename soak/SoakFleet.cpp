#include "SoakFleet.h"

#include "Fleet/CellLayout.h"
#include "Node/LayoutLoader.h"
#include "platform/standins/PartnerWire.h"
#include "platform/StoreClient.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace firefly::soak {
namespace {

constexpr std::uint16_t StorePort = 7000;
constexpr std::uint16_t StoreLinkPort = 7001;
constexpr std::uint16_t WorkerPort = 8000;
constexpr std::uint16_t WorkerLinkPort = 8001;
constexpr std::uint16_t CallersPort = 9000;
constexpr std::uint16_t CallersLinkPort = 9001;
constexpr std::uint16_t ReadyPort = 9002;
constexpr std::uint16_t InternalPort = 9100;
constexpr int StoreHost = 2;
constexpr int FirstNodeHost = 10;
constexpr int FirstWorkerHost = 100;

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1000);
/// The platform drops a worker's entry after this many intervals of silence.
constexpr int MissedHeartbeats = 3;
/// Workers' clocks may be this much slow or fast.
constexpr double ClockError = 0.02;
constexpr Duration ShortestWork = std::chrono::milliseconds(100);
constexpr Duration LongestWork = std::chrono::milliseconds(2500);
constexpr double FailingShare = 0.08;

/// Loopback addresses of their own, so that soaks run beside each other on fixed ports.
std::string networkOf(pid_t pid)
{
    constexpr int Parts = 250;
    return "127." + std::to_string(1 + pid / Parts % Parts) + "." + std::to_string(pid % Parts)
           + ".";
}

std::string rackOf(int number)
{
    return "rack-" + std::to_string(number);
}

} // namespace

SoakFleet::SoakFleet(asio::io_context &context, const SoakOptions &options)
    : store(context)
    , random(options.seed)
    , m_context(context)
    , m_network(networkOf(::getpid()))
    , m_timer(context)
{
    std::filesystem::create_directories(options.directory);
    m_storeServer = std::make_unique<HttpServer>(
        context, Endpoint{address(StoreHost), StorePort}, HttpLimits{},
        [this](const HttpRequest &request, HttpServer::Respond respond) {
            store.handle(request, std::move(respond));
        });
    for (int i = 0; i < options.workers; ++i) {
        addWorker(i, options.cells);
    }
    for (int i = 0; i < options.nodes; ++i) {
        addNode(i, options);
    }
    if (options.cells > 1) {
        publishLayout(options.cells);
    }
}

std::string SoakFleet::address(int host) const
{
    return m_network + std::to_string(host);
}

void SoakFleet::addNode(int number, const SoakOptions &options)
{
    const std::string own = address(FirstNodeHost + number);
    SoakNode node;
    node.settings.node = "node-" + std::to_string(number);
    node.settings.zone = "zone-" + std::to_string(number % 3);
    node.settings.address = own;
    node.settings.clientEndpoint = {own, CallersPort};
    node.settings.readinessEndpoint = Endpoint{own, ReadyPort};
    node.settings.internalPorts = {InternalPort, InternalPort + 9};
    node.settings.storeEndpoint = {own, StoreLinkPort};
    node.settings.cpuShare = 0.1 * (1 + number);
    node.callersEndpoint = {own, CallersLinkPort};
    node.callers =
        std::make_unique<LinkProxy>(m_context, node.callersEndpoint, node.settings.clientEndpoint);
    node.store = std::make_unique<LinkProxy>(m_context, node.settings.storeEndpoint,
                                             Endpoint{address(StoreHost), StorePort});
    node.settingsFile = options.directory / (node.settings.node + ".yaml");
    node.process = std::make_unique<NodeProcess>(options.program, node.settingsFile,
                                                 options.directory / (node.settings.node + ".log"));
    writeSettings(node);
    nodes.push_back(std::move(node));
}

void SoakFleet::addWorker(int number, int cells)
{
    const std::string own = address(FirstWorkerHost + number);
    SoakWorker entry;
    entry.id = "w-" + std::to_string(number);
    entry.worker = std::make_unique<FakeCellWorker>(entry.id, audit);
    entry.worker->endpoint = {own, WorkerLinkPort};
    entry.worker->rack = rackOf(number % std::max(1, cells));
    entry.worker->clockRate =
        std::uniform_real_distribution<double>(1 - ClockError, 1 + ClockError)(random);
    entry.standin =
        std::make_unique<platform::WorkerStandin<FakeCellWorker>>(m_context, *entry.worker);
    entry.server = std::make_unique<HttpServer>(
        m_context, Endpoint{own, WorkerPort}, HttpLimits{},
        [standin = entry.standin.get()](const HttpRequest &request,
                                        const HttpServer::Respond &respond) {
            standin->handle(request, respond);
        });
    entry.link =
        std::make_unique<LinkProxy>(m_context, entry.worker->endpoint, Endpoint{own, WorkerPort});
    workers.push_back(std::move(entry));
}

/// Splits the few workers as a large fleet's are; without a record the processes would make one
/// cell of them.
void SoakFleet::publishLayout(int cells)
{
    std::vector<WorkerDescription> list;
    for (const SoakWorker &it : workers) {
        list.push_back(it.worker->describe());
    }
    const int size = static_cast<int>(workers.size()) / cells;
    store.put(platform::layoutTopic().topic, LayoutLoader::RecordKey,
              CellLayout::plan(list, cells, size).encode());
}

void SoakFleet::start()
{
    publishConfig();
    tick();
    for (SoakNode &it : nodes) {
        it.process->start();
    }
}

void SoakFleet::stop()
{
    for (SoakNode &it : nodes) {
        it.process->signal(SIGCONT);
        it.process->signal(SIGTERM);
    }
    const TimePoint limit = Clock::now() + nodes.front().settings.gracePeriod;
    for (SoakNode &it : nodes) {
        while (it.process->isRunning() && Clock::now() < limit) {
            std::this_thread::sleep_for(TickInterval);
        }
        if (it.process->isRunning()) {
            audit.violations.push_back("no graceful stop: " + it.settings.node);
        }
        if (it.process->hasCrashed()) {
            audit.violations.push_back("ended by itself: " + it.settings.node);
        }
    }
}

void SoakFleet::writeSettings(const SoakNode &node) const
{
    std::ofstream(node.settingsFile) << platform::encodeSettings(node.settings);
}

void SoakFleet::publishConfig()
{
    configVersion += std::uniform_int_distribution<std::uint64_t>(1, 3)(random);
    FleetConfig config;
    config.version = configVersion;
    Route route;
    route.host = Host;
    route.pathPrefix = PathPrefix;
    route.policy = {QueueName("soak"), "svc", 1, 4, 2.0, 1000};
    config.routes.push_back(route);
    // The path names the version, for the check that it is in force.
    route.pathPrefix = "/v" + std::to_string(configVersion) + "/";
    route.policy.queue = QueueName("idle");
    config.routes.push_back(route);
    store.put("keyed.op", platform::ConfigKey, platform::encodeConfig(config));
}

void SoakFleet::crash(SoakWorker &worker, Duration down)
{
    const TimePoint now = Clock::now();
    worker.worker->reboot(now);
    worker.link->reset();
    worker.link->isRefusing = true;
    worker.downSince = now;
    worker.downUntil = now + down;
}

void SoakFleet::tick()
{
    const TimePoint now = Clock::now();
    for (SoakWorker &it : workers) {
        std::uniform_int_distribution<Duration::rep> span(ShortestWork.count(),
                                                          LongestWork.count());
        it.worker->workTime = Duration(span(random));
        it.worker->hasFailingRuns = std::bernoulli_distribution(FailingShare)(random);
        it.worker->tick(now);
    }
    registerWorkers(now);
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void SoakFleet::registerWorkers(TimePoint now)
{
    const bool isHeartbeat = now >= m_nextHeartbeat;
    if (isHeartbeat) {
        m_nextHeartbeat = now + HeartbeatInterval;
        ++m_heartbeat;
    }
    for (SoakWorker &it : workers) {
        if (now < it.downUntil) {
            if (it.isRegistered && now - it.downSince > MissedHeartbeats * HeartbeatInterval) {
                it.isRegistered = false;
                store.put("keyed.servers", it.id, {});
            }
            continue;
        }
        const bool isBack = it.link->isRefusing;
        it.link->isRefusing = false;
        if (isHeartbeat || isBack || !it.isRegistered) {
            it.isRegistered = true;
            store.put("keyed.servers", it.id,
                      platform::encodeWorker(it.worker->describe(), m_heartbeat));
        }
    }
}

} // namespace firefly::soak
