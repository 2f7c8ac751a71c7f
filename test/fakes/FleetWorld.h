#pragma once

#include "fakes/CellWorld.h"
#include "fakes/LongRunningTasks.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace firefly {

/// Simulation of several cells that advance together, each with workers and a store of its own.
///
/// Carries the requests between the cells, tells each owner the loads of the others, and checks
/// the invariants of delegated tasks after each step.
class FleetWorld
{
public:
    FleetWorld(std::uint32_t seed, int cellCount, int workersPerCell)
        : m_random(seed)
    {
        for (int i = 0; i < cellCount; ++i) {
            cells.push_back(std::make_unique<CellWorld>(seed * static_cast<std::uint32_t>(cellCount)
                                                            + static_cast<std::uint32_t>(i),
                                                        workersPerCell, i));
            cells.back()->onDelegate = [this, i](const DelegateTasks &it) { send(i, it); };
            cells.back()->onRevoke = [this, i](const RevokeDelegation &it) { send(i, it); };
            cells.back()->onReturn = [this, i](const ReturnTasks &it) { send(i, it); };
        }
    }

    CellWorld &cell(int i) { return *cells.at(static_cast<std::size_t>(i)); }
    const CellWorld &cell(int i) const { return *cells.at(static_cast<std::size_t>(i)); }
    int cellCount() const { return static_cast<int>(cells.size()); }
    TimePoint now() const { return cell(0).now; }

    /// Advances the simulated time of all cells by \a span.
    void run(Duration span)
    {
        const TimePoint end = now() + span;
        while (now() < end) {
            step();
        }
    }

    /// Advances the simulated time until \a condition holds, for \a limit at most.  Returns whether
    /// it holds.
    template <typename Condition>
    bool runUntil(const Condition &condition, Duration limit)
    {
        const TimePoint end = now() + limit;
        while (!condition() && now() < end) {
            step();
        }
        return condition();
    }

    /// Advances the simulated time of all cells by one tick.
    void step()
    {
        for (const auto &it : cells) {
            it->step();
        }
        while (!m_events.empty() && m_events.top().at <= now()) {
            const auto action = m_events.top().action;
            m_events.pop();
            action();
        }
        if (now() >= m_nextLoads) {
            m_nextLoads = now() + LoadInterval;
            exchangeLoads();
        }
        checkInvariants();
    }

    /// Number of workers, of all cells, on which \a task runs.
    std::size_t countRuns(const TaskName &task) const
    {
        std::size_t count = 0;
        for (const auto &it : cells) {
            const auto found = it->audit.runningOn.find(task);
            count += found == it->audit.runningOn.end() ? 0 : found->second.size();
        }
        return count;
    }

    /// The cell that the store of \a home names as the guest of \a task.
    std::optional<int> storedGuest(int home, const TaskName &task) const
    {
        const auto it = cell(home).store.find(JobRecords::progressKey(task.job));
        if (it == cell(home).store.end()) {
            return std::nullopt;
        }
        for (const TaskProgress &row : JobRecords::decodeProgress(it->second).tasks) {
            if (row.occurrence == task.occurrence && row.step == task.step
                && row.index == task.index) {
                return row.guest;
            }
        }
        return std::nullopt;
    }

    /// True if the store of \a guest holds \a task as delegated to it.
    bool isAcceptanceStored(int guest, const TaskName &task) const
    {
        const auto it = cell(guest).store.find(JobRecords::delegationKey(task.job));
        if (it == cell(guest).store.end()) {
            return false;
        }
        const TaskDelegation delegation = JobRecords::decodeDelegation(it->second);
        return std::ranges::any_of(delegation.tasks, [&task](const TaskProgress &row) {
            return row.step == task.step && row.index == task.index && !row.isReturned;
        });
    }

    /// Violated invariants, of the fleet and of each cell.
    std::vector<std::string> allViolations() const
    {
        std::vector<std::string> all = violations;
        for (int i = 0; i < cellCount(); ++i) {
            for (const std::string &it : cell(i).audit.violations) {
                all.push_back("cell " + std::to_string(i) + ": " + it);
            }
        }
        return all;
    }

    std::vector<std::unique_ptr<CellWorld>> cells;
    double lostFraction = 0.0;      ///< Fraction of requests that are lost, and of answers.
    double duplicateFraction = 0.0; ///< Fraction of requests that arrive again, seconds later.
    /// Fraction of requests that arrive only after the sender stopped waiting for the answer.
    double lateFraction = 0.0;
    int sentDelegations = 0; ///< DelegateTasks sent, of all cells.
    int sentRevocations = 0; ///< RevokeDelegation sent, of all cells.
    int sentReturns = 0;     ///< ReturnTasks sent, of all cells.
    std::vector<std::string> violations;

private:
    static constexpr Duration AnswerTimeout = std::chrono::milliseconds(1200);
    static constexpr Duration LoadInterval = std::chrono::milliseconds(200);
    /// Age of the loads that an owner sees, in intervals.
    static constexpr std::size_t LoadAge = 2;
    /// Longest time that a start order is under way.
    static constexpr Duration MaxStartDelay = std::chrono::milliseconds(20);
    /// Longest time from the acceptance of a revocation to the end of the last run.
    static constexpr Duration MaxStopTime = std::chrono::seconds(2);

    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    /// What the checks know of a job with delegated tasks.
    struct DelegatedJob
    {
        int home = 0;
        std::map<int, TimePoint> revokedAt; ///< First acceptance of a revocation, by guest.
        std::map<TaskName, std::uint32_t> highestRun;
        std::map<std::pair<int, TaskName>, std::size_t> checkedRuns; ///< By cell and task.
    };

    using Request = std::function<void(const CellScheduler::OnVerdict &)>;
    using OnReply = std::function<void(CellScheduler &sender, bool isAccepted, TimePoint now)>;

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({now() + delay, ++m_eventNumber, std::move(action)});
    }

    Duration randomDelay(int fromMs, int toMs)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(fromMs, toMs)(m_random));
    }
    Duration randomDelay() { return randomDelay(1, 15); }

    /// True with probability \a p.
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(m_random) < p; }

    void send(int home, const DelegateTasks &order)
    {
        ++sentDelegations;
        checkFromNowOn(home, order.job);
        exchange(
            home,
            [this, home, order](const CellScheduler::OnVerdict &onVerdict) {
                CellWorld &guest = cell(order.guest);
                copyAudit(home, order.guest, order.job, order.record);
                guest.owner->acceptTasks(order.job, order.record, guest.now, guest.unixMs(),
                                         onVerdict);
            },
            onDelegationReply(order.job, order.guest));
    }

    void send(int home, const RevokeDelegation &order)
    {
        ++sentRevocations;
        // An owner that was replaced before its first request may have left the delegation.
        checkFromNowOn(home, order.job);
        exchange(
            home,
            [this, order](const CellScheduler::OnVerdict &onVerdict) {
                CellWorld &guest = cell(order.guest);
                guest.owner->revokeTasks(
                    order.job, guest.now, guest.unixMs(),
                    [this, order, onVerdict](CellScheduler::Verdict verdict) {
                        if (verdict == CellScheduler::Verdict::Accepted) {
                            m_jobs.at(order.job.value()).revokedAt.try_emplace(order.guest, now());
                        }
                        onVerdict(verdict);
                    });
            },
            onDelegationReply(order.job, order.guest));
    }

    void send(int guest, const ReturnTasks &order)
    {
        ++sentReturns;
        exchange(
            guest,
            [this, guest, order](const CellScheduler::OnVerdict &onVerdict) {
                CellWorld &home = cell(order.home);
                copyAudit(guest, order.home, order.job, order.record);
                home.owner->takeBackTasks(order.job, order.record, home.now, home.unixMs(),
                                          onVerdict);
            },
            [job = order.job](CellScheduler &owner, bool isAccepted, TimePoint now) {
                owner.onReturnReply(job, isAccepted, now);
            });
    }

    static OnReply onDelegationReply(const JobId &job, int guest)
    {
        return [job, guest](CellScheduler &owner, bool isAccepted, TimePoint now) {
            owner.onDelegationReply(job, guest, isAccepted, now);
        };
    }

    /// Adds the job \a id of the cell \a home to the checks.
    void checkFromNowOn(int home, const JobId &id)
    {
        const auto [it, isNew] = m_jobs.try_emplace(id.value());
        if (isNew) {
            it->second.home = home;
            skipEarlierRuns(it->second, id);
        }
    }

    /// Exempts the runs at home before the first delegation of \a id from the checks.
    void skipEarlierRuns(DelegatedJob &job, const JobId &id) const
    {
        for (const auto &[task, runs] : cell(job.home).audit.runs) {
            if (task.job == id) {
                job.checkedRuns[{job.home, task}] = runs.size();
                job.highestRun[task] = std::ranges::max(runs);
            }
        }
    }

    /// Gives the audit of the cell \a to what its checks need to know of the tasks in \a record,
    /// which the cell \a from gives it.
    void copyAudit(int from, int to, const JobId &job, const std::string &record)
    {
        const TaskDelegation delegation = JobRecords::decodeDelegation(record);
        CellAudit &audit = cell(to).audit;
        audit.specs[job.value()] = delegation.spec;
        for (const TaskProgress &it : delegation.tasks) {
            const TaskName task{job, it.occurrence, it.step, it.index};
            const std::set<std::string> &known = cell(from).audit.checkpoints[task];
            audit.checkpoints[task].insert(known.begin(), known.end());
        }
    }

    /// Delivers \a request of the cell \a sender and its answer to the owner that sent it, which
    /// gets exactly one answer.
    void exchange(int sender, const Request &request, const OnReply &onReply)
    {
        const auto reply = [this, sender, onReply, epoch = cell(sender).epoch,
                            isAnswered = std::make_shared<bool>(false)](bool isAccepted) {
            if (!*isAnswered && cell(sender).epoch == epoch) {
                *isAnswered = true;
                onReply(*cell(sender).owner, isAccepted, now());
            }
        };
        const auto deliver = [this, request, reply] {
            request([this, reply](CellScheduler::Verdict verdict) {
                if (!chance(lostFraction)) {
                    after(randomDelay(),
                          [reply, verdict] { reply(verdict == CellScheduler::Verdict::Accepted); });
                }
            });
        };
        after(AnswerTimeout, [reply] { reply(false); });
        if (chance(duplicateFraction)) {
            after(randomDelay(1, 8000), deliver);
        }
        if (chance(lostFraction)) {
            return;
        }
        after(chance(lateFraction) ? randomDelay(1300, 8000) : randomDelay(), deliver);
    }

    void exchangeLoads()
    {
        std::vector<PublishedState> current;
        for (const auto &it : cells) {
            current.push_back(
                {it->owner->load(), it->owner->roomByService(), it->owner->givenUpJobs()});
        }
        m_loads.push_back(std::move(current));
        if (m_loads.size() <= LoadAge) {
            return;
        }
        const std::vector<PublishedState> known = std::move(m_loads.front());
        m_loads.pop_front();
        for (std::size_t i = 0; i < cells.size(); ++i) {
            CellScheduler &owner = *cells[i]->owner;
            for (const int guest : owner.guests()) {
                owner.onTasksGivenUp(guest, known[static_cast<std::size_t>(guest)].givenUpJobs,
                                     now(), cells[i]->unixMs());
            }
            for (const std::string &service : owner.servicesToDelegate(now())) {
                std::vector<std::optional<GuestOffer>> others(known.size());
                for (std::size_t k = 0; k < known.size(); ++k) {
                    const auto room = known[k].rooms.find(service);
                    if (k != i && room != known[k].rooms.end()) {
                        others[k] = GuestOffer{known[k].load, room->second};
                    }
                }
                owner.delegateTasks(service, others, now());
            }
        }
    }

    void checkInvariants()
    {
        for (auto &[id, job] : m_jobs) {
            const JobSpec &spec = cell(job.home).audit.specs.at(id);
            for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
                for (std::uint32_t i = 0; i < spec.steps[s].taskCount; ++i) {
                    checkTask(job, {JobId(id), 0, s, i});
                }
            }
        }
    }

    void checkTask(DelegatedJob &job, const TaskName &task)
    {
        if (countRuns(task) > 1) {
            addViolation("runs on more than one worker", task);
        }
        for (int i = 0; i < cellCount(); ++i) {
            checkStarts(job, i, task);
            const auto revokedAt = job.revokedAt.find(i);
            if (revokedAt != job.revokedAt.end() && now() > revokedAt->second + MaxStopTime
                && isRunning(cell(i), task)) {
                addViolation("runs although its delegation was revoked", task);
            }
        }
    }

    /// Checks the runs of \a task that started in the cell \a i since the last check.
    void checkStarts(DelegatedJob &job, int i, const TaskName &task)
    {
        const auto found = cell(i).audit.runs.find(task);
        if (found == cell(i).audit.runs.end()) {
            return;
        }
        std::size_t &checked = job.checkedRuns[{i, task}];
        const auto revokedAt = job.revokedAt.find(i);
        const bool isRevoked = revokedAt != job.revokedAt.end();
        for (; checked < found->second.size(); ++checked) {
            const std::uint32_t run = found->second[checked];
            std::uint32_t &highest = job.highestRun[task];
            if (run <= highest) {
                addViolation("run number doesn't rise", task);
            }
            highest = std::max(highest, run);
            const std::optional<int> guest = storedGuest(job.home, task);
            if (i == job.home && guest) {
                addViolation("starts at home after its delegation", task);
            }
            if (i != job.home && guest != i && !isRevoked) {
                addViolation("starts before its delegation is durable", task);
            }
            if (i != job.home && !isAcceptanceStored(i, task)) {
                addViolation("starts before its guest has stored it", task);
            }
            if (isRevoked && now() > revokedAt->second + MaxStartDelay) {
                addViolation("starts after its delegation was revoked", task);
            }
        }
    }

    void addViolation(const std::string &what, const TaskName &task)
    {
        std::string text = task.job.value() + "." + std::to_string(task.index) + " " + what;
        if (std::ranges::find(violations, text) == violations.end()) {
            violations.push_back(std::move(text));
        }
    }

    std::mt19937 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    /// What an owner publishes of its cell.
    struct PublishedState
    {
        CellLoad load;
        std::map<std::string, ServiceRoom> rooms;
        std::vector<JobId> givenUpJobs;
    };
    std::deque<std::vector<PublishedState>> m_loads; ///< Of all cells, oldest first.
    TimePoint m_nextLoads{};
    std::map<std::string, DelegatedJob> m_jobs; ///< By id.
};

} // namespace firefly
