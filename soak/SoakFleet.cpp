#include "SoakFleet.h"

#include "CellLease/ClaimRecord.h"
#include "Fleet/CellLayout.h"
#include "Node/LayoutLoader.h"
#include "platform/standins/PartnerWire.h"
#include "platform/StoreClient.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <iomanip>
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
/// Heartbeats that a worker may miss before the platform removes its registration.
constexpr int MaxMissedHeartbeats = 3;
/// Largest relative rate error of a worker's clock, in either direction.
constexpr double MaxClockDrift = 0.02;
constexpr Duration MinWorkTime = std::chrono::milliseconds(100);
constexpr Duration MaxWorkTime = std::chrono::milliseconds(2500);
constexpr double FailureShare = 0.08;
/// Spreads the seeds of the kinds of links away from those of the faults.
constexpr std::uint64_t LinkKindSeedOffset = 1U << 22U;

/// Loopback network derived from \a pid, so that concurrent soaks can use the same fixed ports.
std::string networkPrefix(pid_t pid)
{
    constexpr int OctetValues = 250;
    return "127." + std::to_string(1 + pid / OctetValues % OctetValues) + "."
           + std::to_string(pid % OctetValues) + ".";
}

std::string rackName(int number)
{
    return "rack-" + std::to_string(number);
}

} // namespace

SoakFleet::SoakFleet(asio::io_context &context, const SoakOptions &options)
    : store(context)
    , random(options.seed)
    , cells(options.cells)
    , m_context(context)
    , m_networkPrefix(networkPrefix(::getpid()))
    , m_timer(context)
{
    std::filesystem::create_directories(options.directory);
    m_log.open(options.directory / "soak.log");
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
    drawLinkKinds(options.seed);
    if (options.cells > 1) {
        publishLayout(options.cells);
    }
}

std::string SoakFleet::address(int host) const
{
    return m_networkPrefix + std::to_string(host);
}

void SoakFleet::addNode(int number, const SoakOptions &options)
{
    const std::string ownAddress = address(FirstNodeHost + number);
    SoakNode node;
    node.settings.node = "node-" + std::to_string(number);
    node.settings.zone = "zone-" + std::to_string(number % 3);
    node.settings.address = ownAddress;
    node.settings.clientEndpoint = {ownAddress, CallersPort};
    node.settings.readinessEndpoint = Endpoint{ownAddress, ReadyPort};
    node.settings.internalPorts = {InternalPort, InternalPort + 9};
    node.settings.storeEndpoint = {ownAddress, StoreLinkPort};
    node.settings.capacity.cpuShare = 0.1 * (1 + number);
    node.callersEndpoint = {ownAddress, CallersLinkPort};
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
    const std::string ownAddress = address(FirstWorkerHost + number);
    SoakWorker soakWorker;
    soakWorker.id = "w-" + std::to_string(number);
    soakWorker.worker = std::make_unique<FakeCellWorker>(soakWorker.id, audit);
    soakWorker.worker->endpoint = {ownAddress, WorkerLinkPort};
    soakWorker.worker->rack = rackName(number % std::max(1, cells));
    soakWorker.worker->clockRate =
        std::uniform_real_distribution<double>(1 - MaxClockDrift, 1 + MaxClockDrift)(random);
    soakWorker.standin =
        std::make_unique<platform::WorkerStandin<FakeCellWorker>>(m_context, *soakWorker.worker);
    soakWorker.server = std::make_unique<HttpServer>(
        m_context, Endpoint{ownAddress, WorkerPort}, HttpLimits{},
        [standin = soakWorker.standin.get()](const HttpRequest &request,
                                             const HttpServer::Respond &respond) {
            standin->handle(request, respond);
        });
    soakWorker.link = std::make_unique<LinkProxy>(m_context, soakWorker.worker->endpoint,
                                                  Endpoint{ownAddress, WorkerPort});
    workers.push_back(std::move(soakWorker));
}

void SoakFleet::drawLinkKinds(std::uint64_t seed)
{
    using NamedLink = std::pair<std::string, LinkProxy *>;
    std::vector<NamedLink> toWorkers;
    std::vector<NamedLink> toStore;
    std::vector<NamedLink> toNodes;
    for (const SoakWorker &it : workers) {
        toWorkers.emplace_back(it.id, it.link.get());
    }
    for (const SoakNode &it : nodes) {
        toStore.emplace_back(it.settings.node + " to the store", it.store.get());
        toNodes.emplace_back("callers to " + it.settings.node, it.callers.get());
    }
    std::mt19937_64 kindRandom(seed + LinkKindSeedOffset);
    std::string names;
    for (std::vector<NamedLink> *group : {&toWorkers, &toStore, &toNodes}) {
        std::ranges::shuffle(*group, kindRandom);
        // At least half of each kind of link delivers late, which is harder on the processes.
        for (const auto &[name, link] : std::span(*group).first(group->size() / 2)) {
            link->dropsHeldDataOnReset = true;
            names += (names.empty() ? "" : ", ") + name;
        }
    }
    log("links that drop held data at a reset: " + names);
}

/// Splits the few workers into several cells, as in a large fleet; without a stored layout the
/// processes would put them all into one cell.
void SoakFleet::publishLayout(int cells)
{
    std::vector<WorkerDescription> list;
    for (const SoakWorker &it : workers) {
        list.push_back(it.worker->describe());
    }
    const int size = static_cast<int>(workers.size()) / cells;
    store.put(platform::layoutTopic().topic, LayoutLoader::RecordKey,
              CellLayout::plan(list, cells, {}, size).encode());
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
    const TimePoint deadline = Clock::now() + nodes.front().settings.gracePeriod;
    for (SoakNode &it : nodes) {
        while (it.process->isRunning() && Clock::now() < deadline) {
            std::this_thread::sleep_for(TickInterval);
        }
        if (it.process->isRunning()) {
            audit.violations.push_back("did not stop gracefully: " + it.settings.node);
        }
        if (!it.process->crashes().empty()) {
            audit.violations.push_back("crashed or failed: " + it.settings.node
                                       + it.process->crashes());
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
    // The path contains the version, so that a check can tell which one is in force.
    route.pathPrefix = "/v" + std::to_string(configVersion) + "/";
    route.policy.queue = QueueName("idle");
    config.routes.push_back(route);
    store.put("keyed.op", platform::ConfigKey, platform::encodeConfig(config));
}

void SoakFleet::crash(SoakWorker &worker, Duration downtime)
{
    log(worker.id + " crashes");
    const TimePoint now = Clock::now();
    worker.worker->reboot(now);
    worker.link->reset();
    worker.link->isRefusing = true;
    worker.downSince = now;
    worker.downUntil = now + downtime;
}

void SoakFleet::restart(SoakWorker &worker)
{
    log(worker.id + " restarts");
    worker.worker->reboot(Clock::now());
    worker.link->resetOthers();
    worker.isRegistered = false;
}

void SoakFleet::log(const std::string &text)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    constexpr int MsPerSecond = 1000;
    const std::time_t seconds = ms / MsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    m_log << std::put_time(&parts, "%FT%T.") << std::setw(3) << std::setfill('0')
          << ms % MsPerSecond << "Z " << text << std::endl;
}

SoakNode *SoakFleet::ownerOf(int cell)
{
    const platform::Partition topic = platform::claimTopic(cell);
    const std::string claim = store.newestValue(topic.topic, topic.part, "owner");
    if (claim.empty()) {
        return nullptr;
    }
    const auto it = std::ranges::find(nodes, decodeClaim(claim).node,
                                      [](const SoakNode &node) { return node.settings.node; });
    return it == nodes.end() ? nullptr : &*it;
}

void SoakFleet::tick()
{
    const TimePoint now = Clock::now();
    for (SoakWorker &it : workers) {
        std::uniform_int_distribution<Duration::rep> distribution(MinWorkTime.count(),
                                                                  MaxWorkTime.count());
        it.worker->workTime = Duration(distribution(random));
        it.worker->hasFailingRuns = std::bernoulli_distribution(FailureShare)(random);
        it.worker->tick(now);
    }
    for (; m_loggedViolations < audit.violations.size(); ++m_loggedViolations) {
        log(audit.violations[m_loggedViolations]);
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
            if (it.isRegistered && now - it.downSince > MaxMissedHeartbeats * HeartbeatInterval) {
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
