#pragma once

#include "SoakFleet.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>

namespace firefly::soak {

/// Injects random faults and ends each after a random time; faults may overlap.
class FaultSchedule
{
public:
    FaultSchedule(asio::io_context &context, SoakFleet &fleet, const SoakOptions &options);

    /// Injects faults until \a endAt; the last of them end a few seconds later.
    void start(TimePoint endAt);
    /// True once the schedule has ended and no fault is active.
    bool isOver() const;
    /// Number of injected faults by kind.
    std::string summary() const;

private:
    using Action = std::function<void()>;

    void scheduleNext();
    void injectFault();
    /// Runs \a action after \a delay; isOver() is false until then.
    void runAfter(Duration delay, const Action &action);
    Duration drawDuration(Duration min, Duration max);
    static Duration drawDuration(std::mt19937_64 &random, Duration min, Duration max);
    SoakNode &randomNode();
    SoakWorker &randomWorker();
    LinkProxy &randomLink();
    /// The process that reaches the store by \a link; null if none does.
    SoakNode *nodeOf(const LinkProxy &link);

    void freeze(SoakNode &node, std::mt19937_64 &random);
    void kill(SoakNode &node, std::mt19937_64 &random);
    /// Draws from \a random how long the process stays away and what it meets while it drains.
    void terminate(SoakNode &node, std::mt19937_64 &random);
    void disturbDrain(SoakNode &node, std::mt19937_64 &random);
    /// Runs \a action after \a delay if the process is still draining.
    void runWhileDraining(SoakNode &node, Duration delay, const Action &action);
    void checkEnd(const SoakNode &node);
    void scheduleRestarts();
    /// Terminates many or all processes one after the other.
    void restartInSeries();
    void scheduleLateRequests();
    /// Restarts one to many workers under their ids while their links hold requests, and now and
    /// then the owner of a cell gets a fault meanwhile.
    void restartWorkersBehindLinks();
    void restartBehindLink(SoakWorker &worker, LinkProxy::Held held,
                           std::span<const Duration> restarts);
    void disturbOwner(int cell);
    void beginFault(SoakNode &node);
    void endFault(SoakNode &node);
    void restartAfterExit(SoakNode &node, Duration downtime);
    void killAll();
    void injectLinkFault(LinkProxy &link);
    /// Ends the fault of \a link after \a length, unless another one lasts longer.
    void endLinkFaultAfter(LinkProxy &link, Duration length);
    void injectStoreFault();

    asio::io_context &m_context;
    SoakFleet &m_fleet;
    bool m_hasLateRequests;
    std::mt19937_64 m_random; ///< Not shared, so that the schedule depends only on the seed.
    std::mt19937_64
        m_restartRandom;          ///< For the series, so that they don't change the other faults.
    std::mt19937_64 m_lateRandom; ///< For late requests and what comes with them.
    asio::basic_waitable_timer<Clock> m_timer;
    asio::basic_waitable_timer<Clock> m_restartTimer;
    asio::basic_waitable_timer<Clock> m_lateTimer;
    TimePoint m_endAt{};
    int m_pendingActions = 0; ///< Actions that runAfter() has yet to run.
    std::map<std::string, int> m_counts;
    std::map<const SoakNode *, bool> m_hasFault;   ///< At most one fault at a time per process.
    std::map<const LinkProxy *, int> m_linkFaults; ///< Number of active faults of each link.
};

} // namespace firefly::soak
