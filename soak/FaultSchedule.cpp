#include "FaultSchedule.h"

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

} // namespace

FaultSchedule::FaultSchedule(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed)
    : m_context(context)
    , m_fleet(fleet)
    , m_random(seed)
    , m_timer(context)
{}

void FaultSchedule::start(TimePoint endAt)
{
    m_endAt = endAt;
    scheduleNext();
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
        freeze(randomNode());
        break;
    case 1:
        kill(randomNode());
        break;
    case 2:
        terminate(randomNode());
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
    std::uniform_int_distribution<Duration::rep> distribution(min.count(), max.count());
    return Duration(distribution(m_random));
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

void FaultSchedule::freeze(SoakNode &node)
{
    if (std::exchange(m_hasFault[&node], true)) {
        return;
    }
    ++m_counts["freeze"];
    node.process->signal(SIGSTOP);
    runAfter(drawDuration(MinFaultDuration, MaxFaultDuration), [this, &node] {
        node.process->signal(SIGCONT);
        m_hasFault[&node] = false;
    });
}

void FaultSchedule::kill(SoakNode &node)
{
    if (std::exchange(m_hasFault[&node], true)) {
        return;
    }
    ++m_counts["kill"];
    node.process->signal(SIGKILL);
    restartAfterExit(node, drawDuration(MinFaultDuration, MaxFaultDuration));
}

void FaultSchedule::terminate(SoakNode &node)
{
    if (std::exchange(m_hasFault[&node], true)) {
        return;
    }
    ++m_counts["terminate"];
    node.process->signal(SIGTERM);
    runAfter(node.settings.gracePeriod, [&node] {
        if (node.process->isRunning()) {
            node.process->signal(SIGKILL);
        }
    });
    restartAfterExit(node, drawDuration(MinFaultDuration, MaxFaultDuration));
}

void FaultSchedule::restartAfterExit(SoakNode &node, Duration downtime)
{
    runAfter(ExitPollInterval, [this, &node, downtime] {
        if (node.process->isRunning()) {
            restartAfterExit(node, downtime);
            return;
        }
        runAfter(downtime, [this, &node] {
            node.process->start();
            m_hasFault[&node] = false;
        });
    });
}

void FaultSchedule::killAll()
{
    for (SoakNode &it : m_fleet.nodes) {
        kill(it);
    }
}

void FaultSchedule::injectLinkFault(LinkProxy &link)
{
    switch (std::uniform_int_distribution<int>(0, 4)(m_random)) {
    case 0:
        ++m_counts["link reset"];
        link.reset();
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
    ++m_linkFaults[&link];
    runAfter(drawDuration(MinFaultDuration, MaxFaultDuration), [this, &link] {
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
