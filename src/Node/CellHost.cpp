#include "Node/CellHost.h"

#include "CellLease/ClaimRecord.h"
#include "Core/UnixTime.h"
#include "Node/CellDump.h"
#include "Node/CellRecords.h"
#include "Node/OrderSender.h"
#include "Node/TopicFollower.h"
#include "Node/WorkerDirectory.h"
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
/// Longest time without a look at the clock, as owner and otherwise.
constexpr Duration OwnerTick = std::chrono::milliseconds(40);
constexpr Duration CandidateTick = std::chrono::milliseconds(100);
constexpr Duration ClaimTimeout = std::chrono::milliseconds(1600);
/// The counts of waiting jobs are published with each renewal of the claim.
constexpr Duration PendingCountInterval = std::chrono::milliseconds(200);
/// Interval of the owner's line on its load.
constexpr Duration LoadLineInterval = std::chrono::seconds(2);
/// The candidate with a whole core goes first; one without any waits this long.
constexpr Duration FullHeadStart = CellElection::LongestHeadStart;

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
        if (isServing && orders && records) {
            scheduler.setOrdersUntil(election.ordersUntil());
            scheduler.tick(now, unixMs());
            orders->sendAll();
            records->append();
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
        store.append(platform::claimTopic(options.cell), guard, {&record, 1}, ClaimTimeout,
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
        orders = std::make_unique<OrderSender>(scheduler, workers, log, metrics, epoch,
                                               guarded([](Private &self) { self.wake(); }));
        CellRecords::Callbacks callbacks;
        callbacks.onLoaded = guarded([](Private &self) { self.serve(); });
        callbacks.onFenced = guarded([](Private &self) { self.endOwnership(); });
        callbacks.onSettled = guarded([](Private &self) { self.wake(); });
        records = std::make_unique<CellRecords>(context, store, scheduler, log, metrics,
                                                options.cell, epoch, std::move(callbacks));
    }

    void serve()
    {
        isServing = true;
        log.write(LogLevel::Info, "cell", "owner serves",
                  {{"cell", options.cell},
                   {"epoch", epoch},
                   {"jobs", scheduler.state().jobs.size()},
                   {"workers", scheduler.state().workers.size()}});
        directory = std::make_unique<WorkerDirectory>(context, store, scheduler, log,
                                                      options.layout, options.cell,
                                                      guarded([](Private &self) { self.wake(); }));
        wake();
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
        // Their callbacks may be running: they end with the generation, the objects a moment later.
        ++generation;
        asio::post(context, [ended = std::move(orders), records = std::move(records)] {});
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

    asio::io_context &context;
    const NodeSettings &settings;
    Options options;
    platform::StoreClient &store;
    platform::WorkerClient &workers;
    EventLog &log;
    Metrics &metrics;
    CellElection election;
    CellScheduler scheduler;
    std::unique_ptr<OrderSender> orders;  ///< While owning.
    std::unique_ptr<CellRecords> records; ///< While owning.
    std::unique_ptr<TopicFollower> claims;
    std::unique_ptr<WorkerDirectory> directory; ///< While serving.
    Timer timer;
    TimePoint lastLoadLine{};
    TimePoint lastPendingCount{};
    Epoch epoch = 0;
    std::uint64_t generation = 0;
    bool isOwning = false;
    bool isServing = false;
    bool isAwake = false;
    bool hasStoreContact = true;
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
    if (self.records && self.records->isFailing()) {
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
