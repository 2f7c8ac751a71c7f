#include "Node/CellHost.h"

#include "CellLease/ClaimRecord.h"
#include "Node/CellDump.h"
#include "Node/TopicFollower.h"
#include "platform/Wire.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>

namespace firefly {
namespace {

/// Longest wait of a read of the claims; an owner's silence is noticed by the clock.
constexpr Duration ClaimReadWait = std::chrono::milliseconds(1000);
/// Registrations change every few heartbeats; reading them in groups saves calls.
constexpr Duration WorkerReadPause = std::chrono::milliseconds(400);
constexpr Duration WorkerReadWait = std::chrono::milliseconds(1000);
/// Longest time without a look at the clock, as owner and otherwise.
constexpr Duration OwnerTick = std::chrono::milliseconds(40);
constexpr Duration CandidateTick = std::chrono::milliseconds(100);
/// An append without an answer is repeated after this; the store answers a repeat as the first.
constexpr Duration ShortAppendTimeout = std::chrono::milliseconds(400);
constexpr Duration LongAppendTimeout = std::chrono::milliseconds(1600);
constexpr Duration AppendRetryPause = std::chrono::milliseconds(60);
/// A store that refuses appends for this long can't take new jobs.
constexpr Duration ToleratedOutage = std::chrono::milliseconds(400);
/// The counts of waiting jobs are published with each renewal of the claim.
constexpr Duration PendingCountInterval = std::chrono::milliseconds(200);
/// Interval of the owner's line on its load.
constexpr Duration LoadLineInterval = std::chrono::seconds(2);
/// The candidate with a whole core goes first; one without any waits this long.
constexpr Duration FullHeadStart = CellElection::LongestHeadStart;

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Spreads the candidates for a cell: by processor share first, by chance among equals.
Duration headStartBefore(double cpuShare, const std::string &incarnation, int cell)
{
    const double share = std::clamp(cpuShare, 0.0, 1.0);
    const std::string lot = incarnation + "/" + std::to_string(cell);
    const auto spread = static_cast<double>(std::hash<std::string>()(lot) % 1000) / 1000.0;
    const double part = 0.6 * (1.0 - share) + 0.4 * spread;
    return std::chrono::duration_cast<Duration>(FullHeadStart * part);
}

CellElection::Options electionOptions(const NodeSettings &settings,
                                      const CellHost::Options &options)
{
    CellElection::Options result;
    result.holder = options.incarnation;
    result.node = settings.node;
    result.endpoint = options.endpoint;
    result.maxLease = settings.bounds.grantedLease();
    result.headStart = headStartBefore(settings.cpuShare, options.incarnation, options.cell);
    return result;
}

} // namespace

struct CellHost::Private : std::enable_shared_from_this<Private>
{
    using Timer = asio::basic_waitable_timer<Clock>;

    /// The run that an order is about; the payload of a start isn't kept for the reply.
    struct OrderedRun
    {
        WorkerId worker;
        TaskName task;
        std::uint32_t run = 0;
    };

    Private(asio::io_context &contextIn, const NodeSettings &settingsIn, Options optionsIn,
            platform::StoreClient &storeIn, platform::WorkerClient &workersIn, EventLog &logIn,
            Metrics &metricsIn)
        : context(contextIn)
        , settings(settingsIn)
        , options(std::move(optionsIn))
        , store(storeIn)
        , workers(workersIn)
        , log(logIn)
        , metrics(metricsIn)
        , election(electionOptions(settings, options))
        , scheduler(settings.bounds)
        , timer(contextIn)
        , journalTimer(contextIn)
    {}

    void begin()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { takeClaim(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [this](std::uint64_t end) {
            election.onRead(end, Clock::now());
            noteStoreContact(true, {});
            wake();
        };
        callbacks.onFailed = [this](const std::string &error) {
            election.onReadFailed();
            noteStoreContact(false, error);
        };
        claims = std::make_unique<TopicFollower>(context, store, platform::claimTopic(options.cell),
                                                 ClaimReadWait, Duration{}, std::move(callbacks));
        schedule();
    }

    // Timing

    /// Runs step() once, after the callbacks that are ready now.
    void wake()
    {
        if (std::exchange(isAwake, true)) {
            return;
        }
        asio::post(context, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->isAwake = false;
                self->step();
            }
        });
    }

    void schedule()
    {
        timer.expires_after(isOwning ? OwnerTick : CandidateTick);
        timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->step();
                self->schedule();
            }
        });
    }

    void step()
    {
        const TimePoint now = Clock::now();
        if (isOwning
            && (!election.isOwner() || election.epoch() != epoch || scheduler.isFenced()
                || now >= election.ordersUntil())) {
            endOwnership();
        }
        if (!isOwning && election.isOwner() && now < election.ordersUntil()) {
            beginOwnership(now);
        }
        if (isServing) {
            scheduler.setOrdersUntil(election.ordersUntil());
            scheduler.tick(now, unixMs());
            sendOrders();
            sendJournal();
            if (now - lastPendingCount >= PendingCountInterval) {
                lastPendingCount = now;
                election.setPending(scheduler.pendingByQueue());
                election.setLoad(scheduler.load());
            }
            logLoad(now);
        }
        sendClaim(now);
    }

    /// A callback that does nothing once this ownership has ended.
    template <typename F>
    auto guarded(F callback)
    {
        return [weak = weak_from_this(), generation = generation,
                callback = std::move(callback)](const auto &...args) {
            const auto self = weak.lock();
            if (self && self->generation == generation) {
                callback(*self, args...);
            }
        };
    }

    void logLoad(TimePoint now)
    {
        if (now - lastLoadLine < LoadLineInterval) {
            return;
        }
        lastLoadLine = now;
        nlohmann::json fields = summarizeLoad(scheduler);
        fields["cell"] = options.cell;
        log.write(LogLevel::Info, "cell", "load", fields);
    }

    // Ownership

    void takeClaim(const KeyedRecord &record)
    {
        if (!record.value) {
            return;
        }
        try {
            election.onClaim(decodeClaim(*record.value), Clock::now());
        } catch (const ClaimRecordError &e) {
            log.write(LogLevel::Error, "cell", "unreadable claim", {{"error", e.what()}});
        }
        wake();
    }

    void sendClaim(TimePoint now)
    {
        election.setCellsBeside(options.claimedBeside());
        const auto append = election.next(now);
        if (!append) {
            return;
        }
        const bool isNew = append->claim.epoch != election.epoch();
        if (isNew) {
            log.write(LogLevel::Info, "cell", "claiming",
                      {{"cell", options.cell},
                       {"epoch", append->claim.epoch},
                       {"from", election.claim().node},
                       {"position", append->position}});
        }
        const KeyedRecord record{"owner", encodeClaim(append->claim)};
        platform::AppendGuard guard;
        guard.position = append->position;
        metrics.add("firefly_store_appends_total{topic=\"claims\"}");
        store.append(platform::claimTopic(options.cell), guard, {&record, 1}, LongAppendTimeout,
                     [weak = weak_from_this()](const platform::AppendResult &result) {
                         const auto self = weak.lock();
                         if (!self) {
                             return;
                         }
                         if (result.outcome == AppendOutcome::Stored) {
                             self->election.onAppended(result.end, Clock::now());
                         } else {
                             self->election.onAppendFailed(Clock::now());
                         }
                         self->wake();
                     });
    }

    void beginOwnership(TimePoint now)
    {
        isOwning = true;
        epoch = election.epoch();
        log.write(
            LogLevel::Info, "cell", "owner begins",
            {{"cell", options.cell}, {"epoch", epoch}, {"version", election.claim().renewal}});
        scheduler.beginOwnership(epoch, now, election.earlierOrdersEnd());
        fencePartition();
    }

    void endOwnership()
    {
        log.write(LogLevel::Warning, "cell", "owner ends",
                  {{"cell", options.cell},
                   {"epoch", epoch},
                   {"fenced", scheduler.isFenced()},
                   {"owner", election.claim().node},
                   {"owner_epoch", election.epoch()}});
        if (election.epoch() == epoch) {
            election.giveUp();
        }
        isOwning = false;
        isServing = false;
        directory.reset();
        scheduler.endOwnership();
        ++generation;
        isJournalBusy = false;
    }

    platform::AppendGuard writerGuard(std::uint64_t sequence) const
    {
        platform::AppendGuard guard;
        guard.writer = "cell-" + std::to_string(options.cell);
        guard.epoch = epoch;
        guard.sequence = sequence;
        return guard;
    }

    /// Keeps writers with lower epochs out of the partition, then loads it.
    void fencePartition()
    {
        store.append(platform::jobTopic(options.cell), writerGuard(0), {}, LongAppendTimeout,
                     guarded([](Private &self, const platform::AppendResult &result) {
                         if (result.outcome == AppendOutcome::Stored) {
                             self.loadJobs({});
                             return;
                         }
                         self.noteAppendFailure(result);
                         self.afterPause(&Private::fencePartition);
                     }));
    }

    void loadJobs(const std::string &afterKey)
    {
        store.newest(platform::jobTopic(options.cell), afterKey,
                     guarded([afterKey](Private &self, const platform::NewestPage &page) {
                         self.takeJobs(afterKey, page);
                     }));
    }

    void takeJobs(const std::string &afterKey, const platform::NewestPage &page)
    {
        if (!page.isOk) {
            log.write(LogLevel::Warning, "cell", "can't load jobs", {{"error", page.error}});
            journalTimer.expires_after(AppendRetryPause);
            journalTimer.async_wait(
                guarded([afterKey](Private &self, asio::error_code) { self.loadJobs(afterKey); }));
            return;
        }
        for (const KeyedRecord &it : page.records) {
            try {
                scheduler.restore(it.key, it.value.value_or(std::string()));
            } catch (const std::exception &e) {
                log.write(LogLevel::Error, "cell", "unreadable record",
                          {{"key", it.key}, {"error", e.what()}});
            }
        }
        if (page.hasMore && !page.records.empty()) {
            loadJobs(page.records.back().key);
            return;
        }
        scheduler.restored(Clock::now(), unixMs());
        isServing = true;
        log.write(LogLevel::Info, "cell", "owner serves",
                  {{"cell", options.cell},
                   {"epoch", epoch},
                   {"jobs", scheduler.state().jobs.size()},
                   {"workers", scheduler.state().workers.size()}});
        followWorkers();
        wake();
    }

    void afterPause(void (Private::*next)())
    {
        journalTimer.expires_after(AppendRetryPause);
        journalTimer.async_wait(guarded([next](Private &self, asio::error_code ec) {
            if (!ec) {
                (self.*next)();
            }
        }));
    }

    // Journal

    void sendJournal()
    {
        if (isJournalBusy) {
            return;
        }
        const auto batch = scheduler.journal().next();
        if (!batch) {
            return;
        }
        isJournalBusy = true;
        metrics.add("firefly_store_appends_total{topic=\"jobs\"}");
        metrics.add("firefly_store_records_total", batch->records.size());
        store.append(
            platform::jobTopic(options.cell), writerGuard(batch->sequence), batch->records,
            appendTimeout,
            guarded([sentAt = Clock::now()](Private &self, const platform::AppendResult &result) {
                self.takeAppend(result, sentAt);
            }));
    }

    void takeAppend(const platform::AppendResult &result, TimePoint sentAt)
    {
        scheduler.journal().onOutcome(result.outcome);
        if (result.outcome == AppendOutcome::Stored) {
            isJournalBusy = false;
            appendTimeout = std::clamp<Duration>(4 * (Clock::now() - sentAt), ShortAppendTimeout,
                                                 LongAppendTimeout);
            storeFailingSince.reset();
            wake();
            return;
        }
        noteAppendFailure(result);
        if (result.outcome == AppendOutcome::Unknown) {
            appendTimeout = std::min(LongAppendTimeout, 2 * appendTimeout);
        }
        if (result.outcome == AppendOutcome::Fenced) {
            log.write(LogLevel::Warning, "cell", "store refuses this epoch", {{"epoch", epoch}});
            endOwnership();
            return;
        }
        if (!storeFailingSince) {
            storeFailingSince = Clock::now();
        }
        if (isStoreFailing()) {
            scheduler.journal().refuseNew();
        }
        journalTimer.expires_after(AppendRetryPause);
        journalTimer.async_wait(guarded([](Private &self, asio::error_code ec) {
            if (!ec) {
                self.isJournalBusy = false;
                self.wake();
            }
        }));
    }

    bool isStoreFailing() const
    {
        return storeFailingSince && Clock::now() - *storeFailingSince >= ToleratedOutage;
    }

    void noteAppendFailure(const platform::AppendResult &result)
    {
        metrics.add("firefly_store_append_failures_total");
        log.write(
            LogLevel::Warning, "cell", "append failed",
            {{"error", result.error}, {"maybe_stored", result.outcome == AppendOutcome::Unknown}});
    }

    void noteStoreContact(bool isReached, const std::string &error)
    {
        if (isReached == hasStoreContact) {
            return;
        }
        hasStoreContact = isReached;
        log.write(isReached ? LogLevel::Info : LogLevel::Warning, "cell",
                  isReached ? "store regained" : "store lost", {{"error", error}});
    }

    // Clients

    static CallerReply toReply(CellScheduler::Verdict verdict)
    {
        switch (verdict) {
        case CellScheduler::Verdict::Accepted:
            return {CallerVerdict::Done, JobState::Queued, 0, {}};
        case CellScheduler::Verdict::NotAccepted:
            return {CallerVerdict::Refused, JobState::Queued, 0, "not stored"};
        case CellScheduler::Verdict::Unknown:
            break;
        }
        return {CallerVerdict::Unknown, JobState::Queued, 0, "owner changed"};
    }

    /// Sends a new job to a cell with less load; false when it is to stay here.
    bool refer(const JobId &id, const JobSpec &spec, const OnCallerReply &done)
    {
        if (scheduler.knows(id)) {
            return false;
        }
        const bool isNearData = std::ranges::any_of(
            spec.steps, [](const StepSpec &it) { return !it.dataRack.empty(); });
        const NewJob job{id, spec.policy.service, scheduler.loadOf(spec)};
        const auto cell = isNearData ? std::nullopt : options.lighterCell(job, scheduler.load());
        if (!cell && !scheduler.isReferred(id)) {
            return false;
        }
        scheduler.refer(
            id, cell.value_or(options.cell), unixMs(),
            guarded([id, done](Private &self, CellScheduler::Verdict verdict) {
                const auto target = self.scheduler.referralOf(id);
                CallerReply reply = toReply(verdict);
                if (reply.verdict == CallerVerdict::Done && target) {
                    reply = {CallerVerdict::Elsewhere, JobState::Queued, 0, "referred", *target};
                }
                done(reply);
            }));
        wake();
        return true;
    }

    // Workers

    void followWorkers()
    {
        foreignWorkers.clear();
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { takeWorker(it); };
        callbacks.onSnapshot = [this](const std::set<std::string> &keys) {
            std::erase_if(foreignWorkers, [&keys](const auto &it) { return !keys.contains(it); });
            std::vector<WorkerId> gone;
            for (const auto &[id, worker] : scheduler.state().workers) {
                if (worker->isRegistered && !keys.contains(id)) {
                    gone.push_back(worker->info.id);
                }
            }
            for (const WorkerId &it : gone) {
                scheduler.onWorkerGone(it, Clock::now());
            }
        };
        callbacks.onRead = [this](std::uint64_t) { wake(); };
        directory =
            std::make_unique<TopicFollower>(context, store, platform::workerTopic(), WorkerReadWait,
                                            WorkerReadPause, std::move(callbacks));
    }

    void takeWorker(const KeyedRecord &record)
    {
        const TimePoint now = Clock::now();
        if (foreignWorkers.contains(record.key)) {
            // A worker's rack, and with it its cell, is the same for its whole life.
            if (!record.value) {
                foreignWorkers.erase(record.key);
            }
            return;
        }
        if (!record.value) {
            log.write(LogLevel::Info, "cell", "worker gone", {{"worker", record.key}});
            scheduler.onWorkerGone(WorkerId(record.key), now);
            return;
        }
        try {
            const WorkerDescription worker = platform::decodeWorker(record.key, *record.value);
            if (options.layout.cellOf(worker) != options.cell) {
                foreignWorkers.insert(record.key);
                return;
            }
            scheduler.onWorkerListed(worker, now);
        } catch (const platform::WireError &e) {
            log.write(LogLevel::Warning, "cell", "unreadable worker entry", {{"error", e.what()}});
        }
    }

    void sendOrders()
    {
        for (CellAction &action : scheduler.takeActions()) {
            std::visit([this](const auto &order) { send(order); }, action);
        }
    }

    std::optional<Endpoint> endpointOf(const WorkerId &id) const
    {
        const auto it = scheduler.state().workers.find(id.value());
        return it == scheduler.state().workers.end()
                   ? std::nullopt
                   : std::optional<Endpoint>(it->second->info.endpoint);
    }

    void send(const StartTask &order)
    {
        sendRun(order, "start", &platform::WorkerClient::start,
                [](Private &self, const OrderedRun &it, const OrderReply &reply, TimePoint now) {
                    self.scheduler.onStartReply(it.worker, it.task, it.run, reply, now);
                });
    }

    void send(const StopTask &order)
    {
        sendRun(order, "stop", &platform::WorkerClient::stop,
                [](Private &self, const OrderedRun &it, const OrderReply &reply, TimePoint now) {
                    self.scheduler.onStopOutcome(it.worker, it.task, it.run, reply.outcome, now);
                });
    }

    void send(const PaceTask &order)
    {
        sendRun(order, "pace", &platform::WorkerClient::pace,
                [](Private &self, const OrderedRun &it, const OrderReply &reply, TimePoint now) {
                    self.scheduler.onPaceOutcome(it.worker, it.task, it.run, reply.outcome, now);
                });
    }

    /// Sends an order about one run and hands its reply to \a take.
    template <typename Order, typename Take>
    void sendRun(const Order &order, const char *kind,
                 void (platform::WorkerClient::*call)(const Endpoint &, const Order &, Epoch,
                                                      platform::WorkerClient::OnReply),
                 Take take)
    {
        const auto endpoint = endpointOf(order.worker);
        if (!endpoint) {
            return;
        }
        metrics.add(std::string("firefly_task_") + kind + "s_total");
        (workers.*call)(*endpoint, order, epoch,
                        guarded([ordered = OrderedRun{order.worker, order.task, order.run}, kind,
                                 take](Private &self, const OrderReply &reply) {
                            self.noteOutcome(kind, ordered, reply.outcome);
                            take(self, ordered, reply, Clock::now());
                            self.wake();
                        }));
    }

    void send(const RenewLease &order)
    {
        const auto endpoint = endpointOf(order.worker);
        if (!endpoint) {
            return;
        }
        metrics.add("firefly_lease_renewals_total");
        workers.renew(*endpoint, order, epoch,
                      guarded([worker = order.worker, sentAt = Clock::now()](
                                  Private &self, OrderOutcome outcome, const LeaseReport &report) {
                          if (outcome != OrderOutcome::Accepted) {
                              self.log.write(
                                  LogLevel::Warning, "cell", "renewal failed",
                                  {{"worker", worker.value()}, {"outcome", toString(outcome)}});
                          }
                          self.scheduler.onLeaseReport(worker, outcome, report, sentAt,
                                                       Clock::now(), unixMs());
                          self.wake();
                      }));
    }

    void send(const CellNote &note)
    {
        log.write(LogLevel::Info, "cell", note.message, [&] {
            return nlohmann::json{{"job", note.task.job.value()},
                                  {"task", platform::taskText(note.task)},
                                  {"run", note.run},
                                  {"worker", note.worker},
                                  {"epoch", epoch},
                                  {"detail", note.detail}};
        });
    }

    void noteOutcome(const char *kind, const OrderedRun &order, OrderOutcome outcome)
    {
        if (outcome == OrderOutcome::Accepted) {
            return;
        }
        metrics.add("firefly_orders_refused_total");
        log.write(LogLevel::Info, "cell", std::string(kind) + " refused", [&] {
            return nlohmann::json{{"job", order.task.job.value()},
                                  {"task", platform::taskText(order.task)},
                                  {"run", order.run},
                                  {"worker", order.worker.value()},
                                  {"outcome", toString(outcome)}};
        });
    }

    asio::io_context &context;
    const NodeSettings &settings;
    Options options;
    platform::StoreClient &store;
    platform::WorkerClient &workers;
    EventLog &log;
    Metrics &metrics;
    CellElection election;
    CellScheduler scheduler;
    std::unique_ptr<TopicFollower> claims;
    std::unique_ptr<TopicFollower> directory;
    std::set<std::string> foreignWorkers; ///< Registered workers of other cells.
    Timer timer;
    Timer journalTimer;
    TimePoint lastLoadLine{};
    TimePoint lastPendingCount{};
    Epoch epoch = 0;
    std::uint64_t generation = 0;
    bool isOwning = false;
    bool isServing = false;
    bool isAwake = false;
    bool isJournalBusy = false;
    bool hasStoreContact = true;
    Duration appendTimeout = ShortAppendTimeout;
    std::optional<TimePoint> storeFailingSince;
};

CellHost::CellHost(asio::io_context &context, const NodeSettings &settings, Options options,
                   platform::StoreClient &store, platform::WorkerClient &workers, EventLog &log,
                   Metrics &metrics)
    : m_private(std::make_shared<Private>(context, settings, std::move(options), store, workers,
                                          log, metrics))
{
    m_private->begin();
}

CellHost::~CellHost() = default;

bool CellHost::isServing() const
{
    return m_private->isServing;
}

const CellElection &CellHost::election() const
{
    return m_private->election;
}

void CellHost::resign()
{
    m_private->election.resign();
    m_private->wake();
}

bool CellHost::hasResigned() const
{
    return !m_private->isOwning;
}

void CellHost::submit(const JobId &id, JobSpec spec, bool isReferred, OnCallerReply done)
{
    Private &self = *m_private;
    if (self.isStoreFailing()) {
        done({CallerVerdict::Refused, JobState::Queued, 0, "the store is unavailable"});
        return;
    }
    if (!isReferred && self.refer(id, spec, done)) {
        return;
    }
    self.scheduler.submit(id, std::move(spec), Clock::now(), unixMs(),
                          [done = std::move(done)](CellScheduler::Verdict verdict) {
                              done(Private::toReply(verdict));
                          });
    self.wake();
}

void CellHost::query(const JobId &id, const OnCallerReply &done)
{
    Private &self = *m_private;
    if (const auto cell = self.scheduler.referralOf(id)) {
        done({CallerVerdict::Elsewhere, JobState::Queued, 0, "referred", *cell});
        return;
    }
    const auto state = self.scheduler.stateOf(id);
    if (state) {
        done({CallerVerdict::Done, *state, 0, {}});
        return;
    }
    if (!self.election.isSurelyOwner(Clock::now())) {
        done({CallerVerdict::NotRun, JobState::Queued, 0, "another owner may know the job"});
        return;
    }
    done({CallerVerdict::NoSuchJob, JobState::Queued, 0, "no such job"});
}

void CellHost::cancel(const JobId &id, const OnCallerReply &done)
{
    Private &self = *m_private;
    const auto onVerdict = [done](CellScheduler::Verdict verdict) {
        const bool isDone = verdict == CellScheduler::Verdict::Accepted;
        done({isDone ? CallerVerdict::Done : CallerVerdict::Unknown, JobState::Canceled, 0, {}});
    };
    if (!self.scheduler.cancel(id, Clock::now(), unixMs(), onVerdict)) {
        query(id, done);
    }
    self.wake();
}

nlohmann::json CellHost::dump() const
{
    return dumpCell(m_private->election, m_private->scheduler);
}

} // namespace firefly
