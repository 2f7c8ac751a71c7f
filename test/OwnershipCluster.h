#pragma once

#include "Core.h"
#include "Membership.h"
#include "Ownership.h"
#include "Platform.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace firefly::test {

using namespace std::chrono_literals;

inline OwnershipTimes shortTimes()
{
    OwnershipTimes times;
    times.lease = 6s;
    times.renewEvery = 1500ms;
    times.syncTimeout = 1s;
    return times;
}

inline MembershipTimes shortMembership()
{
    MembershipTimes times;
    times.listLag = 2s;
    times.listMaxAge = 2s;
    return times;
}

/// A worker that refuses older terms, repeated sync numbers and starts that name another lease.
struct FakeWorker
{
    WorkerInfo info;
    Term highestTerm = 0;
    std::uint64_t number = 0;
    TimePoint leaseExpiresAt;
    std::set<JobId> tasks;
    int boot = 1;
    bool checksBoot = true; ///< False also accepts starts from before a restart.

    std::string bootName() const { return std::to_string(boot); }
    /// Restarts the worker with empty memory.
    void reset()
    {
        FakeWorker fresh;
        fresh.info = info;
        fresh.boot = boot + 1;
        fresh.checksBoot = checksBoot;
        *this = fresh;
    }

    void expire(TimePoint now)
    {
        if (now >= leaseExpiresAt) {
            tasks.clear();
        }
    }

    bool sync(Term term, std::uint64_t syncNumber, TimePoint now, Duration lease)
    {
        expire(now);
        if (term < highestTerm || (term == highestTerm && syncNumber <= number)) {
            return false;
        }
        highestTerm = term;
        number = syncNumber;
        leaseExpiresAt = now + lease;
        return true;
    }

    void start(const StartAttempt &message, TimePoint now)
    {
        expire(now);
        const bool sameBoot = !checksBoot || message.boot == bootName();
        if (sameBoot && message.term == highestTerm && message.leaseNumber == number
            && now < leaseExpiresAt) {
            tasks.insert(message.job);
        }
    }
};

/// State of a job according to the log.
struct FakeJob
{
    std::uint64_t attempt = 0;
    bool placed = false;
    JobPlaced last;
};

/// Volatile state of one entry process, which a restart loses.
struct EntryMemory
{
    EntryMemory(const EntryId &id, WriterId name, const UncheckedTimes &times)
        : writer(std::move(name))
        , peers(id, shortMembership())
        , authority(id, times)
        , planner(id, {})
    {}

    WriterId writer;
    OwnershipFold fold;
    PeerTable peers;
    WorkerTable workers;
    ShardAuthority authority;
    ClaimPlanner planner;
    Offset applied = 0;
    std::optional<TimePoint> tailReadSentAt;
    bool logReachable = false;
    bool draining = false;
    std::vector<ShardReleased> unreadReleases;
    std::map<JobId, FakeJob> jobs;
    std::map<JobId, std::uint64_t> sentStartLeases; ///< Lease numbers of the starts that were sent.
};

struct FakeEntry
{
    EntryInfo info;
    double clockRate = 1.0; ///< Speed of its clock relative to real time.
    int incarnation = 0;
    bool paused = false;
    std::deque<std::function<void()>> inbox; ///< Messages that arrived while it was paused.
    std::unique_ptr<EntryMemory> memory;     ///< nullptr while it is down.
};

struct ClusterOptions
{
    int entries = 3;
    int shards = 4;
    int workersPerShard = 2;
    int jobs = 2;
    std::uint64_t seed = 1;
    double lateMessageShare = 0.0; ///< Share of messages that are delayed by up to two leases.
    bool hasClockDrift = false;    ///< The entries' clocks run at different speeds.
    UncheckedTimes times{shortTimes(), {}};
};

/// Simulates entries, workers, the log and the VM list on a paused clock, and checks the invariants
/// after every event.
class Cluster
{
public:
    explicit Cluster(const ClusterOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
        Clock::pause(TimePoint(1000s));
        for (int i = 0; i < options.entries; ++i) {
            FakeEntry &it = entries.emplace_back();
            it.info.id = EntryId("e" + std::to_string(i));
            it.clockRate = options.hasClockDrift ? 1.0 + 0.008 * (i % 3 - 1) : 1.0;
            boot(it);
        }
        for (int i = 0; i < options.shards * options.workersPerShard; ++i) {
            FakeWorker &it = workers.emplace_back();
            it.info.id = WorkerId("w" + std::to_string(i));
            it.info.rack = "r" + std::to_string(i % options.shards);
            it.info.zone = ZoneId("z");
        }
    }
    ~Cluster() { Clock::resume(); }
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    void run(Duration length)
    {
        const TimePoint end = Clock::now() + length;
        while (Clock::now() < end) {
            const TimePoint next = std::min(end, Clock::now() + TickEvery);
            runEvents(next);
            for (FakeEntry &it : entries) {
                if (it.memory && !it.paused) {
                    tick(it);
                }
            }
            ++m_ticks;
            checkInvariants();
        }
    }

    void disconnect(const std::string &a, const std::string &b)
    {
        m_disconnected.insert(std::minmax(a, b));
    }
    void reconnect(const std::string &a, const std::string &b)
    {
        m_disconnected.erase(std::minmax(a, b));
    }
    void setLogUp(bool up) { m_logUp = up; }
    void pause(FakeEntry &entry) { entry.paused = true; }
    void resume(FakeEntry &entry)
    {
        entry.paused = false;
        auto inbox = std::exchange(entry.inbox, {});
        for (const auto &it : inbox) {
            it();
        }
    }
    void kill(FakeEntry &entry)
    {
        entry.memory.reset();
        entry.inbox.clear();
    }
    void boot(FakeEntry &entry)
    {
        const std::string name = entry.info.id.value() + "#" + std::to_string(++entry.incarnation);
        entry.inbox.clear();
        entry.paused = false;
        entry.memory =
            std::make_unique<EntryMemory>(entry.info.id, WriterId(name), m_options.times);
    }
    /// Adds the entry to the VM list or removes it, after the list's delay.
    void setListed(FakeEntry &entry, bool listed)
    {
        schedule(1s, [this, id = entry.info.id, listed] {
            if (listed) {
                m_unlisted.erase(id);
            } else {
                m_unlisted.insert(id);
            }
        });
    }
    /// Sets a fixed delay for messages to workers; none restores random delays.
    void setWorkerDelay(std::optional<Duration> delay) { m_workerDelay = delay; }

    TimePoint localTime(const FakeEntry &entry) const
    {
        const auto count = static_cast<double>(Clock::now().time_since_epoch().count());
        return TimePoint(Duration(static_cast<Duration::rep>(count * entry.clockRate)));
    }
    bool mayGiveWork(const FakeEntry &entry, const FakeWorker &worker) const
    {
        return entry.memory
               && entry.memory->authority.mayGiveWork(worker.info.shard(), worker.info.id,
                                                      localTime(entry));
    }
    /// Number of workers that \a entry may give work now.
    int servedWorkers(const FakeEntry &entry) const
    {
        return static_cast<int>(std::ranges::count_if(
            workers, [&](const FakeWorker &it) { return mayGiveWork(entry, it); }));
    }
    /// Sum of servedWorkers() over all entries.
    int totalServedWorkers() const
    {
        int sum = 0;
        for (const FakeEntry &it : entries) {
            sum += servedWorkers(it);
        }
        return sum;
    }
    /// The entry that may give \a worker work; asserts that there is one.
    FakeEntry &ownerOf(const FakeWorker &worker)
    {
        const auto it = std::ranges::find_if(
            entries, [&](const FakeEntry &entry) { return mayGiveWork(entry, worker); });
        FIREFLY_ASSERT(it != entries.end(), "the worker has an owner");
        return *it;
    }
    int runningTasks() const
    {
        int sum = 0;
        for (const FakeWorker &it : workers) {
            sum += static_cast<int>(it.tasks.size());
        }
        return sum;
    }
    std::size_t logSize() const { return m_log.size(); }

    std::deque<FakeEntry> entries;
    std::deque<FakeWorker> workers;
    int acceptedClaims = 0;
    int evictions = 0;

private:
    static constexpr Duration TickEvery = 250ms;
    static constexpr Duration CallTimeout = 1s;

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.emplace(Clock::now() + delay, std::move(action));
    }
    void runEvents(TimePoint until)
    {
        while (!m_events.empty() && m_events.begin()->first <= until) {
            auto event = m_events.extract(m_events.begin());
            Clock::advance(std::max(event.key() - Clock::now(), Duration::zero()));
            event.mapped()();
            checkInvariants();
        }
        Clock::advance(until - Clock::now());
    }
    Duration delay()
    {
        std::uniform_real_distribution<> share;
        const Duration limit =
            share(m_random) < m_options.lateMessageShare ? 2 * m_options.times.times.lease : 40ms;
        return Duration(
            std::uniform_int_distribution<Duration::rep>(1000, limit.count())(m_random));
    }
    Duration workerDelay() { return m_workerDelay ? *m_workerDelay : delay(); }
    bool isDisconnected(const std::string &a, const std::string &b) const
    {
        return m_disconnected.contains(std::minmax(a, b));
    }
    bool reachesLog(const FakeEntry &entry) const
    {
        return m_logUp && !isDisconnected(entry.info.id.value(), "log");
    }
    /// Runs \a action in the entry after \a delay, unless its process has ended by then.
    void deliver(FakeEntry &entry, Duration delay, const std::function<void()> &action)
    {
        schedule(delay, [&entry, action, incarnation = entry.incarnation] {
            if (!entry.memory || entry.incarnation != incarnation) {
                return;
            }
            entry.paused ? entry.inbox.push_back(action) : action();
        });
    }

    void tick(FakeEntry &entry)
    {
        EntryMemory &memory = *entry.memory;
        readLog(entry);
        if (m_ticks % 2 == 0) {
            sendHeartbeats(entry);
        }
        if (m_ticks % 4 == 0) {
            readVmList(entry);
        }
        memory.authority.updateFromPeers(memory.peers, localTime(entry));
        sendSyncs(entry);
        plan(entry);
        placeJobs(entry);
        evictLost(entry);
    }

    void readVmList(FakeEntry &entry)
    {
        VmList list;
        for (const FakeWorker &it : workers) {
            list.workers.push_back(it.info);
        }
        for (const FakeEntry &it : entries) {
            if (!m_unlisted.contains(it.info.id)) {
                list.entries.push_back(it.info);
            }
        }
        EntryMemory &memory = *entry.memory;
        memory.peers.onVmList(list, localTime(entry));
        memory.workers.onVmList(list, localTime(entry));
        for (const ShardId &it : memory.workers.shards()) {
            memory.authority.setWorkers(it, memory.workers.workers(it));
        }
    }

    void append(FakeEntry &entry, const Record &record)
    {
        schedule(delay(), [this, &entry, writer = entry.memory->writer, record] {
            if (reachesLog(entry)) {
                m_log.emplace_back(writer, record);
            }
        });
    }

    void readLog(FakeEntry &entry)
    {
        const TimePoint sentAt = localTime(entry);
        schedule(delay(), [this, &entry, sentAt, incarnation = entry.incarnation] {
            if (entry.incarnation != incarnation) {
                return;
            }
            if (!reachesLog(entry)) {
                deliver(entry, CallTimeout, [this, &entry] { onLogReachable(entry, false); });
                return;
            }
            const Offset tail = m_log.size();
            deliver(entry, delay(), [this, &entry, sentAt, tail] {
                for (Offset it = entry.memory->applied + 1; it <= tail; ++it) {
                    apply(entry, it);
                }
                entry.memory->authority.onTailRead(sentAt, tail, entry.memory->applied);
                auto &newest = entry.memory->tailReadSentAt;
                newest = newest ? std::max(*newest, sentAt) : sentAt;
                onLogReachable(entry, localTime(entry) - *newest < 2s);
            });
        });
    }
    void onLogReachable(FakeEntry &entry, bool reachable)
    {
        entry.memory->logReachable = reachable;
        entry.memory->peers.onLogReachable(reachable, localTime(entry));
    }

    void apply(FakeEntry &entry, Offset offset)
    {
        EntryMemory &memory = *entry.memory;
        memory.applied = offset;
        const auto &[writer, record] = m_log[offset - 1];
        if (const auto *claim = std::get_if<ShardClaimed>(&record)) {
            const bool hadOwner = memory.fold.ownerOf(claim->shard).has_value();
            if (memory.fold.apply(offset, *claim) != FoldResult::Accepted) {
                return;
            }
            memory.planner.onClaimRead(claim->shard);
            memory.authority.onClaim({offset, *claim, writer == memory.writer, hadOwner},
                                     localTime(entry));
            acceptedClaims += writer == memory.writer ? 1 : 0;
        } else if (const auto *release = std::get_if<ShardReleased>(&record)) {
            if (memory.fold.apply(offset, *release) == FoldResult::Accepted) {
                memory.authority.onRelease(*release);
            }
        } else if (const auto *placed = std::get_if<JobPlaced>(&record)) {
            applyPlaced(entry, *placed, writer == memory.writer);
        } else if (const auto *evicted = std::get_if<JobEvicted>(&record)) {
            FakeJob &job = memory.jobs[evicted->job];
            if (job.placed && job.attempt == evicted->attempt
                && memory.fold.termOf(job.last.shard) == evicted->term) {
                job.placed = false;
                evictions += writer == memory.writer ? 1 : 0;
            }
        }
    }
    void applyPlaced(FakeEntry &entry, const JobPlaced &placed, bool own)
    {
        EntryMemory &memory = *entry.memory;
        FakeJob &job = memory.jobs[placed.job];
        if (job.placed || placed.attempt != job.attempt + 1
            || !memory.fold.isCurrent(placed.shard, placed.term)) {
            return;
        }
        job = {placed.attempt, true, placed};
        const auto term =
            memory.authority.mayGiveWork(placed.shard, placed.worker, localTime(entry));
        if (!own || term != placed.term) {
            return;
        }
        StartAttempt start;
        start.term = placed.term;
        start.job = placed.job;
        const WorkerLease lease = memory.authority.lease(placed.shard, placed.worker);
        start.leaseNumber = lease.number;
        start.boot = lease.boot;
        memory.sentStartLeases[placed.job] = start.leaseNumber;
        sendToWorker(entry, placed.worker,
                     [start](FakeWorker &it) { it.start(start, Clock::now()); });
    }

    FakeWorker &worker(const WorkerId &id)
    {
        return *std::ranges::find_if(workers, [&](const auto &it) { return it.info.id == id; });
    }
    void sendToWorker(FakeEntry &entry, const WorkerId &id,
                      const std::function<void(FakeWorker &)> &action)
    {
        schedule(workerDelay(), [this, &entry, id, action] {
            if (!isDisconnected(entry.info.id.value(), id.value())) {
                action(worker(id));
            }
        });
    }
    void sendSyncs(FakeEntry &entry)
    {
        for (const DueSync &sync : entry.memory->authority.beginDueSyncs(localTime(entry))) {
            sendToWorker(
                entry, sync.worker,
                [this, &entry, sync, incarnation = entry.incarnation](FakeWorker &it) {
                    const bool accepted =
                        it.sync(sync.term, sync.number, Clock::now(), m_options.times.times.lease);
                    if (entry.incarnation != incarnation
                        || isDisconnected(entry.info.id.value(), sync.worker.value())) {
                        return;
                    }
                    const SyncAnswer answer{accepted, it.highestTerm, it.bootName()};
                    deliver(entry, delay(), [this, &entry, sync, answer, tasks = it.tasks] {
                        if (entry.memory->authority.onSyncReply(sync, answer, localTime(entry))) {
                            evictMissing(entry, sync, tasks);
                        }
                    });
                });
        }
    }
    /// Evicts jobs placed on a worker that does not run them and that will refuse their start.
    void evictMissing(FakeEntry &entry, const DueSync &sync, const std::set<JobId> &tasks)
    {
        EntryMemory &memory = *entry.memory;
        for (const auto &[id, job] : memory.jobs) {
            if (!job.placed || job.last.worker != sync.worker || tasks.contains(id)) {
                continue;
            }
            const auto started = memory.sentStartLeases.find(id);
            const bool startMayArrive = job.last.term == sync.term
                                        && started != memory.sentStartLeases.end()
                                        && started->second >= sync.number;
            if (!startMayArrive) {
                append(entry,
                       JobEvicted{id, job.attempt, sync.term, EvictionReason::LeaseLapsed, 0});
            }
        }
    }
    void evictLost(FakeEntry &entry)
    {
        EntryMemory &memory = *entry.memory;
        for (const auto &[id, job] : memory.jobs) {
            if (!job.placed) {
                continue;
            }
            const JobPlaced &it = job.last;
            if (memory.authority.isLostWorkerExpired(it.shard, it.worker, localTime(entry))) {
                const Term term = memory.fold.termOf(it.shard);
                append(entry, JobEvicted{id, job.attempt, term, EvictionReason::WorkerLost, 0});
            }
        }
    }
    void placeJobs(FakeEntry &entry)
    {
        EntryMemory &memory = *entry.memory;
        for (int i = 0; i < m_options.jobs; ++i) {
            const JobId id("j" + std::to_string(i));
            if (memory.jobs[id].placed) {
                continue;
            }
            const auto &it = workers[m_random() % workers.size()];
            const auto term =
                memory.authority.mayGiveWork(it.info.shard(), it.info.id, localTime(entry));
            if (term) {
                append(entry, JobPlaced{id, memory.jobs[id].attempt + 1, it.info.id,
                                        it.info.shard(), *term});
            }
        }
    }

    void plan(FakeEntry &entry)
    {
        EntryMemory &memory = *entry.memory;
        const auto shards = memory.workers.shards();
        const ClaimInputs inputs{shards,           memory.fold,         memory.peers,
                                 memory.authority, memory.logReachable, memory.draining};
        const ClaimPlan plan = memory.planner.plan(inputs, localTime(entry));
        for (const ShardClaimed &it : plan.claims) {
            append(entry, it);
        }
        for (const ShardId &it : plan.releases) {
            memory.authority.beginRelease(it);
        }
        for (const ShardId &it : memory.authority.releasable()) {
            memory.unreadReleases.push_back(memory.authority.finishRelease(it));
        }
        std::erase_if(memory.unreadReleases, [&](const ShardReleased &it) {
            return !memory.fold.isCurrent(it.shard, it.term);
        });
        for (const ShardReleased &it : memory.unreadReleases) {
            append(entry, it);
        }
    }

    Heartbeat heartbeat(const FakeEntry &entry) const
    {
        const EntryMemory &memory = *entry.memory;
        Heartbeat it;
        it.from = entry.info.id;
        it.writer = memory.writer;
        it.draining = memory.draining;
        it.logReachable = memory.logReachable;
        it.acceptsShards = memory.peers.isSettled(localTime(entry)) && !memory.draining;
        it.lastReadOffset = memory.applied;
        if (memory.tailReadSentAt) {
            it.logProofAge = localTime(entry) - *memory.tailReadSentAt;
        }
        for (const ShardTerm &shard : memory.authority.shards()) {
            it.shards.push_back({shard.shard, shard.term, 8});
        }
        it.reaches = memory.peers.reachablePeers(localTime(entry));
        return it;
    }
    void sendHeartbeats(FakeEntry &entry)
    {
        for (FakeEntry &peer : entries) {
            if (peer.info.id == entry.info.id) {
                continue;
            }
            exchange(entry, peer);
        }
    }
    void exchange(FakeEntry &entry, FakeEntry &peer)
    {
        const TimePoint sentAt = localTime(entry);
        const auto answered = std::make_shared<bool>(false);
        deliver(entry, CallTimeout, [&entry, answered, id = peer.info.id] {
            if (!*answered) {
                entry.memory->peers.onHeartbeatFailed(id);
            }
        });
        if (isDisconnected(entry.info.id.value(), peer.info.id.value()) || !peer.memory) {
            return;
        }
        deliver(peer, delay(), [this, &entry, &peer, sentAt, answered, request = heartbeat(entry)] {
            peer.memory->peers.onHeartbeatRequest(request);
            const HeartbeatReply reply{heartbeat(peer),
                                       supersededShards(peer.memory->fold, request)};
            if (!entry.memory || entry.memory->writer != request.writer) {
                return;
            }
            deliver(entry, delay(), [&entry, sentAt, answered, reply] {
                *answered = true;
                entry.memory->peers.onHeartbeatReply(sentAt, reply);
                entry.memory->authority.onHeartbeatReply(sentAt, reply);
            });
        });
    }

    /// Asserts that a worker has at most one owner and that a job runs on at most one worker.
    void checkInvariants()
    {
        std::map<JobId, int> runs;
        for (FakeWorker &it : workers) {
            it.expire(Clock::now());
            int owners = 0;
            for (const FakeEntry &entry : entries) {
                owners += mayGiveAcceptedWork(entry, it) ? 1 : 0;
            }
            FIREFLY_ASSERT(owners <= 1, "at most one entry may give a worker work");
            for (const JobId &job : it.tasks) {
                FIREFLY_ASSERT(++runs[job] == 1, "a job runs on at most one worker");
            }
        }
    }
    /// True when \a entry may give \a worker work that it would accept.
    bool mayGiveAcceptedWork(const FakeEntry &entry, const FakeWorker &worker) const
    {
        if (!entry.memory) {
            return false;
        }
        const auto term = entry.memory->authority.mayGiveWork(worker.info.shard(), worker.info.id,
                                                              localTime(entry));
        return term && (!m_options.times.times.hasWorkerFencing || *term >= worker.highestTerm);
    }

    ClusterOptions m_options;
    std::mt19937_64 m_random;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::pair<WriterId, Record>> m_log;
    std::set<std::pair<std::string, std::string>> m_disconnected;
    std::set<EntryId> m_unlisted;
    bool m_logUp = true;
    std::optional<Duration> m_workerDelay;
    std::int64_t m_ticks = 0;
};

} // namespace firefly::test
