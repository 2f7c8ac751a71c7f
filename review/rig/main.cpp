/// \file Plays one case of the review against real processes, and judges it.

#include "../../platform/Wire.h"
#include "Fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>
#include <map>
#include <set>
#include <string>

namespace firefly::review {
namespace {

using namespace std::chrono_literals;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

const Queue Urgent{"r-3hwrr6x", "nony24.example", "/lohu930/", 0, 4, 1.5, 250};
const Queue Batch{"r-73d3zji", "ficu95.example", "/pufi791/", 2, 4, 2.0, 1000};
const Queue Standing{"r-9n73hh2", "nony24.example", "/pule252/", 0, 2, 2.2, 2500};

std::string jobId(int number)
{
    char id[32];
    std::snprintf(id, sizeof id, "5c0e7a21d94b%04x", number);
    return id;
}

std::string nameOf(const RunRecord &run)
{
    return platform::formatTaskName(run.task) + " run " + std::to_string(run.run) + " on "
           + run.worker;
}

/// True if the lease of the worker of \a run has ended between the end of the run and \a until.
bool hasLapsedSince(const Fleet &fleet, const RunRecord &run, TimePoint until)
{
    const auto [first, last] = fleet.leaseEnds.equal_range(run.worker);
    return std::any_of(first, last, [&](const auto &it) {
        return it.second >= run.endedAt && it.second <= until;
    });
}

/// Finds what the rule TWICE forbids, and writes it to the record; the number of cases.
int countTwice(Fleet &fleet)
{
    int count = 0;
    std::map<TaskName, std::vector<const RunRecord *>> byTask;
    for (const RunRecord &it : fleet.runs) {
        byTask[it.task].push_back(&it);
    }
    for (const auto &[task, runs] : byTask) {
        for (std::size_t i = 0; i < runs.size(); ++i) {
            for (std::size_t j = i + 1; j < runs.size(); ++j) {
                const RunRecord &first = *runs[i];
                const RunRecord &second = *runs[j];
                const bool hasEnded = first.endedAt != TimePoint{};
                if (!hasEnded || second.startedAt < first.endedAt) {
                    fleet.note("TWICE: " + nameOf(second) + " began while " + nameOf(first)
                               + " was running");
                    ++count;
                } else if (!first.isLost && first.reason == RunEndReason::Done && first.isNoted
                           && !hasLapsedSince(fleet, first, first.notedAt)) {
                    fleet.note("TWICE: " + nameOf(second) + " began after " + nameOf(first)
                               + " had ended done as number " + std::to_string(first.endNumber)
                               + ", an end that was taken note of");
                    ++count;
                }
            }
        }
    }
    return count;
}

int judge(Fleet &fleet, int broken)
{
    if (fleet.hasCrashed()) {
        fleet.note("a process of the system ended by itself");
    }
    fleet.note(broken > 0 ? "the rule was broken, times: " + std::to_string(broken)
                          : "the rule held");
    return broken > 0 ? ExitBroken : ExitHeld;
}

/// More than 500 runs end on one worker while the store is down.
int playManyEnds(Fleet &fleet, bool hasTrouble)
{
    constexpr int Jobs = 18;
    constexpr std::uint32_t Width = 36;
    constexpr std::size_t Tasks = std::size_t(Jobs) * Width;
    constexpr std::int64_t WorkMs = 4000;
    const TaskBehaviour task{45, 100, WorkMs, WorkMs + 400};
    const Step step{Width, task, WorkMs};
    const TimePoint begin = Clock::now();
    int accepted = 0;
    int answered = 0;
    for (int i = 0; i < Jobs; ++i) {
        fleet.callAsync(
            static_cast<std::size_t>(i), "POST", Batch, jobId(i), Fleet::encodeJob({step}),
            [&fleet, &accepted, &answered, i](const auto &it) {
                ++answered;
                accepted += it.isSuccess() ? 1 : 0;
                fleet.note("client: POST " + jobId(i) + " -> " + std::to_string(it.statusCode));
            });
        fleet.runFor(100ms);
    }
    if (!fleet.runUntil(5s, [&] { return answered == Jobs; }) || accepted < Jobs) {
        return ExitNotRun;
    }
    fleet.runUntil(3500ms - (Clock::now() - begin), [] { return false; });
    if (hasTrouble) {
        fleet.note("the store is down (503) for 4.5 s");
        fleet.store().isUnavailable = true;
        fleet.runFor(4500ms);
        fleet.store().isUnavailable = false;
        fleet.note("the store is up");
    }
    std::size_t most = 0;
    const auto isOver = [&] {
        for (const auto &it : fleet.workers) {
            most = std::max(most, it->endCount());
        }
        return std::ranges::all_of(fleet.workers, [](const auto &it) {
            return it->runningCount() == 0 && it->endCount() == 0;
        });
    };
    fleet.runUntil(30s, isOver);
    fleet.runFor(3s);
    std::set<TaskName> done;
    for (const RunRecord &it : fleet.runs) {
        if (it.endedAt != TimePoint{} && it.reason == RunEndReason::Done && !it.isLost) {
            done.insert(it.task);
        }
    }
    fleet.note("tasks that ended done: " + std::to_string(done.size()) + " of "
               + std::to_string(Tasks) + ", runs: " + std::to_string(fleet.runs.size()));
    if (done.size() != Tasks) {
        return ExitNotRun;
    }
    return judge(fleet, countTwice(fleet));
}

/// A start is carried out late, by a worker that has restarted under its id meanwhile.
int playLateStart(Fleet &fleet, bool hasTrouble)
{
    const TaskBehaviour task{2300, 4600, 15000, 15000};
    Worker *late = nullptr;
    TimePoint orderedAt{};
    for (const auto &it : fleet.workers) {
        it->lateBy = [&, worker = it.get()](const HttpRequest &request) -> std::optional<Duration> {
            if (!hasTrouble || late || request.path != "/run-start") {
                return std::nullopt;
            }
            late = worker;
            orderedAt = Clock::now();
            return 4s;
        };
    }
    if (!fleet.submit(Urgent, jobId(1), {Step{1, task, 15000}})) {
        return ExitNotRun;
    }
    if (hasTrouble) {
        if (!fleet.runUntil(10s, [&] { return late != nullptr; })) {
            return ExitNotRun;
        }
        fleet.runUntil(1500ms - (Clock::now() - orderedAt), [] { return false; });
        fleet.crash(*late);
        fleet.runFor(500ms);
        fleet.restart(*late);
        fleet.checkIn(*late);
    }
    fleet.runFor(25s);
    const std::string state = fleet.stateOf(Urgent, jobId(1));
    if (fleet.runs.empty() || state.empty()) {
        return ExitNotRun;
    }
    return judge(fleet, countTwice(fleet));
}

/// Each worker that starts a task of a standing job is slow to answer for some seconds.
int playSlowAnswers(Fleet &fleet, bool hasTrouble)
{
    constexpr Duration SilentTime = 5500ms;
    constexpr Duration Lateness = 2s;
    const TaskBehaviour task{6400, 13000, 0, 0};
    std::map<std::string, TimePoint> silentUntil;
    int orders = 0;
    int unanswered = 0;
    fleet.afterStart = [&](const RunRecord &it) {
        if (hasTrouble) {
            silentUntil[it.worker] = Clock::now() + SilentTime;
            fleet.note(it.worker + " leaves its orders unanswered for 5.5 s");
        }
    };
    for (const auto &it : fleet.workers) {
        it->lateBy = [&, id = it->id()](const HttpRequest &) -> std::optional<Duration> {
            ++orders;
            const auto silent = silentUntil.find(id);
            if (silent == silentUntil.end() || Clock::now() >= silent->second) {
                return std::nullopt;
            }
            ++unanswered;
            return Lateness;
        };
    }
    if (!fleet.submit(Standing, jobId(2), {Step{1, task, 320, true, 1}})) {
        return ExitNotRun;
    }
    std::string state;
    fleet.runUntil(100s - fleet.elapsed(), [&] {
        state = fleet.stateOf(Standing, jobId(2));
        fleet.runFor(1s);
        return state == "failed";
    });
    fleet.note("orders to workers: " + std::to_string(orders)
               + ", left unanswered: " + std::to_string(unanswered));
    const auto failures = std::ranges::count_if(fleet.runs, [](const RunRecord &it) {
        return it.endedAt != TimePoint{} && !it.isLost && it.reason == RunEndReason::Failed;
    });
    if (fleet.runs.empty() || state.empty()) {
        return ExitNotRun;
    }
    const bool isBroken = state == "failed" && failures == 0;
    if (isBroken) {
        fleet.note("LOST: job " + jobId(2) + " is shown as failed; no run has ended failed");
    }
    return judge(fleet, isBroken ? 1 : 0);
}

/// A worker crashes and starts again under its id as a worker of another kind.
int playOtherKind(Fleet &fleet, bool hasTrouble)
{
    const TaskBehaviour task{2300, 4600, 12000, 12000};
    Worker &special = *fleet.workers[5];
    special.kind = "b";
    fleet.checkIn(special);
    fleet.runFor(2s);
    int broken = 0;
    fleet.afterStart = [&](const RunRecord &it) {
        if (fleet.worker(it.worker).kind != "b") {
            fleet.note("ROUTE: " + nameOf(it) + " began on a worker of kind "
                       + fleet.worker(it.worker).kind + ", required is b");
            ++broken;
        }
    };
    Step step{1, task, 12000};
    step.requirements = "b";
    if (!fleet.submit(Urgent, jobId(3), {step})
        || !fleet.runUntil(10s, [&] { return !fleet.runs.empty(); })) {
        return ExitNotRun;
    }
    fleet.runFor(2s);
    if (hasTrouble) {
        fleet.crash(special);
        fleet.runFor(1s);
        special.kind = "a";
        fleet.restart(special);
        fleet.runFor(600ms);
        fleet.note("the entry of " + special.id() + " in the store tells of kind a from now on");
        fleet.checkIn(special);
    }
    fleet.runFor(15s);
    return judge(fleet, broken);
}

/// One worker refuses starts while the others are full.
int playPending(Fleet &fleet, bool hasTrouble)
{
    constexpr int Jobs = 6;
    const TaskBehaviour whole{32000, 64000, 0, 0};
    const auto others = static_cast<std::uint32_t>(fleet.workers.size() - 1);
    if (!fleet.submit(Standing, jobId(4), {Step{others, whole, 320, true, 1}})
        || !fleet.runUntil(20s, [&] { return fleet.runs.size() == others; })) {
        return ExitNotRun;
    }
    fleet.runFor(2s);
    Worker &free = **std::ranges::find_if(fleet.workers,
                                          [](const auto &it) { return it->runningCount() == 0; });
    if (hasTrouble) {
        fleet.note(free.id() + " is unhealthy for 6.5 s: it answers starts with 503");
        free.refusesStarts = true;
    }
    const TimePoint begin = Clock::now();
    const TaskBehaviour task{2300, 4600, 1000, 1000};
    int accepted = 0;
    int answered = 0;
    TimePoint lastAck{};
    for (int i = 0; i < Jobs; ++i) {
        fleet.callAsync(static_cast<std::size_t>(i), "POST", Urgent, jobId(10 + i),
                        Fleet::encodeJob({Step{1, task, 1000}}), [&, i](const HttpResult &it) {
                            ++answered;
                            accepted += it.isSuccess() ? 1 : 0;
                            lastAck = Clock::now();
                            fleet.note("client: POST " + jobId(10 + i) + " -> "
                                       + std::to_string(it.statusCode));
                        });
    }
    if (!fleet.runUntil(5s, [&] { return answered == Jobs; }) || accepted < Jobs
        || lastAck - begin > 1s) {
        return ExitNotRun;
    }
    // visible_ms + 2 s after the last ack.
    fleet.runUntil(5050ms - (Clock::now() - lastAck), [] { return false; });
    int broken = 0;
    bool isCounted = false;
    for (std::size_t node = 0; Clock::now() - begin < 6400ms; ++node) {
        std::set<std::string> begun;
        for (const RunRecord &it : fleet.runs) {
            begun.insert(it.task.job.value());
        }
        begun.erase(jobId(4));
        const int waiting = accepted - static_cast<int>(begun.size());
        const int pending = fleet.pendingOf(node, Urgent);
        isCounted = isCounted || pending >= 0;
        if (pending >= 0 && 2 * pending < waiting) {
            fleet.note("MIXED: " + std::to_string(pending) + " jobs are said to wait, "
                       + std::to_string(waiting) + " have waited for over 5 s");
            ++broken;
        }
        fleet.runFor(300ms);
    }
    free.refusesStarts = false;
    fleet.runFor(3s);
    return isCounted ? judge(fleet, broken) : ExitNotRun;
}

/// The list of workers holds more entries of a service that isn't ours than of our own, and the
/// processes are restarted in turn.
int playForeignEntries(Fleet &fleet, bool hasTrouble)
{
    constexpr int JobsPerRestart = 3;
    int accepted = 0;
    if (hasTrouble) {
        const int count = static_cast<int>(fleet.workers.size()) + 2;
        for (int i = 0; i < count; ++i) {
            char id[16];
            std::snprintf(id, sizeof id, "i-%08x", 0x77000000 + i);
            const Endpoint address = fleet.deadEndpoint();
            const nlohmann::json entry{
                {"service", "ledger-svc"},
                {"address", address.address + ":" + std::to_string(address.port)},
                {"zone", "kochi"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"capacity", {{"cpu", 16000}, {"mem_mb", 32000}, {"gpu", 0}}},
                {"labels", {"a", "r9-1"}},
                {"born", 1772000000000},
                {"sequence", 1}};
            fleet.foreignEntries[id] = entry.dump();
        }
        fleet.note("another writer writes " + std::to_string(count)
                   + " entries of service ledger-svc, such as "
                   + fleet.foreignEntries.begin()->second);
        fleet.runFor(4s);
    }
    const TaskBehaviour task{2300, 4600, 5000, 5000};
    Step first{2, task, 5000};
    Step second{2, task, 5000};
    second.after = {0};
    for (std::size_t node = 0; node < fleet.nodeCount(); ++node) {
        for (int i = 0; i < JobsPerRestart; ++i) {
            if (!fleet.submit(Batch, jobId(20 + accepted), {first, second})) {
                return ExitNotRun;
            }
            ++accepted;
        }
        fleet.runFor(1s);
        fleet.restartNode(node);
        fleet.runFor(2s);
    }
    // finish_s, and the time of the rule.
    fleet.runFor(30s);
    int broken = 0;
    for (int i = 0; i < accepted; ++i) {
        const std::string state = fleet.stateOf(Batch, jobId(20 + i));
        const auto since = Clock::now() - 3s;
        const bool isAtWork = std::ranges::any_of(fleet.runs, [&](const RunRecord &it) {
            return it.task.job == JobId(jobId(20 + i))
                   && (it.endedAt == TimePoint{} || it.endedAt >= since);
        });
        if (state.empty()) {
            return ExitNotRun;
        }
        if (state != "completed" && !isAtWork) {
            fleet.note("LOST: job " + jobId(20 + i) + " is " + state
                       + ", nothing of it has run for 3 s, the workers are idle");
            ++broken;
        }
    }
    return judge(fleet, broken);
}

/// Another writer leaves entries that can't be read, or that lack fields or have other types.
int playBadEntries(Fleet &fleet, bool hasTrouble)
{
    if (hasTrouble) {
        const Endpoint dead = fleet.deadEndpoint();
        const nlohmann::json sound{{"service", "roster-svc"},
                                   {"address", dead.address + ":" + std::to_string(dead.port)},
                                   {"zone", "kochi"},
                                   {"version", "v1"},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"cold_remaining_ms", 0},
                                   {"capacity", {{"cpu", 16000}, {"mem_mb", 32000}, {"gpu", 0}}},
                                   {"labels", {"a", "r9-1"}},
                                   {"born", 1772000000000},
                                   {"sequence", 1}};
        const std::vector<nlohmann::json> values{
            nullptr, 5, "text", true, -1.5, 1e300, nlohmann::json::array(), {{"a", 1}}, ""};
        int number = 0;
        const auto add = [&](const std::string &bytes) {
            fleet.foreignEntries["bad-" + std::to_string(number++)] = bytes;
        };
        for (const auto &[field, value] : sound.items()) {
            nlohmann::json entry = sound;
            entry.erase(field);
            add(entry.dump());
            for (const nlohmann::json &it : values) {
                entry[field] = it;
                add(entry.dump());
            }
        }
        constexpr std::size_t Depth = 50'000;
        add(std::string("\xff\xfe\x01 not text"));
        add(std::string(Depth, '['));
        add("{\"service\":\"roster-svc\",\"address\":\"\xc3\x28\"}");
        add("{\"service\":\"\\ud800\"}");
        add(" ");
        fleet.note("another writer writes " + std::to_string(number) + " entries");
        fleet.runFor(4s);
    }
    const TaskBehaviour task{2300, 4600, 2000, 2000};
    int completed = 0;
    constexpr int Jobs = 6;
    for (int i = 0; i < Jobs; ++i) {
        if (!fleet.submit(Batch, jobId(60 + i), {Step{2, task, 2000}})) {
            return ExitNotRun;
        }
    }
    fleet.runFor(15s);
    for (int i = 0; i < Jobs; ++i) {
        completed += fleet.stateOf(Batch, jobId(60 + i)) == "completed" ? 1 : 0;
    }
    return judge(fleet, (Jobs - completed) + (fleet.hasCrashed() ? 1 : 0));
}

/// The worker of a task crashes soon after the task's start, twice, as workers do at times.
int playTwoCrashes(Fleet &fleet, bool hasTrouble)
{
    constexpr int Crashes = 2;
    const TaskBehaviour task{2300, 4600, 3000, 3000};
    int crashes = 0;
    if (!fleet.submit(Urgent, jobId(5), {Step{1, task, 3000}})) {
        return ExitNotRun;
    }
    std::size_t seen = 0;
    std::string state;
    const auto onRun = [&] {
        while (hasTrouble && crashes < Crashes && seen < fleet.runs.size()) {
            Worker &worker = fleet.worker(fleet.runs[seen++].worker);
            fleet.runFor(200ms);
            fleet.crash(worker);
            fleet.runFor(1s);
            fleet.restart(worker);
            fleet.checkIn(worker);
            ++crashes;
        }
        return false;
    };
    fleet.runUntil(20s, onRun);
    state = fleet.stateOf(Urgent, jobId(5));
    if (fleet.runs.empty() || state.empty()) {
        return ExitNotRun;
    }
    return judge(fleet, state == "failed" ? 1 : 0);
}

/// A gang waits for room.
int playWaitingGang(Fleet &fleet, bool hasTrouble)
{
    const TaskBehaviour whole{32000, 64000, 0, 0};
    const auto others = static_cast<std::uint32_t>(fleet.workers.size() - 1);
    if (hasTrouble
        && (!fleet.submit(Standing, jobId(4), {Step{others, whole, 320, true, 1}})
            || !fleet.runUntil(20s, [&] { return fleet.runs.size() == others; }))) {
        return ExitNotRun;
    }
    const std::size_t before = fleet.runs.size();
    Step gang{4, TaskBehaviour{32000, 64000, 1000, 1000}, 1000};
    gang.isGang = true;
    if (!fleet.submit(Batch, jobId(6), {gang})) {
        return ExitNotRun;
    }
    fleet.runFor(6s);
    const int pending = fleet.pendingOf(0, Batch);
    const bool isWaiting = fleet.runs.size() == before;
    fleet.note("gang has " + std::string(isWaiting ? "not " : "") + "begun, pending "
               + std::to_string(pending));
    return judge(fleet, isWaiting && pending == 0 ? 1 : 0);
}

/// Each step of the jobs names an image of its own.
int playManyImages(Fleet &fleet, bool hasTrouble)
{
    constexpr int Jobs = 800;
    constexpr int Steps = 5;
    constexpr int UsualImages = 9;
    const TaskBehaviour task{500, 100, 100, 100};
    int accepted = 0;
    int answered = 0;
    int image = 0;
    for (int i = 0; i < Jobs; ++i) {
        std::vector<Step> steps;
        for (int k = 0; k < Steps; ++k) {
            Step step{1, task, 100};
            const int number = hasTrouble ? image++ : image++ % UsualImages;
            step.image = "roster/rebuild-" + std::to_string(number);
            steps.push_back(step);
        }
        fleet.callAsync(static_cast<std::size_t>(i), "POST", Batch, jobId(1000 + i),
                        Fleet::encodeJob(steps), [&fleet, &accepted, &answered, i](const auto &it) {
                            ++answered;
                            accepted += it.isSuccess() ? 1 : 0;
                            fleet.note("client: POST " + jobId(1000 + i) + " -> "
                                       + std::to_string(it.statusCode));
                        });
        fleet.runFor(80ms);
    }
    fleet.runUntil(5s, [&] { return answered == Jobs; });
    fleet.note("accepted " + std::to_string(accepted) + " of " + std::to_string(Jobs));
    fleet.runFor(10s);
    int answers = 0;
    for (int i = 0; i < 6; ++i) {
        answers += fleet.stateOf(Batch, jobId(1000 + i)).empty() ? 0 : 1;
    }
    return judge(fleet, 6 - answers);
}

using Play = int (*)(Fleet &, bool);

int run(int argc, char *argv[])
{
    const std::map<std::string, Play> plays{
        {"many-ends", &playManyEnds},       {"late-start", &playLateStart},
        {"slow-answers", &playSlowAnswers}, {"other-kind", &playOtherKind},
        {"pending", &playPending},          {"bad-entries", &playBadEntries},
        {"two-crashes", &playTwoCrashes},   {"waiting-gang", &playWaitingGang},
        {"many-images", &playManyImages},   {"foreign-entries", &playForeignEntries}};
    const auto play = argc == 5 ? plays.find(argv[1]) : plays.end();
    if (play == plays.end()) {
        std::cerr << "usage: review-rig CASE PROGRAM DIRECTORY RECORD\n";
        return ExitNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::strcmp(trouble, "0") != 0;
    Fleet::Options options;
    options.program = argv[2];
    options.directory = argv[3];
    options.record = argv[4];
    Fleet fleet(options);
    fleet.queues = {Urgent, Batch, Standing};
    fleet.note(std::string("case ") + argv[1] + (hasTrouble ? "" : ", without the disruption"));
    if (!fleet.start()) {
        return ExitNotRun;
    }
    // Until the workers have registered and a process owns them.
    fleet.runFor(5s);
    const int result = play->second(fleet, hasTrouble);
    // They refer to variables of the play.
    fleet.afterStart = nullptr;
    for (const auto &it : fleet.workers) {
        it->lateBy = nullptr;
    }
    if (result == ExitNotRun) {
        fleet.note("the case couldn't be played");
    }
    fleet.stop();
    return result;
}

} // namespace
} // namespace firefly::review

int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return firefly::review::run(argc, argv);
    } catch (const std::exception &e) {
        std::cerr << "review-rig: " << e.what() << '\n';
        return firefly::review::ExitNotRun;
    }
}
