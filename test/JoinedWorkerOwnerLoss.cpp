#include "fakes/ClusterWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t SeedCount = 20;

enum class LogFault {
    Late,        ///< Most appends are carried out up to 1.5 s later and never answered.
    LostAnswers, ///< Most appends are carried out at once and never answered.
    Away,        ///< The log answers nothing from the first start on the joined worker on.
};

enum class OwnerLoss {
    Killed,
    Restarted, ///< Killed; a new process of the same name is up after 1 s.
    Frozen,    ///< Stopped for 2 to 7 s, then it goes on with the messages that waited.
};

struct Scenario
{
    LogFault log = LogFault::Late;
    OwnerLoss loss = OwnerLoss::Killed;
    /// Longest time from the owner's loss on for which the other entries' VM lists lack the joined
    /// worker.
    Duration longestHidden = 3s;
    bool losesNextOwner = false; ///< Freezes the next owner too, while it waits or has just begun.
    Duration lease = 1600ms;     ///< Of a worker's tasks, granted with each sync.
    double joinedSlowFactor = 1; ///< Multiplies the time that jobs take on the joined worker.
};

/// What the runs of a scenario covered, to show that they are not vacuous.
struct Coverage
{
    int runningAtLoss = 0;    ///< Runs on the joined worker when the owner was lost.
    int finishedAtLoss = 0;   ///< Runs that had finished there by then, but not yet in the log.
    int startedElsewhere = 0; ///< Jobs of the joined worker that later started on another one.
    int calls = 0;            ///< Executed calls with a key.

    Coverage &operator+=(const Coverage &other)
    {
        runningAtLoss += other.runningAtLoss;
        finishedAtLoss += other.finishedAtLoss;
        startedElsewhere += other.startedElsewhere;
        calls += other.calls;
        return *this;
    }
};

/// Cluster in which w0 crashes while the log has a fault, w4 joins in its place and is listed to
/// the shard's owner only, and the owner is lost 1 to 3 s after its first start there.
class JoinedWorkerWorld : public fakes::ClusterWorld
{
public:
    JoinedWorkerWorld(const Scenario &scenario, std::uint64_t seed)
        : ClusterWorld(scenario.lease)
        , m_scenario(scenario)
    {
        m_random.seed(seed);
    }

    void run()
    {
        submitJobs(8);
        advanceChecked(1500ms);
        submitJobs(16);
        if (m_scenario.log != LogFault::Away) {
            m_unansweredAppendPercent = 70;
            m_longestAppendDelay =
                m_scenario.log == LogFault::Late ? Duration(1500ms) : Duration(1);
        }
        const std::size_t owner = awaitOwnerOfJoined();
        replaceFirstWorker(owner);
        FIREFLY_ASSERT(advanceUntilStart(), "the joined worker must get a job");
        m_isLogDown = m_scenario.log == LogFault::Away;
        advanceChecked(1s + randomUpTo(2s));
        countRunsAtLoss();
        loseOwner(owner, m_scenario.loss);
        m_timeline.after(randomUpTo(m_scenario.longestHidden), [this] { m_hiddenWorkers.clear(); });
        advanceChecked(randomUpTo(3s));
        m_unansweredAppendPercent = 0;
        m_isLogDown = false;
        if (m_scenario.losesNextOwner) {
            advanceChecked(3s + randomUpTo(4s));
            loseOwner(awaitOwnerOfJoined(), OwnerLoss::Frozen);
        }
        advanceChecked(std::max(m_scenario.longestHidden, Duration(10s)));
        settle();
        // With a longer lag the next owner can't ask the worker before its lease has expired.
        checkRuns(m_scenario.longestHidden <= 3s);
    }

    const Coverage &coverage() const { return m_coverage; }

    /// One line for each run, with times in milliseconds.
    std::string describeRuns() const
    {
        std::string text;
        for (const auto &worker : m_workers) {
            for (const auto &it : worker->records().tasks) {
                text += it.job + "#" + std::to_string(it.attempt) + " on " + worker->id().value()
                        + " term " + std::to_string(it.term) + " from "
                        + std::to_string(it.beginUs / 1000) + " to "
                        + std::to_string(it.endUs / 1000) + " " + it.outcome + "\n";
            }
        }
        return text;
    }

private:
    static constexpr std::size_t Crashed = 0;
    static constexpr std::size_t Joined = Workers;
    static constexpr Duration Slice = 50ms;

    Duration randomUpTo(Duration longest) { return Duration(m_random() % longest.count()); }

    void note(const std::string &event)
    {
        m_trace.push_back(std::to_string(m_timeline.now().time_since_epoch().count() / 1000)
                          + " ms " + event);
    }

    void submitJobs(int n)
    {
        for (int i = 0; i < n; ++i) {
            submitJob(static_cast<std::uint32_t>(m_random()));
        }
    }

    void advanceChecked(Duration by)
    {
        const TimePoint end = m_timeline.now() + by;
        while (m_timeline.now() < end) {
            advance(std::min(Slice, end - m_timeline.now()));
            const auto value = static_cast<std::uint32_t>(m_random());
            callSwap(value);
            if (value % 16 == 0) {
                editListsOnTwoEntries(value);
            }
            recordReportedEnds();
        }
    }

    /// Owner of the joined worker's shard; during a handover, waits for the next one.
    std::size_t awaitOwnerOfJoined()
    {
        for (int i = 0; i < 100; ++i) {
            if (const auto owner = findOwnerOfJoined()) {
                return indexOf(owner->entry);
            }
            advanceChecked(Slice);
        }
        FIREFLY_ASSERT(false, "the shard must have an owner");
        return 0;
    }

    /// Owner according to the entry that has read most of the log.
    std::optional<ShardOwner> findOwnerOfJoined() const
    {
        const EntryCore *newest = nullptr;
        for (const Entry &it : m_entries) {
            const bool isNewer =
                it.core
                && (newest == nullptr
                    || it.core->log().state().applied() > newest->log().state().applied());
            newest = isNewer ? it.core.get() : newest;
        }
        return newest->log().state().get<OwnershipFold>().ownerOf(m_workerInfos[Crashed].shard());
    }

    void replaceFirstWorker(std::size_t owner)
    {
        m_workers[Crashed]->reboot(m_timeline.now());
        m_silentWorkers.insert(workerId(Crashed).value());
        note("w0 crashes");
        advanceChecked(500ms);
        m_workers.push_back(std::make_unique<standins::StandinWorker>(workerId(Joined), Capacity,
                                                                      m_profile, "boot", Joined));
        m_workers[Joined]->setSlowFactor(m_scenario.joinedSlowFactor, m_timeline.now());
        m_workerInfos[Crashed].id = workerId(Joined);
        for (std::size_t i = 0; i < Entries; ++i) {
            if (i != owner) {
                m_hiddenWorkers.insert({entryNode(i), workerId(Joined)});
            }
        }
        publishVmList();
        note("w4 joins");
    }

    bool advanceUntilStart()
    {
        for (int i = 0; i < 200 && m_workers[Joined]->records().tasks.empty(); ++i) {
            advanceChecked(Slice);
        }
        return !m_workers[Joined]->records().tasks.empty();
    }

    void loseOwner(std::size_t owner, OwnerLoss loss)
    {
        note("entry " + entryNode(owner) + " is lost");
        if (loss == OwnerLoss::Frozen) {
            m_entries[owner].pausedUntil = m_timeline.now() + 2s + randomUpTo(5s);
            return;
        }
        killEntry(static_cast<std::uint32_t>(owner));
        if (loss == OwnerLoss::Restarted) {
            m_timeline.after(1s, [this, owner] { boot(owner); });
        }
    }

    void countRunsAtLoss()
    {
        std::set<std::string> stored;
        for (const LoggedEnvelope &it : m_log.read(m_log.head()).envelopes) {
            if (const auto *finished = std::get_if<JobFinished>(&it.envelope.record)) {
                stored.insert(finished->job.value());
            }
        }
        m_workers[Joined]->advanceTo(m_timeline.now());
        for (const auto &it : m_workers[Joined]->records().tasks) {
            const bool isUnstored = it.outcome == "finished" && !stored.contains(it.job);
            m_coverage.runningAtLoss += it.outcome == "running" ? 1 : 0;
            m_coverage.finishedAtLoss += isUnstored ? 1 : 0;
        }
    }

    /// Notes when an entry first showed a job as finished.
    void recordReportedEnds()
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            if (!isRunning(i)) {
                continue;
            }
            const auto &ledger = m_entries[i].core->log().state().get<JobLedger>();
            for (const JobId &id : m_acceptedJobs) {
                const Job *job = ledger.find(id);
                if (job != nullptr && job->state == BatchJobState::Finished) {
                    m_reportedAt.try_emplace(id.value(), m_timeline.now());
                }
            }
        }
    }

    void checkRuns(bool isFinishedRunLast)
    {
        std::map<std::string, std::int64_t> startedAt;
        std::map<std::string, std::int64_t> finishedAt;
        for (const auto &it : m_workers[Joined]->records().tasks) {
            startedAt.try_emplace(it.job, it.beginUs);
            if (it.outcome == "finished") {
                finishedAt[it.job] = it.endUs;
            }
        }
        for (const auto &worker : m_workers) {
            for (const auto &it : worker->records().tasks) {
                const auto reported = m_reportedAt.find(it.job);
                FIREFLY_ASSERT(reported == m_reportedAt.end()
                                   || it.beginUs <= reported->second.time_since_epoch().count(),
                               "a job must not start after it was reported as finished");
                const auto finished = finishedAt.find(it.job);
                FIREFLY_ASSERT(!isFinishedRunLast || finished == finishedAt.end()
                                   || it.beginUs < finished->second,
                               "a job must not start again after a run has finished");
                const auto started = startedAt.find(it.job);
                const bool isElsewhere = started != startedAt.end() && it.beginUs > started->second
                                         && worker != m_workers[Joined];
                m_coverage.startedElsewhere += isElsewhere ? 1 : 0;
            }
            m_coverage.calls += static_cast<int>(std::ranges::count_if(
                worker->records().calls, [](const auto &it) { return !it.key.empty(); }));
        }
    }

    Scenario m_scenario;
    Coverage m_coverage;
    std::map<std::string, TimePoint> m_reportedAt; ///< By job.
};

Coverage expectNoViolation(const Scenario &scenario)
{
    Coverage sum;
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
        JoinedWorkerWorld world(scenario, seed);
        try {
            world.run();
        } catch (const std::exception &e) {
            ADD_FAILURE() << "seed " << seed << ": " << e.what() << "\n"
                          << testing::PrintToString(world.trace()) << "\n"
                          << world.describeRuns();
        }
        sum += world.coverage();
    }
    EXPECT_GE(sum.runningAtLoss, static_cast<int>(SeedCount) / 2);
    EXPECT_GT(sum.calls, 0);
    return sum;
}

class JoinedWorkerOwnerLoss : public testing::TestWithParam<OwnerLoss>
{};

// A job runs twice, or a call with a key is executed twice, because the record of its start, of its
// end or of the call's intent was still on its way to the log when the owner was lost.
TEST_P(JoinedWorkerOwnerLoss, nothingRunsTwiceWhenAppendsAreCarriedOutLate)
{
    EXPECT_GT(expectNoViolation({LogFault::Late, GetParam()}).finishedAtLoss, 0);
}

// The same when the records are stored and only their answers are lost, so that they are repeated.
TEST_P(JoinedWorkerOwnerLoss, nothingRunsTwiceWhenAnswersOfTheLogAreLost)
{
    EXPECT_GT(expectNoViolation({LogFault::LostAnswers, GetParam()}).finishedAtLoss, 0);
}

// A job starts again after its run on the joined worker has ended while the log was away.
TEST_P(JoinedWorkerOwnerLoss, nothingRunsTwiceWhenTheLogIsAway)
{
    EXPECT_GT(expectNoViolation({LogFault::Away, GetParam()}).finishedAtLoss, 0);
}

// The next owner, or the one after it, starts a job again although a worker that it doesn't know
// from its VM list still runs it.
TEST_P(JoinedWorkerOwnerLoss, nothingRunsTwiceWhenTheNextOwnerDoesNotKnowTheWorker)
{
    for (const LogFault log : {LogFault::Late, LogFault::Away}) {
        const Coverage coverage = expectNoViolation({.log = log,
                                                     .loss = GetParam(),
                                                     .longestHidden = 30s,
                                                     .losesNextOwner = true,
                                                     .lease = 6s,
                                                     .joinedSlowFactor = 4});
        EXPECT_GT(coverage.startedElsewhere, 0);
    }
}

std::string nameOf(const testing::TestParamInfo<OwnerLoss> &info)
{
    switch (info.param) {
    case OwnerLoss::Killed:
        return "Killed";
    case OwnerLoss::Restarted:
        return "Restarted";
    case OwnerLoss::Frozen:
        break;
    }
    return "Frozen";
}

INSTANTIATE_TEST_SUITE_P(Losses, JoinedWorkerOwnerLoss,
                         testing::Values(OwnerLoss::Killed, OwnerLoss::Restarted,
                                         OwnerLoss::Frozen),
                         nameOf);

} // namespace
} // namespace firefly
