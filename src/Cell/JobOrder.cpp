#include "Cell/JobOrder.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace firefly {
namespace {

/// A job takes the place of one that asks for at least this many times its work.
constexpr double DisplacementRatio = 2.0;
/// Core-seconds per second of a queue that gets nothing done; keeps times finite.
constexpr double MinRate = 1e-3;

/// Position of a job among those of its priority.
enum class Rank { Displaced, LongRunning, InTime, Late, Useless };

struct Candidate
{
    const JobOrder::Job *job = nullptr;
    TimePoint deadline{};
};

/// The jobs that get a place in the order of their deadlines.
class Timetable
{
public:
    Timetable(double rate, TimePoint now)
        : m_rate(std::max(rate, MinRate))
        , m_now(now)
    {}

    /// Work of jobs that come first in any case.
    void addWork(double coreSeconds) { m_work += coreSeconds; }

    /// Adds \a it if it can meet its deadline; candidates come in the order of their deadlines.
    ///
    /// Returns the candidate that has no place: \a it, another one that it displaced, or none.
    const JobOrder::Job *add(const Candidate &it)
    {
        if (m_now + it.job->remainingPath > it.deadline) {
            return it.job;
        }
        const double end = m_work + it.job->remainingCoreSeconds;
        if (fits(end, it)) {
            m_work = end;
            m_accepted.push_back(it.job);
            return nullptr;
        }
        const auto canYield = [&it](const JobOrder::Job *job) {
            return !job->hasBegun && job->priority == it.job->priority;
        };
        const auto largest =
            std::ranges::max_element(m_accepted, {}, [&canYield](const JobOrder::Job *job) {
                return canYield(job) ? job->remainingCoreSeconds : 0.0;
            });
        const bool isReplaced =
            largest != m_accepted.end() && canYield(*largest)
            && (*largest)->remainingCoreSeconds >= DisplacementRatio * it.job->remainingCoreSeconds
            && fits(end - (*largest)->remainingCoreSeconds, it);
        if (!isReplaced) {
            return it.job;
        }
        const JobOrder::Job *displaced = *largest;
        m_work = end - displaced->remainingCoreSeconds;
        m_accepted.erase(largest);
        m_accepted.push_back(it.job);
        return displaced;
    }

    double work() const { return m_work; }

private:
    /// True if \a it ends in time when all work up to and including its own is \a coreSeconds.
    bool fits(double coreSeconds, const Candidate &it) const
    {
        const std::chrono::duration<double> drain(coreSeconds / m_rate);
        return m_now + std::chrono::duration_cast<Duration>(drain) <= it.deadline;
    }

    double m_rate;
    TimePoint m_now;
    double m_work = 0; ///< Core-seconds that come first.
    std::vector<const JobOrder::Job *> m_accepted;
};

bool ranksFirst(const JobOrder::Job &job)
{
    return job.isDisplaced || job.isLongRunning;
}

/// Ranks the jobs of one queue, which get \a rate core-seconds done per second.
void rankQueue(std::vector<Candidate> candidates, double rate, TimePoint now,
               std::map<std::size_t, Rank> &ranks)
{
    std::ranges::sort(candidates, {}, [](const Candidate &it) {
        return std::tuple(it.job->priority, !ranksFirst(*it.job), !it.job->hasBegun, it.deadline);
    });
    Timetable inTime(rate, now);
    std::vector<Candidate> late;
    for (const Candidate &it : candidates) {
        if (ranksFirst(*it.job)) {
            inTime.addWork(it.job->remainingCoreSeconds);
            ranks[it.job->id] = it.job->isDisplaced ? Rank::Displaced : Rank::LongRunning;
            continue;
        }
        ranks[it.job->id] = Rank::InTime;
        if (const JobOrder::Job *job = inTime.add(it)) {
            late.push_back({job, job->usefulUntil});
        }
    }
    Timetable useful(rate, now);
    useful.addWork(inTime.work());
    std::ranges::sort(late, {},
                      [](const Candidate &it) { return std::pair(it.job->priority, it.deadline); });
    for (const Candidate &it : late) {
        ranks[it.job->id] = Rank::Late;
        if (const JobOrder::Job *job = useful.add(it)) {
            ranks[job->id] = Rank::Useless;
        }
    }
}

} // namespace

std::vector<std::size_t> JobOrder::sort(std::span<const Job> jobs, std::span<const double> rates,
                                        TimePoint now)
{
    std::vector<std::vector<Candidate>> queues(rates.size());
    for (const Job &it : jobs) {
        queues[it.queue].push_back({&it, it.objective});
    }
    std::map<std::size_t, Rank> ranks;
    for (std::size_t i = 0; i < queues.size(); ++i) {
        rankQueue(std::move(queues[i]), rates[i], now, ranks);
    }
    std::vector<const Job *> order;
    for (const Job &it : jobs) {
        order.push_back(&it);
    }
    std::ranges::stable_sort(order, {}, [&ranks](const Job *it) {
        return std::tuple(it->priority, ranks.at(it->id), it->objective);
    });
    std::vector<std::size_t> ids;
    for (const Job *it : order) {
        ids.push_back(it->id);
    }
    return ids;
}

} // namespace firefly
