#include "Node/CellHost.h"

#include "Admission/RetryAdvice.h"
#include "CellLease/ClaimRecord.h"
#include "CellLease/FleetDirectory.h"
#include "Core/UnixTime.h"
#include "Fleet/ReferralPolicy.h"
#include "Fleet/SpareCapacity.h"
#include "Node/CellDump.h"
#include "Node/DelegationSender.h"
#include "Node/JobPartition.h"
#include "Node/LoadAhead.h"
#include "Node/OrderSender.h"
#include "Node/TopicFollower.h"
#include "Node/WorkerDirectory.h"
#include "platform/Wire.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <optional>
#include <set>

namespace firefly {
namespace {

/// Longest wait of one read of the claims; the periodic steps detect an owner that stops renewing.
constexpr Duration ClaimReadWait = std::chrono::milliseconds(1000);
/// Longest time between two steps, as owner and as candidate.
constexpr Duration OwnerTickInterval = std::chrono::milliseconds(40);
constexpr Duration CandidateTickInterval = std::chrono::milliseconds(100);
constexpr Duration ClaimTimeout = std::chrono::milliseconds(1600);
/// Interval at which the owner measures the load that it publishes and delegates tasks.
constexpr Duration MeasureInterval = std::chrono::milliseconds(200);
/// Interval of the owner's load log line.
constexpr Duration LoadLogInterval = std::chrono::seconds(2);
/// Interval of the log line about free pieces of capacity, which lasts while tasks wait for them.
constexpr Duration PieceLogInterval = std::chrono::milliseconds(250);
/// Long-running demand, as a fraction of the cell's capacity, above which free pieces are logged.
constexpr double CrowdedLoad = 0.9;
/// A change of the load by this fraction of the cell's capacity is published at once.
constexpr double SignificantLoadChange = 0.05;
/// Time for which a process that is no longer a candidate goes on following the claims.
constexpr Duration WatchLinger = std::chrono::seconds(3);
/// Time that an owner which stops or yields leaves to the next one to load the jobs.
constexpr Duration MaxHandOverTime = std::chrono::milliseconds(1500);
/// Time for which a better owner must be known before the cell is released to it.
constexpr Duration ReleaseDelay = std::chrono::seconds(5);

CellElection::Options electionOptions(const NodeSettings &settings,
                                      const CellHost::Options &options)
{
    CellElection::Options result;
    result.holder = options.incarnation;
    result.node = settings.node;
    result.endpoint = options.endpoint;
    result.maxLease = settings.bounds.grantedLease();
    return result;
}

} // namespace

struct CellHost::Private : std::enable_shared_from_this<Private>
{
    using Timer = asio::basic_waitable_timer<Clock>;

    Private(asio::io_context &contextIn, const NodeSettings &settingsIn, Options optionsIn,
            platform::StoreClient &storeIn, StoreRetryPolicy &retriesIn,
            platform::WorkerClient &workersIn, EventLog &logIn, Metrics &metricsIn)
        : context(contextIn)
        , settings(settingsIn)
        , options(std::move(optionsIn))
        , store(storeIn)
        , retries(retriesIn)
        , workers(workersIn)
        , log(logIn)
        , metrics(metricsIn)
        , election(electionOptions(settings, options))
        , scheduler(settings.bounds, options.cell)
        , loadAhead(contextIn, storeIn, retriesIn, logIn, options.cell, [this] { postStep(); })
        , timer(contextIn)
    {
        scheduler.suspendStarts();
    }

    void begin()
    {
        updateWatching(Clock::now());
        schedule();
    }

    /// Starts to follow the claims, or stops when this process is no candidate.
    void updateWatching(TimePoint now)
    {
        if (isOwning || election.isOwner() || election.isClaiming() || options.shouldWatch()) {
            lastWantedAt = now;
            if (!claims) {
                startWatching();
            }
        } else if (claims && now - lastWantedAt >= WatchLinger) {
            claims.reset();
            election.onReadFailed();
        }
    }

    void startWatching()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { onClaimRecord(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [this](std::uint64_t end) {
            election.onRead(end, Clock::now());
            updateStoreContact(true, {});
            postStep();
        };
        callbacks.onFailed = [this](const std::string &error) {
            metrics.add("firefly_store_read_failures_total{topic=\"claims\"}");
            election.onReadFailed();
            updateStoreContact(false, error);
        };
        const TopicFollower::Options topic{platform::claimTopic(options.cell),
                                           StoreReadKind::Ownership, ClaimReadWait, Duration{}};
        claims =
            std::make_unique<TopicFollower>(context, store, retries, topic, std::move(callbacks));
    }

    // Timing

    /// Posts one step(), however often it is called before that runs.
    void postStep()
    {
        if (std::exchange(isStepPosted, true)) {
            return;
        }
        asio::post(context, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->isStepPosted = false;
                self->step();
            }
        });
    }

    void schedule()
    {
        timer.expires_after(isOwning ? OwnerTickInterval : CandidateTickInterval);
        timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->step();
                self->schedule();
            }
        });
    }

    /// Begins or ends the ownership, lets the scheduler act and renews the claim, as far as due.
    void step()
    {
        const TimePoint now = Clock::now();
        updateWatching(now);
        if (isOwning
            && (!election.isOwner() || election.epoch() != epoch || scheduler.isFenced()
                || scheduler.needsNewEpoch() || now >= election.ordersUntil())) {
            endOwnership();
        }
        if (!isOwning && election.isOwner() && !election.isResigning()
            && now < election.ordersUntil()) {
            beginOwnership(now);
        }
        if (partition && !partition->isFailing()) {
            storeRetries.onSuccess();
        }
        if (isServing && orders && partition) {
            scheduler.setOrdersUntil(election.ordersUntil(), election.startsUntil());
            scheduler.tick(now, unixMs());
            delegateTasks(now);
            orders->sendAll();
            partition->append();
            releaseHeldJobs(now);
            publishLoad(now);
            logLoad(now);
            releaseToBetterOwner(now);
        }
        sendClaim(now);
    }

    /// Publishes the load and the pending counts, as far as due.
    void publishLoad(TimePoint now)
    {
        if (now - lastMeasuredAt < MeasureInterval && !isPublicationDue) {
            return;
        }
        lastMeasuredAt = now;
        CellLoad load = scheduler.load();
        for (const HeldJob &it : held) {
            load += it.load;
        }
        std::vector<JobId> givenUp = scheduler.givenUpJobs();
        isPublicationDue = isPublicationDue || givenUp != publishedGivenUp;
        const double change = std::abs(load.reserved - publishedLoad.reserved)
                              + std::abs(load.fillers - publishedLoad.fillers);
        if (std::exchange(isPublicationDue, false) || change > SignificantLoadChange
            || now - lastPublishedAt >= FleetDirectory::CellInterval) {
            publishedLoad = load;
            publishedGivenUp = std::move(givenUp);
            election.setPending(scheduler.pendingByQueue());
            election.setLoad(load);
            publish(now);
        }
    }

    /// Publishes the latest claim of this process with its current load.
    void publish(TimePoint now)
    {
        lastPublishedAt = now;
        OwnershipClaim claim = election.claim();
        claim.pendingByQueue = election.pending();
        claim.load = election.load();
        claim.rooms = scheduler.roomByService();
        claim.givenUpJobs = publishedGivenUp;
        claim.renewal = ++publications;
        options.publish(claim);
    }

    /// Delegates long-running tasks that wait here to cells with room, as far as due.
    void delegateTasks(TimePoint now)
    {
        if (!hasReadWorkers || now - lastDelegationAt < MeasureInterval) {
            return;
        }
        lastDelegationAt = now;
        for (const int guest : scheduler.guests()) {
            if (const OwnershipClaim *claim = options.publishedClaim(guest)) {
                scheduler.onTasksGivenUp(guest, claim->givenUpJobs, now, unixMs());
            }
        }
        for (const std::string &it : scheduler.servicesToDelegate(now)) {
            scheduler.delegateTasks(it, options.guestOffers(it), now);
        }
    }

    void releaseToBetterOwner(TimePoint now)
    {
        if (!options.shouldRelease()) {
            betterOwnerSince.reset();
            return;
        }
        if (!betterOwnerSince) {
            betterOwnerSince = now;
        }
        if (now - *betterOwnerSince >= ReleaseDelay) {
            log.write(LogLevel::Info, "cell", "released to a better owner",
                      {{"cell", options.cell}, {"epoch", epoch}});
            betterOwnerSince.reset();
            handOver(now);
            election.yield();
        }
    }

    /// Lets another process prepare to claim the cell before it is released.
    void handOver(TimePoint now)
    {
        if (!isServing || !election.isOwner() || !hasStoreContact || partition->isFailing()) {
            return;
        }
        election.handOver(now + MaxHandOverTime);
        log.write(LogLevel::Info, "cell", "owner leaves",
                  {{"cell", options.cell}, {"epoch", epoch}});
    }

    /// Wraps \a callback so that it does nothing once this ownership has ended.
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

    void setEvacuatedZones(const std::set<std::string> &zones)
    {
        const std::set<std::string> before = scheduler.state().evacuatedZones;
        scheduler.setEvacuatedZones(zones);
        isPublicationDue = true;
        if (!isServing) {
            return;
        }
        for (const std::string &it : zones) {
            if (!before.contains(it)) {
                logEvacuation("zone evacuated", it);
            }
        }
        for (const std::string &it : before) {
            if (!zones.contains(it)) {
                logEvacuation("zone given back", it);
            }
        }
        postStep();
    }

    void logEvacuation(const char *message, const std::string &zone)
    {
        std::size_t workerCount = 0;
        std::size_t taskCount = 0;
        for (const auto &[id, worker] : scheduler.state().workers) {
            const bool isInZone = worker->isRegistered && worker->info.zone == zone;
            workerCount += isInZone ? 1 : 0;
            taskCount += isInZone ? worker->tasks.size() : 0;
        }
        log.write(LogLevel::Info, "cell", message,
                  {{"cell", options.cell},
                   {"epoch", epoch},
                   {"zone", zone},
                   {"workers", workerCount},
                   {"tasks", taskCount}});
    }

    void logLoad(TimePoint now)
    {
        logFreePieces(now);
        if (now - lastLoadLogAt < LoadLogInterval) {
            return;
        }
        lastLoadLogAt = now;
        nlohmann::json fields = summarizeLoad(scheduler);
        fields["cell"] = options.cell;
        log.write(LogLevel::Info, "cell", "load", fields);
    }

    /// Logs the largest free pieces of capacity while long-running tasks fill most of the cell.
    void logFreePieces(TimePoint now)
    {
        if (now - lastPieceLogAt < PieceLogInterval || publishedLoad.longRunning < CrowdedLoad) {
            return;
        }
        lastPieceLogAt = now;
        nlohmann::json fields = summarizeFreePieces(scheduler);
        fields["cell"] = options.cell;
        log.write(LogLevel::Info, "cell", "free pieces", fields);
    }

    // Ownership

    void onClaimRecord(const KeyedRecord &record)
    {
        if (!record.value) {
            return;
        }
        try {
            const OwnershipClaim claim = decodeClaim(*record.value);
            const bool hadOwner = election.hasOwner();
            election.onClaim(claim, Clock::now());
            noteRelease(hadOwner);
        } catch (const ClaimRecordError &e) {
            log.write(LogLevel::Error, "cell", "unreadable claim", {{"error", e.what()}});
        }
        postStep();
    }

    /// Records when the cell was released; \a hadOwner tells whether it had an owner until now.
    void noteRelease(bool hadOwner)
    {
        if (hadOwner && !election.hasOwner()) {
            ownerlessSince = Clock::now();
        }
    }

    void sendClaim(TimePoint now)
    {
        if (!isOwning) {
            const int rank = options.claimRank();
            election.setClaimRank(rank);
            loadAhead.update(election, rank, now);
            election.setReadySince(loadAhead.readySince());
        }
        const auto append = election.next(now);
        if (!append) {
            return;
        }
        // An announcement that the owner leaves limits all orders from now on.
        scheduler.setOrdersUntil(election.ordersUntil(), election.startsUntil());
        const bool isNew = append->claim.epoch != election.epoch();
        if (isNew) {
            claimSentAt = now;
            log.write(LogLevel::Info, "cell", "claiming",
                      {{"cell", options.cell},
                       {"epoch", append->claim.epoch},
                       {"from", election.claim().node},
                       {"position", append->position}});
        }
        const KeyedRecord record{"owner", encodeClaim(append->claim)};
        platform::AppendConditions guard;
        guard.position = append->position;
        metrics.add("firefly_store_appends_total{topic=\"claims\"}");
        store.append(platform::claimTopic(options.cell), guard, {&record, 1}, ClaimTimeout,
                     [weak = weak_from_this()](const platform::AppendResult &result) {
                         const auto self = weak.lock();
                         if (!self) {
                             return;
                         }
                         if (result.outcome == AppendOutcome::Stored) {
                             const bool hadOwner = self->election.hasOwner();
                             self->election.onAppended(result.end, Clock::now());
                             self->noteRelease(hadOwner);
                         } else if (result.isConflict) {
                             self->election.onAppendRefused(result.end, Clock::now());
                         } else {
                             self->election.onAppendFailed(Clock::now());
                         }
                         if (self->claims && self->election.hasUnreadClaims()) {
                             self->claims->catchUp(self->election.topicEnd());
                         }
                         self->postStep();
                     });
    }

    void beginOwnership(TimePoint now)
    {
        isOwning = true;
        epoch = election.epoch();
        const auto toMs = [](Duration it) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
        };
        log.write(LogLevel::Info, "cell", "owner begins",
                  {{"cell", options.cell},
                   {"epoch", epoch},
                   {"version", election.claim().renewal},
                   {"claim_ms", toMs(now - claimSentAt)},
                   {"without_owner_ms",
                    ownerlessSince ? toMs(now - *ownerlessSince) : std::int64_t{-1}}});
        // Until the workers are known, other cells should send no jobs or tasks here.
        election.setLoad({1.0, 1.0, 1.0});
        publishedGivenUp.clear();
        publish(now);
        scheduler.beginOwnership(epoch, now, election.earlierOrdersExpiry());
        hasReadWorkers = false;
        const auto afterReply = guarded([](Private &self) { self.postStep(); });
        delegations = std::make_unique<DelegationSender>(context, scheduler, log, metrics,
                                                         options.sendDelegation, afterReply);
        orders = std::make_unique<OrderSender>(
            scheduler, workers, log, metrics, options.cell, epoch, afterReply,
            [this](const DelegationRequest &request) { delegations->send(request); });
        directory = std::make_unique<WorkerDirectory>(context, store, retries, scheduler, log,
                                                      options.layout, options.cell,
                                                      guarded([](Private &self) {
                                                          self.hasReadWorkers = true;
                                                          self.postStep();
                                                      }));
        JobPartition::Callbacks callbacks;
        callbacks.onLoaded = guarded([](Private &self) { self.beginServing(); });
        callbacks.onFenced = guarded([](Private &self) { self.endOwnership(); });
        callbacks.onReadyToAppend = guarded([](Private &self) { self.postStep(); });
        partition =
            std::make_unique<JobPartition>(context, store, scheduler, log, metrics, options.cell,
                                           epoch, std::move(callbacks), loadAhead.take());
    }

    void beginServing()
    {
        isServing = true;
        log.write(LogLevel::Info, "cell", "owner serves",
                  {{"cell", options.cell},
                   {"epoch", epoch},
                   {"jobs", scheduler.state().jobs.size()},
                   {"workers", scheduler.state().workers.size()},
                   {"evacuated_zones", scheduler.state().evacuatedZones},
                   {"starts_suspended", scheduler.state().areStartsSuspended}});
        directory->begin();
        postStep();
    }

    void endOwnership()
    {
        if (election.epoch() == epoch) {
            // Fronts stop sending requests here and candidates start to follow the claims.
            OwnershipClaim released = election.claim();
            released.holder.clear();
            released.renewal = ++publications;
            options.publish(released);
        }
        log.write(LogLevel::Warning, "cell", "owner ends",
                  {{"cell", options.cell},
                   {"epoch", epoch},
                   {"fenced", scheduler.isFenced()},
                   {"unconfirmed_starts", scheduler.unconfirmedStarts()},
                   {"owner", election.claim().node},
                   {"owner_epoch", election.epoch()}});
        if (election.epoch() == epoch) {
            election.giveUp();
        }
        isOwning = false;
        isServing = false;
        directory.reset();
        delegations.reset();
        refuseHeldJobs();
        scheduler.endOwnership();
        // This may run inside one of their callbacks: they drop all further answers now, and are
        // destroyed later, from the event loop.
        ++generation;
        if (orders) {
            orders->close();
        }
        if (partition) {
            partition->close();
        }
        asio::post(context, [ended = std::move(orders), partition = std::move(partition)] {});
    }

    void updateStoreContact(bool isReachable, const std::string &error)
    {
        if (isReachable == hasStoreContact) {
            return;
        }
        hasStoreContact = isReachable;
        log.write(isReachable ? LogLevel::Info : LogLevel::Warning, "cell",
                  isReachable ? "store regained" : "store lost", {{"error", error}});
    }

    // Clients

    /// True if \a spec may run in another cell without being far from its data.
    static bool isReferable(const JobSpec &spec)
    {
        return std::ranges::all_of(spec.steps,
                                   [](const StepSpec &it) { return it.dataRack.empty(); });
    }

    /// Refers a new job to a less loaded cell; false if this cell keeps it.
    bool refer(const JobId &id, const JobSpec &spec, bool isHeld, const OnCallerReply &done)
    {
        if (scheduler.hasJob(id)) {
            return false;
        }
        const bool isLongRunning = std::ranges::any_of(spec.steps, &StepSpec::isLongRunning);
        const bool isStranded = scheduler.isEvacuated(spec.policy.service);
        const NewJob job{id,     spec.policy.service, scheduler.loadOf(spec), isLongRunning,
                         isHeld, isStranded};
        const bool mayRefer = isReferable(spec) || isStranded;
        const auto cell = mayRefer ? options.lessLoadedCell(job, scheduler.load()) : std::nullopt;
        if (!cell && !scheduler.isReferred(id)) {
            return false;
        }
        storeReferral(id, cell.value_or(options.cell), done);
        return true;
    }

    void storeReferral(const JobId &id, int cell, const OnCallerReply &done)
    {
        scheduler.refer(
            id, cell, unixMs(), guarded([id, done](Private &self, CellScheduler::Verdict verdict) {
                const auto target = self.scheduler.referralOf(id);
                CallerReply reply = self.toStoreReply(id, verdict);
                if (reply.outcome == CallerOutcome::Done && target) {
                    reply = {CallerOutcome::Elsewhere, JobState::Queued, 0, "referred", *target};
                }
                done(reply);
            }));
        postStep();
    }

    /// The reply to a submission of \a id by its \a verdict.
    CallerReply toStoreReply(const JobId &id, CellScheduler::Verdict verdict)
    {
        CallerReply reply = toReply(verdict);
        if (reply.outcome == CallerOutcome::Refused && partition && partition->isFailing()) {
            reply = refuseForStore(id, reply.detail);
        }
        return reply;
    }

    /// Refuses \a id because of the store, with advice on when to return.
    CallerReply refuseForStore(const JobId &id, const std::string &detail)
    {
        const TimePoint now = Clock::now();
        storeRetries.onFailure(now);
        metrics.add("firefly_admission_refusals_total{reason=\"store\"}");
        CallerReply reply{CallerOutcome::Refused, JobState::Queued, 0, detail};
        reply.retryAfter = storeRetries.delayFor(id.value(), now);
        return reply;
    }

    /// Submits a new job here or refers it to another cell.
    void submit(const JobId &id, JobSpec spec, bool isReferred, bool isHeld, OnCallerReply done)
    {
        // The other owners soon see the load that a long-running job adds or that leaves the cell.
        isPublicationDue =
            isPublicationDue || std::ranges::any_of(spec.steps, &StepSpec::isLongRunning);
        if (!isReferred && refer(id, spec, isHeld, done)) {
            return;
        }
        const BacklogAdmission::Decision decision = scheduler.admit(id, spec, Clock::now());
        if (decision.isRefused()) {
            if (isReferred || !referToSpareCapacity(id, spec, done)) {
                refuseForBacklog(id, spec, decision, done);
            }
            return;
        }
        scheduler.submit(
            id, std::move(spec), Clock::now(), unixMs(),
            [id, done = std::move(done), weak = weak_from_this()](CellScheduler::Verdict verdict) {
                const auto self = weak.lock();
                done(self ? self->toStoreReply(id, verdict) : toReply(verdict));
            });
        postStep();
    }

    /// Refers a job that would be refused here to a cell with free capacity, if there is one.
    bool referToSpareCapacity(const JobId &id, const JobSpec &spec, const OnCallerReply &done)
    {
        if (!isReferable(spec) || spec.steps.empty()) {
            return false;
        }
        CellLoad load = scheduler.loadOf(spec);
        load.milliCpu = scheduler.load().milliCpu;
        const auto cell = findSpareCapacity(options.guestOffers(spec.policy.service), load,
                                            spec.steps.front().reservation(), spreadOf(id.value()));
        if (!cell) {
            return false;
        }
        storeReferral(id, *cell, done);
        return true;
    }

    void refuseForBacklog(const JobId &id, const JobSpec &spec,
                          const BacklogAdmission::Decision &decision, const OnCallerReply &done)
    {
        const auto toMs = [](Duration it) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
        };
        metrics.add("firefly_admission_refusals_total{reason=\"backlog\"}");
        log.write(LogLevel::Info, "cell", "job refused", [&] {
            return nlohmann::json{{"job", id.value()},
                                  {"cell", options.cell},
                                  {"queue", spec.policy.queue.value()},
                                  {"reason", toString(decision.reason)},
                                  {"ahead_core_s", decision.ahead},
                                  {"rate_cores", decision.rate},
                                  {"expected_ms", toMs(decision.expectedTime)},
                                  {"retry_after_ms", toMs(decision.retryAfter)}};
        });
        CallerReply reply{CallerOutcome::Refused, JobState::Queued, 0,
                          "the backlog is too long for the job to end in time"};
        reply.retryAfter = decision.retryAfter;
        done(reply);
    }

    /// A long-running job that waits for the loads of the other cells.
    struct HeldJob
    {
        TimePoint decideAt{};
        JobId id;
        JobSpec spec;
        CellLoad load;
        OnCallerReply done;
    };

    /// True if a new long-running job is held.
    bool hold(const JobId &id, JobSpec &spec, OnCallerReply &done)
    {
        const bool isCandidate =
            !scheduler.isKnown(id) && std::ranges::any_of(spec.steps, &StepSpec::isLongRunning);
        if (!isCandidate || !options.shouldHold()) {
            return false;
        }
        const CellLoad load = scheduler.loadOf(spec);
        held.push_back(
            {Clock::now() + ReferralPolicy::HoldTime, id, std::move(spec), load, std::move(done)});
        isPublicationDue = true;
        postStep();
        return true;
    }

    void releaseHeldJobs(TimePoint now)
    {
        while (!held.empty() && held.front().decideAt <= now) {
            HeldJob job = std::move(held.front());
            held.pop_front();
            submit(job.id, std::move(job.spec), false, true, std::move(job.done));
        }
    }

    /// Answers the held jobs at the end of the ownership; none was stored.
    void refuseHeldJobs()
    {
        for (const HeldJob &it : std::exchange(held, {})) {
            // Another submission of the job may have been taken meanwhile.
            const bool isKnown = scheduler.isKnown(it.id);
            it.done({isKnown ? CallerOutcome::Unknown : CallerOutcome::NotRun, JobState::Queued, 0,
                     "owner changed"});
        }
    }

    /// Answers a request of another cell about delegated tasks.
    void answerDelegation(const DelegationRequest &request, const OnCallerReply &done)
    {
        if (!hasReadWorkers) {
            done({CallerOutcome::NotRun, JobState::Queued, 0, "the workers aren't known yet"});
            return;
        }
        // What is known already is acknowledged without a call to the store, which would tell that
        // this owner is fenced.
        if (!election.isExclusiveOwner(Clock::now())) {
            done({CallerOutcome::NotRun, JobState::Queued, 0, "another owner may know the job"});
            return;
        }
        const auto onReply = [done, weak = weak_from_this()](const CallerReply &reply) {
            const auto self = weak.lock();
            if (self && reply.outcome == CallerOutcome::Done) {
                // Other cells that look for a guest soon see the demand.
                self->isPublicationDue = true;
                self->postStep();
            }
            done(reply);
        };
        firefly::answerDelegation(scheduler, request, Clock::now(), unixMs(), onReply);
        postStep();
    }

    asio::io_context &context;
    const NodeSettings &settings;
    Options options;
    platform::StoreClient &store;
    StoreRetryPolicy &retries;
    platform::WorkerClient &workers;
    EventLog &log;
    Metrics &metrics;
    CellElection election;
    CellScheduler scheduler;
    LoadAhead loadAhead;
    std::unique_ptr<DelegationSender> delegations; ///< Set while owning.
    std::unique_ptr<OrderSender> orders;           ///< Set while owning.
    std::unique_ptr<JobPartition> partition;       ///< Set while owning.
    std::unique_ptr<TopicFollower> claims;
    std::unique_ptr<WorkerDirectory> directory; ///< Set while owning.
    Timer timer;
    std::deque<HeldJob> held; ///< In the order of their decisions.
    TimePoint lastLoadLogAt{};
    TimePoint lastPieceLogAt{};
    TimePoint claimSentAt{};                 ///< Of the latest claim under a new epoch.
    std::optional<TimePoint> ownerlessSince; ///< When the latest release became known.
    TimePoint lastMeasuredAt{};
    TimePoint lastDelegationAt{};
    TimePoint lastPublishedAt{};
    TimePoint lastWantedAt{}; ///< When this process was last an owner or a candidate.
    std::optional<TimePoint> betterOwnerSince;
    CellLoad publishedLoad;
    std::vector<JobId> publishedGivenUp; ///< As OwnershipClaim::givenUpJobs.
    std::uint64_t publications = 0;      ///< Number of publications of this process.
    Epoch epoch = 0;
    std::uint64_t generation = 0; ///< Number of ownerships that have ended.
    bool isOwning = false;
    bool isServing = false;
    bool hasReadWorkers = false; ///< This owner has read the list of workers.
    bool isStepPosted = false;
    bool isPublicationDue = false; ///< The load is to be published before it is due.
    bool hasStoreContact = true;
    RetryAdvice storeRetries{RetryAdvice::RefusedAtOnce};
};

CellHost::CellHost(asio::io_context &context, const NodeSettings &settings, Options options,
                   platform::StoreClient &store, StoreRetryPolicy &retries,
                   platform::WorkerClient &workers, EventLog &log, Metrics &metrics)
    : m_private(std::make_shared<Private>(context, settings, std::move(options), store, retries,
                                          workers, log, metrics))
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

bool CellHost::isWatching() const
{
    return m_private->claims != nullptr;
}

void CellHost::setEvacuatedZones(const std::set<std::string> &zones)
{
    m_private->setEvacuatedZones(zones);
}

void CellHost::resign()
{
    m_private->handOver(Clock::now());
    m_private->election.resign();
    m_private->postStep();
}

bool CellHost::hasResigned() const
{
    // A claim in flight may still be stored; without a release others would wait for its owner.
    const CellElection &election = m_private->election;
    return !m_private->isOwning && !election.isOwner() && !election.isClaiming();
}

void CellHost::submit(const JobId &id, JobSpec spec, bool isReferred, OnCallerReply done)
{
    Private &self = *m_private;
    const bool isKnown = self.scheduler.isKnown(id);
    if (!isKnown && self.partition && self.partition->isFailing()) {
        done(self.refuseForStore(id, "the store is unavailable"));
        return;
    }
    if (!isKnown && !self.hasReadWorkers) {
        done({CallerOutcome::NotRun, JobState::Queued, 0, "the workers aren't known yet"});
        return;
    }
    if (!isReferred && self.hold(id, spec, done)) {
        return;
    }
    self.submit(id, std::move(spec), isReferred, false, std::move(done));
}

void CellHost::query(const JobId &id, const OnCallerReply &done)
{
    Private &self = *m_private;
    if (const auto cell = self.scheduler.referralOf(id)) {
        done({CallerOutcome::Elsewhere, JobState::Queued, 0, "referred", *cell});
        return;
    }
    const auto state = self.scheduler.stateOf(id);
    if (state) {
        done({CallerOutcome::Done, *state, 0, {}});
        return;
    }
    if (!self.election.isExclusiveOwner(Clock::now())) {
        done({CallerOutcome::NotRun, JobState::Queued, 0, "another owner may know the job"});
        return;
    }
    done({CallerOutcome::NoSuchJob, JobState::Queued, 0, "no such job"});
}

void CellHost::cancel(const JobId &id, const OnCallerReply &done)
{
    Private &self = *m_private;
    const auto onVerdict = [done](CellScheduler::Verdict verdict) {
        const bool isDone = verdict == CellScheduler::Verdict::Accepted;
        done({isDone ? CallerOutcome::Done : CallerOutcome::Unknown, JobState::Canceled, 0, {}});
    };
    if (!self.scheduler.cancel(id, Clock::now(), unixMs(), onVerdict)) {
        query(id, done);
    }
    self.postStep();
}

void CellHost::answerDelegation(const DelegationRequest &request, const OnCallerReply &done)
{
    m_private->answerDelegation(request, done);
}

nlohmann::json CellHost::dump() const
{
    return dumpCell(m_private->election, m_private->scheduler);
}

} // namespace firefly
