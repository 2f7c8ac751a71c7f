#pragma once

#include "SoakFleet.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>

namespace firefly::soak {

/// Draws faults from the soak's seed and mends them; they come in series and overlap.
class FaultSchedule
{
public:
    FaultSchedule(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed);

    /// Begins faults until \a until; all are over a few seconds later.
    void start(TimePoint until);
    /// True once no fault is left.
    bool isOver() const;
    /// What was injected and how often.
    std::string summary() const;

private:
    using Action = std::function<void()>;

    void next();
    void inject();
    /// Runs \a action after \a delay; the schedule isn't over before.
    void after(Duration delay, const Action &action);
    Duration draw(Duration least, Duration most);
    SoakNode &anyNode();
    SoakWorker &anyWorker();
    LinkProxy &anyLink();

    void freeze(SoakNode &node);
    void kill(SoakNode &node);
    void terminate(SoakNode &node);
    void awaitEnd(SoakNode &node, Duration pause);
    void killAll();
    void disturb(LinkProxy &link);
    void disturbStore();

    asio::io_context &m_context;
    SoakFleet &m_fleet;
    std::mt19937_64 m_random; ///< Its own: the schedule depends on nothing but the seed.
    asio::basic_waitable_timer<Clock> m_timer;
    TimePoint m_until{};
    int m_open = 0;
    std::map<std::string, int> m_counts;
    std::map<const SoakNode *, bool> m_isDisturbed; ///< One signal at a time for each process.
    std::map<const LinkProxy *, int> m_linkFaults;
};

} // namespace firefly::soak
