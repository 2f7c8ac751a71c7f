#include "FaultSchedule.h"

#include <csignal>
#include <memory>

namespace firefly::soak {
namespace {

constexpr Duration ShortestPause = std::chrono::milliseconds(100);
constexpr Duration LongestPause = std::chrono::milliseconds(1500);
constexpr Duration ShortestFault = std::chrono::milliseconds(200);
constexpr Duration LongestFault = std::chrono::milliseconds(6000);
constexpr Duration LongestDelay = std::chrono::milliseconds(300);
constexpr Duration ShortestDelay = std::chrono::milliseconds(20);
constexpr Duration EndPoll = std::chrono::milliseconds(20);

} // namespace

FaultSchedule::FaultSchedule(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed)
    : m_context(context)
    , m_fleet(fleet)
    , m_random(seed)
    , m_timer(context)
{}

void FaultSchedule::start(TimePoint until)
{
    m_until = until;
    next();
}

bool FaultSchedule::isOver() const
{
    return m_open == 0 && Clock::now() >= m_until;
}

std::string FaultSchedule::summary() const
{
    std::string text;
    for (const auto &[name, count] : m_counts) {
        text += (text.empty() ? "" : ", ") + name + " " + std::to_string(count);
    }
    return text;
}

void FaultSchedule::next()
{
    m_timer.expires_after(draw(ShortestPause, LongestPause));
    m_timer.async_wait([this](asio::error_code ec) {
        if (ec || Clock::now() >= m_until) {
            return;
        }
        inject();
        next();
    });
}

void FaultSchedule::inject()
{
    constexpr int Kinds = 12;
    switch (std::uniform_int_distribution<int>(0, Kinds - 1)(m_random)) {
    case 0:
        freeze(anyNode());
        break;
    case 1:
        kill(anyNode());
        break;
    case 2:
        terminate(anyNode());
        break;
    case 3: {
        SoakNode &node = anyNode();
        ++m_counts["settings"];
        node.settings.cpuShare = 0.1 + 0.1 * static_cast<double>(m_random() % 5);
        m_fleet.writeSettings(node);
        node.process->signal(SIGHUP);
        break;
    }
    case 4:
        killAll();
        break;
    case 5:
        ++m_counts["worker crash"];
        m_fleet.crash(anyWorker(), draw(ShortestFault, LongestFault));
        break;
    case 6:
        ++m_counts["configuration"];
        m_fleet.publishConfig();
        break;
    case 7:
        disturbStore();
        break;
    case 8: {
        SoakWorker &worker = anyWorker();
        ++m_counts["worker drains"];
        worker.worker->isDraining = true;
        after(draw(ShortestFault, LongestFault),
              [this, &worker] { m_fleet.crash(worker, ShortestFault); });
        break;
    }
    default:
        disturb(anyLink());
        break;
    }
}

void FaultSchedule::after(Duration delay, const Action &action)
{
    ++m_open;
    const auto timer = std::make_shared<asio::basic_waitable_timer<Clock>>(m_context, delay);
    timer->async_wait([this, timer, action](asio::error_code) {
        --m_open;
        action();
    });
}

Duration FaultSchedule::draw(Duration least, Duration most)
{
    std::uniform_int_distribution<Duration::rep> span(least.count(), most.count());
    return Duration(span(m_random));
}

SoakNode &FaultSchedule::anyNode()
{
    return m_fleet.nodes[m_random() % m_fleet.nodes.size()];
}

SoakWorker &FaultSchedule::anyWorker()
{
    return m_fleet.workers[m_random() % m_fleet.workers.size()];
}

LinkProxy &FaultSchedule::anyLink()
{
    switch (std::uniform_int_distribution<int>(0, 2)(m_random)) {
    case 0:
        return *anyNode().callers;
    case 1:
        return *anyNode().store;
    default:
        return *anyWorker().link;
    }
}

void FaultSchedule::freeze(SoakNode &node)
{
    if (std::exchange(m_isDisturbed[&node], true)) {
        return;
    }
    ++m_counts["freeze"];
    node.process->signal(SIGSTOP);
    after(draw(ShortestFault, LongestFault), [this, &node] {
        node.process->signal(SIGCONT);
        m_isDisturbed[&node] = false;
    });
}

void FaultSchedule::kill(SoakNode &node)
{
    if (std::exchange(m_isDisturbed[&node], true)) {
        return;
    }
    ++m_counts["kill"];
    node.process->signal(SIGKILL);
    awaitEnd(node, draw(ShortestFault, LongestFault));
}

void FaultSchedule::terminate(SoakNode &node)
{
    if (std::exchange(m_isDisturbed[&node], true)) {
        return;
    }
    ++m_counts["terminate"];
    node.process->signal(SIGTERM);
    after(node.settings.gracePeriod, [&node] {
        if (node.process->isRunning()) {
            node.process->signal(SIGKILL);
        }
    });
    awaitEnd(node, draw(ShortestFault, LongestFault));
}

void FaultSchedule::awaitEnd(SoakNode &node, Duration pause)
{
    after(EndPoll, [this, &node, pause] {
        if (node.process->isRunning()) {
            awaitEnd(node, pause);
            return;
        }
        after(pause, [this, &node] {
            node.process->start();
            m_isDisturbed[&node] = false;
        });
    });
}

void FaultSchedule::killAll()
{
    for (SoakNode &it : m_fleet.nodes) {
        kill(it);
    }
}

void FaultSchedule::disturb(LinkProxy &link)
{
    switch (std::uniform_int_distribution<int>(0, 4)(m_random)) {
    case 0:
        ++m_counts["link reset"];
        link.reset();
        return;
    case 1:
        ++m_counts["link requests cut"];
        link.isRequestCut = true;
        break;
    case 2:
        ++m_counts["link answers cut"];
        link.isAnswerCut = true;
        break;
    case 3:
        ++m_counts["link silent"];
        link.isRequestCut = true;
        link.isAnswerCut = true;
        break;
    default:
        ++m_counts["link slow"];
        link.delay = draw(ShortestDelay, LongestDelay);
        break;
    }
    ++m_linkFaults[&link];
    after(draw(ShortestFault, LongestFault), [this, &link] {
        if (--m_linkFaults[&link] > 0) {
            return;
        }
        link.isRequestCut = false;
        link.isAnswerCut = false;
        link.delay = {};
    });
}

void FaultSchedule::disturbStore()
{
    if (m_random() % 2 == 0) {
        ++m_counts["store refuses"];
        m_fleet.store.isRefusing = true;
        after(draw(ShortestFault, LongestFault), [this] { m_fleet.store.isRefusing = false; });
        return;
    }
    ++m_counts["store slow"];
    m_fleet.store.delay = draw(ShortestDelay, LongestDelay);
    after(draw(ShortestFault, LongestFault), [this] { m_fleet.store.delay = {}; });
}

} // namespace firefly::soak
