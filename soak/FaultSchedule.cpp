#include "FaultSchedule.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <memory>

namespace firefly::soak {
namespace {

constexpr Duration MinFaultInterval = std::chrono::milliseconds(100);
constexpr Duration MaxFaultInterval = std::chrono::milliseconds(1500);
constexpr Duration MinFaultDuration = std::chrono::milliseconds(200);
constexpr Duration MaxFaultDuration = std::chrono::milliseconds(6000);
constexpr Duration MaxDelay = std::chrono::milliseconds(300);
constexpr Duration MinDelay = std::chrono::milliseconds(20);
constexpr Duration ExitPollInterval = std::chrono::milliseconds(20);
constexpr Duration MinSeriesInterval = std::chrono::milliseconds(1000);
constexpr Duration MaxSeriesInterval = std::chrono::milliseconds(7000);
constexpr Duration MinRestartGap = std::chrono::milliseconds(200);
constexpr Duration MaxRestartGap = std::chrono::milliseconds(1000);
/// Signals and freezes come at most this long after SIGTERM.
constexpr Duration MaxDrainTime = std::chrono::milliseconds(4500);
constexpr Duration MaxDrainFreeze = std::chrono::milliseconds(1000);
constexpr double DrainFaultShare = 0.3;
/// From the log line `stopped` to the end of the process.
constexpr Duration MaxExitTime = std::chrono::milliseconds(500);
/// Spreads the seeds of the series away from those of the other faults.
constexpr std::uint64_t SeriesSeedOffset = 1U << 20U;
constexpr std::uint64_t LateSeedOffset = 1U << 21U;
constexpr Duration MinLateInterval = std::chrono::milliseconds(500);
constexpr Duration MaxLateInterval = std::chrono::milliseconds(2500);
/// The workers of a rack don't restart at the very same moment.
constexpr Duration MaxRackSpread = std::chrono::milliseconds(100);
constexpr Duration MaxTimeToRestart = std::chrono::milliseconds(5000);
constexpr double OwnerFaultShare = 0.4;
constexpr double SecondRestartShare = 0.25;

} // namespace

FaultSchedule::FaultSchedule(asio::io_context &context, SoakFleet &fleet,
                             const SoakOptions &options)
    : m_context(context)
    , m_fleet(fleet)
    , m_hasLateRequests(options.hasLateRequests)
    , m_random(options.seed)
    , m_restartRandom(options.seed + SeriesSeedOffset)
    , m_lateRandom(options.seed + LateSeedOffset)
    , m_timer(context)
    , m_restartTimer(context)
    , m_lateTimer(context)
{}

void FaultSchedule::start(TimePoint endAt)
{
    m_endAt = endAt;
    scheduleNext();
    scheduleRestarts();
    if (m_hasLateRequests) {
        scheduleLateRequests();
    }
}

bool FaultSchedule::isOver() const
{
    return m_pendingActions == 0 && Clock::now() >= m_endAt;
}

std::string FaultSchedule::summary() const
{
    std::string text;
    for (const auto &[name, count] : m_counts) {
        text += (text.empty() ? "" : ", ") + name + " " + std::to_string(count);
    }
    return text;
}

void FaultSchedule::scheduleNext()
{
    m_timer.expires_after(drawDuration(MinFaultInterval, MaxFaultInterval));
    m_timer.async_wait([this](asio::error_code ec) {
        if (ec || Clock::now() >= m_endAt) {
            return;
        }
        injectFault();
        scheduleNext();
    });
}

void FaultSchedule::injectFault()
{
    constexpr int FaultKinds = 12;
    switch (std::uniform_int_distribution<int>(0, FaultKinds - 1)(m_random)) {
    case 0:
        freeze(randomNode(), m_random);
        break;
    case 1:
        kill(randomNode(), m_random);
        break;
    case 2:
        terminate(randomNode(), m_random);
        break;
    case 3: {
        SoakNode &node = randomNode();
        ++m_counts["settings"];
        node.settings.capacity.cpuShare = 0.1 + 0.1 * static_cast<double>(m_random() % 5);
        m_fleet.writeSettings(node);
        node.process->signal(SIGHUP);
        break;
    }
    case 4:
        killAll();
        break;
    case 5:
        ++m_counts["worker crash"];
        m_fleet.crash(randomWorker(), drawDuration(MinFaultDuration, MaxFaultDuration));
        break;
    case 6:
        ++m_counts["configuration"];
        m_fleet.publishConfig();
        break;
    case 7:
        injectStoreFault();
        break;
    case 8: {
        SoakWorker &worker = randomWorker();
        ++m_counts["worker drains"];
        worker.worker->isDraining = true;
        runAfter(drawDuration(MinFaultDuration, MaxFaultDuration),
                 [this, &worker] { m_fleet.crash(worker, MinFaultDuration); });
        break;
    }
    default:
        injectLinkFault(randomLink());
        break;
    }
}

void FaultSchedule::runAfter(Duration delay, const Action &action)
{
    ++m_pendingActions;
    const auto timer = std::make_shared<asio::basic_waitable_timer<Clock>>(m_context, delay);
    timer->async_wait([this, timer, action](asio::error_code) {
        --m_pendingActions;
        action();
    });
}

Duration FaultSchedule::drawDuration(Duration min, Duration max)
{
    return drawDuration(m_random, min, max);
}

Duration FaultSchedule::drawDuration(std::mt19937_64 &random, Duration min, Duration max)
{
    std::uniform_int_distribution<Duration::rep> distribution(min.count(), max.count());
    return Duration(distribution(random));
}

SoakNode &FaultSchedule::randomNode()
{
    return m_fleet.nodes[m_random() % m_fleet.nodes.size()];
}

SoakWorker &FaultSchedule::randomWorker()
{
    return m_fleet.workers[m_random() % m_fleet.workers.size()];
}

LinkProxy &FaultSchedule::randomLink()
{
    switch (std::uniform_int_distribution<int>(0, 2)(m_random)) {
    case 0:
        return *randomNode().callers;
    case 1:
        return *randomNode().store;
    default:
        return *randomWorker().link;
    }
}

SoakNode *FaultSchedule::nodeOf(const LinkProxy &link)
{
    const auto it = std::ranges::find_if(
        m_fleet.nodes, [&link](const SoakNode &node) { return node.store.get() == &link; });
    return it == m_fleet.nodes.end() ? nullptr : &*it;
}

void FaultSchedule::freeze(SoakNode &node, std::mt19937_64 &random)
{
    if (std::exchange(m_hasFault[&node], true)) {
        return;
    }
    ++m_counts["freeze"];
    node.process->signal(SIGSTOP);
    beginFault(node);
    runAfter(drawDuration(random, MinFaultDuration, MaxFaultDuration), [this, &node] {
        node.process->signal(SIGCONT);
        endFault(node);
        m_hasFault[&node] = false;
    });
}

void FaultSchedule::kill(SoakNode &node, std::mt19937_64 &random)
{
    if (std::exchange(m_hasFault[&node], true)) {
        return;
    }
    ++m_counts["kill"];
    node.lastFaultAt = Clock::now();
    node.process->signal(SIGKILL);
    restartAfterExit(node, drawDuration(random, MinFaultDuration, MaxFaultDuration));
}

void FaultSchedule::terminate(SoakNode &node, std::mt19937_64 &random)
{
    if (std::exchange(m_hasFault[&node], true)) {
        return;
    }
    ++m_counts["terminate"];
    node.process->signal(SIGTERM);
    node.terminatedAt = Clock::now();
    runWhileDraining(node, node.settings.gracePeriod, [this, &node] {
        m_fleet.audit.violations.push_back("still running at the end of its grace period: "
                                           + node.settings.node + ", log "
                                           + node.process->lastLogLine());
        node.process->signal(SIGKILL);
    });
    restartAfterExit(node, drawDuration(random, MinFaultDuration, MaxFaultDuration));
    // Not drawn from random, so that the other faults of a seed stay the same.
    disturbDrain(node, m_restartRandom);
}

void FaultSchedule::disturbDrain(SoakNode &node, std::mt19937_64 &random)
{
    std::bernoulli_distribution happens(DrainFaultShare);
    for (const int number : {SIGTERM, SIGHUP}) {
        if (!happens(random)) {
            continue;
        }
        runWhileDraining(node, drawDuration(random, {}, MaxDrainTime), [this, &node, number] {
            ++m_counts[number == SIGHUP ? "SIGHUP in drain" : "second SIGTERM"];
            node.process->signal(number);
        });
    }
    if (!happens(random)) {
        return;
    }
    const Duration length = drawDuration(random, {}, MaxDrainFreeze);
    runWhileDraining(node, drawDuration(random, {}, MaxDrainTime), [this, &node, length] {
        ++m_counts["freeze in drain"];
        node.process->signal(SIGSTOP);
        beginFault(node);
        runAfter(length, [this, &node] {
            node.process->signal(SIGCONT);
            endFault(node);
        });
    });
}

void FaultSchedule::runWhileDraining(SoakNode &node, Duration delay, const Action &action)
{
    runAfter(delay, [&node, action, terminatedAt = node.terminatedAt] {
        if (node.terminatedAt == terminatedAt && node.process->isRunning()) {
            action();
        }
    });
}

void FaultSchedule::checkEnd(const SoakNode &node)
{
    // A process that is told to stop before it has logged its start can't handle the signal yet.
    if (node.process->hasBeenKilled() || !node.process->hasLogged()) {
        return;
    }
    const Duration exitTime = node.process->timeSinceLog();
    const std::string line = node.process->lastLogLine();
    if (line.find("\"message\":\"stopped\"") == std::string::npos) {
        m_fleet.audit.violations.push_back("ended without 'stopped': " + node.settings.node
                                           + ", log " + line);
    } else if (exitTime > MaxExitTime && !node.isDisturbedSince(Clock::now() - exitTime)) {
        m_fleet.audit.violations.push_back("ended " + std::to_string(exitTime.count() / 1000)
                                           + " ms after 'stopped': " + node.settings.node + ", log "
                                           + line);
    }
}

void FaultSchedule::scheduleRestarts()
{
    m_restartTimer.expires_after(
        drawDuration(m_restartRandom, MinSeriesInterval, MaxSeriesInterval));
    m_restartTimer.async_wait([this](asio::error_code ec) {
        if (ec || Clock::now() >= m_endAt) {
            return;
        }
        restartInSeries();
        scheduleRestarts();
    });
}

void FaultSchedule::restartInSeries()
{
    ++m_counts["series of restarts"];
    const std::size_t nodes = m_fleet.nodes.size();
    const std::size_t count = nodes - m_restartRandom() % (nodes / 2 + 1);
    const std::size_t first = m_restartRandom() % nodes;
    const Duration gap = drawDuration(m_restartRandom, MinRestartGap, MaxRestartGap);
    for (std::size_t i = 0; i < count; ++i) {
        SoakNode &node = m_fleet.nodes[(first + i) % nodes];
        runAfter(gap * i, [this, &node] { terminate(node, m_restartRandom); });
    }
}

void FaultSchedule::scheduleLateRequests()
{
    m_lateTimer.expires_after(drawDuration(m_lateRandom, MinLateInterval, MaxLateInterval));
    m_lateTimer.async_wait([this](asio::error_code ec) {
        if (ec || Clock::now() >= m_endAt) {
            return;
        }
        restartWorkersBehindLinks();
        scheduleLateRequests();
    });
}

void FaultSchedule::restartWorkersBehindLinks()
{
    constexpr std::array Kinds{LinkProxy::Held::Open, LinkProxy::Held::Open, LinkProxy::Held::Open,
                               LinkProxy::Held::All, LinkProxy::Held::New};
    const LinkProxy::Held held = Kinds.at(m_lateRandom() % Kinds.size());
    std::vector<Duration> restarts{drawDuration(m_lateRandom, {}, MaxTimeToRestart)};
    if (std::bernoulli_distribution(SecondRestartShare)(m_lateRandom)) {
        restarts.push_back(drawDuration(m_lateRandom, restarts.front(), MaxFaultDuration));
    }
    const std::size_t workers = m_fleet.workers.size();
    const std::size_t count = m_lateRandom() % 2 == 0 ? 1 : 1 + m_lateRandom() % (workers / 2);
    const std::size_t first = m_lateRandom() % workers;
    for (std::size_t i = 0; i < count; ++i) {
        restartBehindLink(m_fleet.workers[(first + i) % workers], held, restarts);
    }
    if (std::bernoulli_distribution(OwnerFaultShare)(m_lateRandom)) {
        const auto cell = static_cast<int>(m_lateRandom() % static_cast<unsigned>(m_fleet.cells));
        runAfter(drawDuration(m_lateRandom, {}, MaxFaultDuration),
                 [this, cell] { disturbOwner(cell); });
    }
}

void FaultSchedule::restartBehindLink(SoakWorker &worker, LinkProxy::Held held,
                                      std::span<const Duration> restarts)
{
    const Duration spread = drawDuration(m_lateRandom, {}, MaxRackSpread);
    const Duration releaseAfter =
        drawDuration(m_lateRandom, restarts.front() + spread, MaxFaultDuration);
    if (worker.link->isHolding()) {
        return;
    }
    ++m_counts["worker restarts behind its link"];
    m_fleet.log(worker.id + " requests of connections "
                + (held == LinkProxy::Held::All    ? "all"
                   : held == LinkProxy::Held::Open ? "open"
                                                   : "new")
                + " held");
    worker.link->holdRequests(held);
    for (const Duration it : restarts) {
        runAfter(it + spread, [this, &worker] { m_fleet.restart(worker); });
    }
    runAfter(releaseAfter, [this, &worker] {
        m_fleet.log(worker.id + " requests released");
        worker.link->releaseRequests();
    });
}

void FaultSchedule::disturbOwner(int cell)
{
    SoakNode *const owner = m_fleet.ownerOf(cell);
    if (!owner) {
        return;
    }
    m_fleet.log("fault of the owner, " + owner->settings.node);
    switch (std::uniform_int_distribution<int>(0, 3)(m_lateRandom)) {
    case 0:
        freeze(*owner, m_lateRandom);
        break;
    case 1:
        kill(*owner, m_lateRandom);
        break;
    case 2:
        terminate(*owner, m_lateRandom);
        break;
    default:
        ++m_counts["owner's store link silent"];
        owner->store->isRequestBlocked = true;
        owner->store->isResponseBlocked = true;
        endLinkFaultAfter(*owner->store,
                          drawDuration(m_lateRandom, MinFaultDuration, MaxFaultDuration));
        break;
    }
}

void FaultSchedule::beginFault(SoakNode &node)
{
    ++node.activeFaults;
}

void FaultSchedule::endFault(SoakNode &node)
{
    --node.activeFaults;
    node.lastFaultAt = Clock::now();
}

void FaultSchedule::restartAfterExit(SoakNode &node, Duration downtime)
{
    runAfter(ExitPollInterval, [this, &node, downtime] {
        if (node.process->isRunning()) {
            restartAfterExit(node, downtime);
            return;
        }
        if (node.terminatedAt != TimePoint{}) {
            checkEnd(node);
        }
        runAfter(downtime, [this, &node] {
            node.terminatedAt = {};
            node.process->start();
            m_hasFault[&node] = false;
        });
    });
}

void FaultSchedule::killAll()
{
    for (SoakNode &it : m_fleet.nodes) {
        kill(it, m_random);
    }
}

void FaultSchedule::injectLinkFault(LinkProxy &link)
{
    SoakNode *const node = nodeOf(link);
    switch (std::uniform_int_distribution<int>(0, 4)(m_random)) {
    case 0:
        ++m_counts["link reset"];
        link.reset();
        if (node) {
            node->lastFaultAt = Clock::now();
        }
        return;
    case 1:
        ++m_counts["link requests cut"];
        link.isRequestBlocked = true;
        break;
    case 2:
        ++m_counts["link answers cut"];
        link.isResponseBlocked = true;
        break;
    case 3:
        ++m_counts["link silent"];
        link.isRequestBlocked = true;
        link.isResponseBlocked = true;
        break;
    default:
        ++m_counts["link slow"];
        link.delay = drawDuration(MinDelay, MaxDelay);
        break;
    }
    endLinkFaultAfter(link, drawDuration(MinFaultDuration, MaxFaultDuration));
}

void FaultSchedule::endLinkFaultAfter(LinkProxy &link, Duration length)
{
    SoakNode *const node = nodeOf(link);
    ++m_linkFaults[&link];
    if (node) {
        beginFault(*node);
    }
    runAfter(length, [this, &link, node] {
        if (node) {
            endFault(*node);
        }
        if (--m_linkFaults[&link] > 0) {
            return;
        }
        link.isRequestBlocked = false;
        link.isResponseBlocked = false;
        link.delay = {};
    });
}

void FaultSchedule::injectStoreFault()
{
    if (m_random() % 2 == 0) {
        ++m_counts["store refuses"];
        m_fleet.store.isUnavailable = true;
        runAfter(drawDuration(MinFaultDuration, MaxFaultDuration),
                 [this] { m_fleet.store.isUnavailable = false; });
        return;
    }
    ++m_counts["store slow"];
    m_fleet.store.delay = drawDuration(MinDelay, MaxDelay);
    runAfter(drawDuration(MinFaultDuration, MaxFaultDuration),
             [this] { m_fleet.store.delay = {}; });
}

} // namespace firefly::soak
