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

/// A worker that refuses older terms, repeated numbers and starts under another lease.
struct FakeWorker
{
    WorkerInfo info;
    Term highestTerm = 0;
    std::uint64_t number = 0;
    TimePoint leaseEnds;
    std::set<JobId> tasks;
    int boot = 1;
    bool checksBoot = true; ///< False to show what the check is for.

    std::string bootName() const { return std::to_string(boot); }
    /// Restarts it with empty memory.
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
        if (now >= leaseEnds) {
            tasks.clear();
        }
    }

    bool sync(Term term, std::uint64_t n, TimePoint now, Duration lease)
    {
        expire(now);
        if (term < highestTerm || (term == highestTerm && n <= number)) {
            return false;
        }
        highestTerm = term;
        number = n;
        leaseEnds = now + lease;
        return true;
    }

    void start(const StartTask &message, TimePoint now)
    {
        expire(now);
        const bool sameBoot = !checksBoot || message.boot == bootName();
        if (sameBoot && message.term == highestTerm && message.leaseNumber == number
            && now < leaseEnds) {
            tasks.insert(message.job);
        }
    }
};

/// Where a job stands, as the log says.
struct FakeJob
{
    std::uint64_t attempt = 0;
    bool placed = false;
    JobPlaced last;
};

/// Memory of one entry process.
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
    std::map<JobId, std::uint64_t> startedUnder; ///< Lease number of starts of this incarnation.
};

struct FakeEntry
{
    EntryInfo info;
    double rate = 1.0; ///< Speed of its clock.
    int incarnation = 0;
    bool paused = false;
    std::deque<std::function<void()>> inbox; ///< What arrived while it was paused.
    std::unique_ptr<EntryMemory> memory;     ///< None while it is down.
};

struct ClusterOptions
{
    int entries = 3;
    int shards = 4;
    int workersPerShard = 2;
    int jobs = 2;
    std::uint64_t seed = 1;
    double lateShare = 0.0; ///< Share of messages that come up to two leases late.
    bool drifts = false;
    UncheckedTimes times{shortTimes(), {}};
};

/// Entries, workers, the log and the VM list on one paused clock; checks the invariants all along.
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
            it.rate = options.drifts ? 1.0 + 0.008 * (i % 3 - 1) : 1.0;
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
            check();
        }
    }

    void cut(const std::string &a, const std::string &b) { m_cuts.insert(std::minmax(a, b)); }
    void heal(const std::string &a, const std::string &b) { m_cuts.erase(std::minmax(a, b)); }
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
    /// The VM list stops or starts showing the entry, after its lag.
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
    /// Every message to a worker takes exactly this long; for schedules set by hand.
    void setWorkerDelay(std::optional<Duration> delay) { m_workerDelay = delay; }

    TimePoint local(const FakeEntry &entry) const
    {
        const auto count = static_cast<double>(Clock::now().time_since_epoch().count());
        return TimePoint(Duration(static_cast<Duration::rep>(count * entry.rate)));
    }
    bool mayGive(const FakeEntry &entry, const FakeWorker &worker) const
    {
        return entry.memory
               && entry.memory->authority.mayGiveWork(worker.info.shard(), worker.info.id,
                                                      local(entry));
    }
    /// Workers that \a entry may give work now.
    int served(const FakeEntry &entry) const
    {
        return static_cast<int>(std::ranges::count_if(
            workers, [&](const FakeWorker &it) { return mayGive(entry, it); }));
    }
    int servedByAll() const
    {
        int sum = 0;
        for (const FakeEntry &it : entries) {
            sum += served(it);
        }
        return sum;
    }
    /// The entry that may give \a worker work; fails when there is none.
    FakeEntry &ownerOf(const FakeWorker &worker)
    {
        const auto it = std::ranges::find_if(
            entries, [&](const FakeEntry &entry) { return mayGive(entry, worker); });
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
            check();
        }
        Clock::advance(until - Clock::now());
    }
    Duration delay()
    {
        std::uniform_real_distribution<> share;
        const Duration limit =
            share(m_random) < m_options.lateShare ? 2 * m_options.times.times.lease : 40ms;
        return Duration(
            std::uniform_int_distribution<Duration::rep>(1000, limit.count())(m_random));
    }
    Duration workerDelay() { return m_workerDelay ? *m_workerDelay : delay(); }
    bool isCut(const std::string &a, const std::string &b) const
    {
        return m_cuts.contains(std::minmax(a, b));
    }
    bool reachesLog(const FakeEntry &entry) const
    {
        return m_logUp && !isCut(entry.info.id.value(), "log");
    }
    /// Runs \a action in the entry after \a delay, unless the process ended before.
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
        memory.authority.onWitnesses(memory.peers, local(entry));
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
        memory.peers.onVmList(list, local(entry));
        memory.workers.onVmList(list, local(entry));
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
        const TimePoint sentAt = local(entry);
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
                auto &known = entry.memory->tailReadSentAt;
                known = known ? std::max(*known, sentAt) : sentAt;
                onLogReachable(entry, local(entry) - *known < 2s);
            });
        });
    }
    void onLogReachable(FakeEntry &entry, bool reachable)
    {
        entry.memory->logReachable = reachable;
        entry.memory->peers.onLogReachable(reachable, local(entry));
    }

    void apply(FakeEntry &entry, Offset offset)
    {
        EntryMemory &memory = *entry.memory;
        memory.applied = offset;
        const auto &[writer, record] = m_log[offset - 1];
        if (const auto *claim = std::get_if<ShardClaimed>(&record)) {
            const bool hadOwner = memory.fold.ownerOf(claim->shard).has_value();
            if (memory.fold.apply(offset, *claim) != FoldVerdict::Accepted) {
                return;
            }
            memory.planner.onClaimRead(claim->shard);
            memory.authority.onClaim({offset, *claim, writer == memory.writer, hadOwner},
                                     local(entry));
            acceptedClaims += writer == memory.writer ? 1 : 0;
        } else if (const auto *release = std::get_if<ShardReleased>(&record)) {
            if (memory.fold.apply(offset, *release) == FoldVerdict::Accepted) {
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
        const auto term = memory.authority.mayGiveWork(placed.shard, placed.worker, local(entry));
        if (!own || term != placed.term) {
            return;
        }
        StartTask start;
        start.term = placed.term;
        start.job = placed.job;
        const WorkerLease lease = memory.authority.lease(placed.shard, placed.worker);
        start.leaseNumber = lease.number;
        start.boot = lease.boot;
        memory.startedUnder[placed.job] = start.leaseNumber;
        toWorker(entry, placed.worker, [start](FakeWorker &it) { it.start(start, Clock::now()); });
    }

    FakeWorker &worker(const WorkerId &id)
    {
        return *std::ranges::find_if(workers, [&](const auto &it) { return it.info.id == id; });
    }
    void toWorker(FakeEntry &entry, const WorkerId &id,
                  const std::function<void(FakeWorker &)> &action)
    {
        schedule(workerDelay(), [this, &entry, id, action] {
            if (!isCut(entry.info.id.value(), id.value())) {
                action(worker(id));
            }
        });
    }
    void sendSyncs(FakeEntry &entry)
    {
        for (const SyncDue &sync : entry.memory->authority.takeDueSyncs(local(entry))) {
            toWorker(entry, sync.worker,
                     [this, &entry, sync, incarnation = entry.incarnation](FakeWorker &it) {
                         const bool accepted = it.sync(sync.term, sync.number, Clock::now(),
                                                       m_options.times.times.lease);
                         if (entry.incarnation != incarnation
                             || isCut(entry.info.id.value(), sync.worker.value())) {
                             return;
                         }
                         const SyncAnswer answer{accepted, it.highestTerm, it.bootName()};
                         deliver(entry, delay(), [this, &entry, sync, answer, tasks = it.tasks] {
                             if (entry.memory->authority.onSyncReply(sync, answer, local(entry))) {
                                 evictMissing(entry, sync, tasks);
                             }
                         });
                     });
        }
    }
    /// Evicts what the ledger places on a worker that does not run it and refuses its start.
    void evictMissing(FakeEntry &entry, const SyncDue &sync, const std::set<JobId> &tasks)
    {
        EntryMemory &memory = *entry.memory;
        for (const auto &[id, job] : memory.jobs) {
            if (!job.placed || job.last.worker != sync.worker || tasks.contains(id)) {
                continue;
            }
            const auto started = memory.startedUnder.find(id);
            const bool startMayArrive = job.last.term == sync.term
                                        && started != memory.startedUnder.end()
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
            if (memory.authority.lostWorkerStopped(it.shard, it.worker, local(entry))) {
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
                memory.authority.mayGiveWork(it.info.shard(), it.info.id, local(entry));
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
        const ClaimPlan plan = memory.planner.plan(inputs, local(entry));
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
        it.acceptsShards = memory.peers.isSettled(local(entry)) && !memory.draining;
        it.lastReadOffset = memory.applied;
        if (memory.tailReadSentAt) {
            it.logProofAge = local(entry) - *memory.tailReadSentAt;
        }
        for (const ShardTerm &shard : memory.authority.shards()) {
            it.shards.push_back({shard.shard, shard.term, 8});
        }
        it.reaches = memory.peers.reached(local(entry));
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
        const TimePoint sentAt = local(entry);
        const auto answered = std::make_shared<bool>(false);
        deliver(entry, CallTimeout, [&entry, answered, id = peer.info.id] {
            if (!*answered) {
                entry.memory->peers.onExchangeFailed(id);
            }
        });
        if (isCut(entry.info.id.value(), peer.info.id.value()) || !peer.memory) {
            return;
        }
        deliver(peer, delay(), [this, &entry, &peer, sentAt, answered, request = heartbeat(entry)] {
            peer.memory->peers.onRequest(request);
            const HeartbeatReply reply{heartbeat(peer),
                                       supersededShards(peer.memory->fold, request)};
            if (!entry.memory || entry.memory->writer != request.writer) {
                return;
            }
            deliver(entry, delay(), [&entry, sentAt, answered, reply] {
                *answered = true;
                entry.memory->peers.onExchange(sentAt, reply);
                entry.memory->authority.onPeerReply(sentAt, reply);
            });
        });
    }

    /// Asserts what must hold at every moment.
    void check()
    {
        std::map<JobId, int> places;
        for (FakeWorker &it : workers) {
            it.expire(Clock::now());
            int givers = 0;
            for (const FakeEntry &entry : entries) {
                givers += canReachWork(entry, it) ? 1 : 0;
            }
            FIREFLY_ASSERT(givers <= 1, "one entry at a time gives a worker work");
            for (const JobId &job : it.tasks) {
                FIREFLY_ASSERT(++places[job] == 1, "a job runs in one place");
            }
        }
    }
    /// True when \a entry may give work that \a worker would accept.
    bool canReachWork(const FakeEntry &entry, const FakeWorker &worker) const
    {
        if (!entry.memory) {
            return false;
        }
        const auto term =
            entry.memory->authority.mayGiveWork(worker.info.shard(), worker.info.id, local(entry));
        return term && (!m_options.times.times.workersFence || *term >= worker.highestTerm);
    }

    ClusterOptions m_options;
    std::mt19937_64 m_random;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::pair<WriterId, Record>> m_log;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<EntryId> m_unlisted;
    bool m_logUp = true;
    std::optional<Duration> m_workerDelay;
    std::int64_t m_ticks = 0;
};

} // namespace firefly::test
