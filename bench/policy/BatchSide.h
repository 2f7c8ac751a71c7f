#pragma once

#include "bench/policy/World.h"
#include "Interference.h"
#include "Placement.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace firefly::bench {

/// The batch half of a run: placement, learning from late reports, and relief of workers.
template <typename Placer>
class BatchSide
{
public:
    explicit BatchSide(World &world)
        : m_world(world)
        , m_service(m_model.service(ServiceId("service")))
        , m_planner(evictionSettings(world))
        , m_histories(world.workers.size())
    {
        m_settings.urgentWeight = urgentWeight(world);
        for (std::size_t kind = 0; kind < KindCount; ++kind) {
            m_kinds.push_back(m_model.batchKind(kindName(kind)));
        }
        for (const WorkerIndex worker : world.pool.workers()) {
            m_shapes.add(world.pool.view(worker).info);
            scheduleSync(toPosition(worker), toPosition(worker) * SyncStagger);
        }
        if (world.options.batch && world.scenario.batchLoad > 0) {
            scheduleArrival();
        }
    }

    void handle(const Event &event)
    {
        switch (event.type) {
        case EventType::BatchArrival:
            arrive();
            break;
        case EventType::TaskEnd:
            endTask(event.subject, event.version);
            break;
        case EventType::WorkerSync:
            sync(event.subject);
            break;
        case EventType::Tick:
            placePending();
            break;
        case EventType::ZoneLost:
            loseTasks();
            break;
        default:
            break;
        }
    }

    /// Counts the work that running tasks have done so far.
    void finishRun()
    {
        for (FakeWorker &worker : m_world.workers) {
            worker.advance(m_world.effects, m_world.now);
            for (const auto &[job, task] : worker.tasks()) {
                keepWork(m_jobs[job], task.doneSeconds - m_jobs[job].savedSeconds);
            }
        }
    }

    /// Weight in force in \a world.
    static double urgentWeight(const World &world)
    {
        return world.options.urgentWeight.value_or(world.scenario.site.urgentWeight);
    }

private:
    static constexpr Duration SyncInterval = std::chrono::seconds(2);
    static constexpr Duration SyncStagger = std::chrono::milliseconds(31);
    static constexpr Duration UsageLag = std::chrono::seconds(4);
    static constexpr double RestartSeconds = 5;       ///< Work lost by any stop, checkpoint or not.
    static constexpr double GuardStopsAt = 0.3;       ///< Part of the run at which memory runs out.
    static constexpr std::size_t PlacementTries = 32; ///< Jobs without room looked at per round.

    struct Job
    {
        BatchArrival arrival;
        JobSpec spec;
        double savedSeconds = 0; ///< Work kept from earlier attempts.
        std::uint64_t attempt = 0;
        std::size_t worker = 0;
        Resources granted;
        double mixShare = 0;
        bool running = false;
        bool stoppedByGuard = false;
    };

    static EvictionSettings evictionSettings(const World &world)
    {
        EvictionSettings settings;
        settings.urgentWeight = urgentWeight(world);
        if (world.options.relief != Relief::Undamped) {
            return settings;
        }
        settings.lowPressureShare = 1;
        settings.throttledShare = 1;
        settings.throttleAfter = Duration::zero();
        settings.settleTime = Duration::zero();
        settings.evictAfter = Duration::zero();
        settings.minRunTime = Duration::zero();
        settings.maxEvictionsPerWindow = ~std::uint32_t(0);
        return settings;
    }

    void scheduleArrival()
    {
        m_next = m_world.arrivals.nextBatch(m_world.elapsed());
        m_world.events.push(TimePoint(m_next.at), {EventType::BatchArrival});
    }

    void scheduleSync(std::size_t worker, Duration in)
    {
        m_world.events.push(m_world.now + in, {EventType::WorkerSync, std::uint32_t(worker)});
    }

    void arrive()
    {
        Job job{.arrival = m_next};
        job.spec = {.customer = CustomerId("customer"), .kind = kindName(m_next.kind)};
        job.spec.resources = m_next.declared;
        job.spec.runtimeMs = std::llround(m_next.declaredSeconds * 1000);
        m_jobs.push_back(std::move(job));
        m_pending.push_back(m_jobs.size() - 1);
        scheduleArrival();
    }

    void placePending()
    {
        std::deque<std::size_t> waiting;
        std::size_t tries = 0;
        while (!m_pending.empty() && tries < PlacementTries) {
            const std::size_t job = m_pending.front();
            m_pending.pop_front();
            if (!place(job)) {
                waiting.push_back(job);
                ++tries;
            }
        }
        m_pending.insert(m_pending.begin(), waiting.begin(), waiting.end());
    }

    /// True when the job needs no further try.
    bool place(std::size_t number)
    {
        Job &job = m_jobs[number];
        const PlacementRequest request{.job = JobId(std::to_string(number)),
                                       .kind = m_kinds[job.arrival.kind],
                                       .resources = wanted(job)};
        const PlacementContext context{m_world.pool, m_mixes, m_model, m_service, m_settings};
        const Placement answer =
            m_placer.place(context, m_shapes, request, m_world.decision, m_world.now);
        if (std::holds_alternative<Infeasible>(answer)) {
            ++m_world.measures.neverRun;
            return true;
        }
        if (std::holds_alternative<Deferred>(answer)) {
            return false;
        }
        begin(number, toPosition(std::get<Placed>(answer).worker), request.resources);
        return true;
    }

    Resources wanted(const Job &job) const
    {
        if (!m_world.options.correctSizes) {
            Resources wanted = job.spec.resources;
            wanted.memoryMiB = std::max(wanted.memoryMiB, job.granted.memoryMiB);
            return wanted;
        }
        return m_sizes.estimate(job.spec).resources;
    }

    void begin(std::size_t number, std::size_t worker, const Resources &granted)
    {
        Job &job = m_jobs[number];
        const bool reserved = m_world.pool.reserveBatch(WorkerIndex(worker), granted);
        FIREFLY_ASSERT(reserved, "a placement chose a worker without room");
        job.worker = worker;
        job.granted = granted;
        job.running = true;
        ++job.attempt;
        FakeTask task{.kind = job.arrival.kind, .granted = granted};
        task.neededMilliProcessors = job.arrival.needed.milliProcessors;
        task.workSeconds = job.arrival.neededSeconds;
        task.doneSeconds = job.savedSeconds;
        task.updated = m_world.now;
        task.started = m_world.now;
        job.stoppedByGuard = granted.memoryMiB < job.arrival.needed.memoryMiB;
        if (job.stoppedByGuard) {
            task.workSeconds =
                task.doneSeconds + GuardStopsAt * (task.workSeconds - task.doneSeconds);
        }
        m_world.workers[worker].advance(m_world.effects, m_world.now);
        m_world.workers[worker].beginTask(number, task);
        addToMix(job, 1);
        refreshWorker(worker);
    }

    void addToMix(Job &job, double throttle)
    {
        job.mixShare =
            throttle * double(job.granted.milliProcessors) / double(WorkerCapacity.milliProcessors);
        m_mixes.add(WorkerIndex(job.worker), m_kinds[job.arrival.kind], job.mixShare);
    }

    void takeFromMix(const Job &job)
    {
        m_mixes.remove(WorkerIndex(job.worker), m_kinds[job.arrival.kind], job.mixShare);
    }

    /// Recomputes speeds after the worker's tasks changed, and what the router should expect.
    void refreshWorker(std::size_t worker)
    {
        FakeWorker &fake = m_world.workers[worker];
        fake.advance(m_world.effects, m_world.now);
        for (const auto &[job, task] : fake.tasks()) {
            const double left = std::max(0.0, task.workSeconds - task.doneSeconds);
            const Duration in(Duration::rep(std::ceil(left / task.speed * 1e6)));
            m_world.events.push(m_world.now + in,
                                {EventType::TaskEnd, std::uint32_t(job), task.version});
        }
        const auto mix = m_mixes.of(WorkerIndex(worker));
        m_histories[worker].record(mix, m_world.now);
        expectSlowdown(worker);
    }

    void expectSlowdown(std::size_t worker)
    {
        if (!m_world.options.learning) {
            return;
        }
        const auto mix = m_mixes.of(WorkerIndex(worker));
        m_world.pool.setExpectedSlowdown(WorkerIndex(worker),
                                         m_model.predict(m_service, mix, m_world.now).mean);
    }

    /// Takes the job off its worker and returns what it did there.
    FakeTask stop(std::size_t number)
    {
        Job &job = m_jobs[number];
        m_world.workers[job.worker].advance(m_world.effects, m_world.now);
        const FakeTask task = m_world.workers[job.worker].endTask(number);
        m_world.pool.releaseBatch(WorkerIndex(job.worker), job.granted);
        takeFromMix(job);
        job.running = false;
        refreshWorker(job.worker);
        return task;
    }

    void endTask(std::size_t number, std::uint64_t version)
    {
        Job &job = m_jobs[number];
        if (!job.running) {
            return;
        }
        const auto &task = m_world.workers[job.worker].tasks().at(number);
        if (task.version != version) {
            return;
        }
        const FakeTask ended = stop(number);
        if (job.stoppedByGuard) {
            m_sizes.recordExceeded(job.spec, job.granted);
            job.granted.memoryMiB += job.granted.memoryMiB / 2;
            ++m_world.measures.guardStops;
            waste(job, ended.doneSeconds - job.savedSeconds);
            m_pending.push_front(number);
            return;
        }
        keepWork(job, ended.doneSeconds - job.savedSeconds);
        m_world.measures.jobsFinished += m_world.isMeasured() ? 1 : 0;
        m_sizes.recordEnded(job.spec, job.arrival.needed,
                            std::llround(job.arrival.neededSeconds * 1000));
    }

    void keepWork(const Job &job, double seconds)
    {
        if (m_world.isMeasured()) {
            m_world.measures.batchWorkSeconds += seconds * processors(job);
        }
    }

    void waste(const Job &job, double seconds)
    {
        if (m_world.isMeasured()) {
            m_world.measures.wastedSeconds += seconds * processors(job);
        }
    }

    static double processors(const Job &job)
    {
        return double(job.arrival.needed.milliProcessors) / 1000;
    }

    void sync(std::size_t worker)
    {
        scheduleSync(worker, SyncInterval);
        if (m_world.isLost(World::zoneOf(worker))) {
            return;
        }
        refreshWorker(worker);
        const auto report = m_world.workers[worker].takeReport(m_world.now - UsageLag);
        if (!report) {
            return;
        }
        const double slowdown = report->sum / double(report->calls);
        if (m_world.options.learning) {
            learn(worker, *report, slowdown);
        }
        if (m_world.options.relief != Relief::None) {
            relieve(worker, slowdown, report->loadSum / double(report->calls));
        }
    }

    void learn(std::size_t worker, const SlowdownWindow &report, double slowdown)
    {
        const MixHistory &history = m_histories[worker];
        if (!history.isUnchanged(report.from, report.to)) {
            return;
        }
        const double load = report.loadSum / double(report.calls);
        m_model.observe(m_service, history.at(report.to), slowdown, m_world.now, load);
        expectSlowdown(worker);
    }

    void relieve(std::size_t worker, double slowdown, double load)
    {
        std::vector<EvictionCandidate> candidates;
        for (const auto &[number, task] : m_world.workers[worker].tasks()) {
            candidates.push_back(candidate(number, task));
        }
        const auto action =
            m_planner.plan(WorkerIndex(worker), slowdown, candidates, m_world.now, load);
        if (!action) {
            return;
        }
        if (const auto *throttle = std::get_if<ThrottleAction>(&*action)) {
            apply(*throttle);
        } else {
            apply(std::get<EvictAction>(*action));
        }
    }

    EvictionCandidate candidate(std::size_t number, const FakeTask &task) const
    {
        const Job &job = m_jobs[number];
        EvictionCandidate it{.job = JobId(std::to_string(number)), .attempt = job.attempt};
        it.started = task.started;
        it.unsavedWork = Duration(Duration::rep((task.doneSeconds - job.savedSeconds) * 1e6));
        it.canCheckpoint = canCheckpoint(task.kind);
        it.urgentSlowdown =
            m_model.pairwiseSlowdown(m_service, m_kinds[task.kind], m_world.now, job.mixShare).mean
            - 1;
        it.share = task.throttle;
        return it;
    }

    void apply(const ThrottleAction &action)
    {
        const std::size_t number = std::stoul(action.job.value());
        Job &job = m_jobs[number];
        m_world.workers[job.worker].advance(m_world.effects, m_world.now);
        m_world.workers[job.worker].throttleTask(number, action.share);
        takeFromMix(job);
        addToMix(job, action.share);
        refreshWorker(job.worker);
        m_world.measures.throttles += m_world.isMeasured() ? 1 : 0;
    }

    void apply(const EvictAction &action)
    {
        const std::size_t number = std::stoul(action.job.value());
        Job &job = m_jobs[number];
        const FakeTask task = stop(number);
        const double done = task.doneSeconds - job.savedSeconds;
        const double lost = action.checkpoint ? std::min(done, RestartSeconds) : done;
        evictionLoss(job, lost);
        keepWork(job, done - lost);
        job.savedSeconds += done - lost;
        m_pending.push_back(number);
        m_world.measures.evictions += m_world.isMeasured() ? 1 : 0;
    }

    void evictionLoss(const Job &job, double seconds)
    {
        waste(job, seconds);
        if (m_world.isMeasured()) {
            m_world.measures.lostToEviction += seconds * processors(job);
        }
    }

    /// The lost zone's tasks start again elsewhere; their work since the last save is gone.
    void loseTasks()
    {
        for (std::size_t worker = 0; worker < m_world.workers.size(); ++worker) {
            if (World::zoneOf(worker) != World::LostZone) {
                continue;
            }
            const auto tasks = m_world.workers[worker].tasks();
            for (const auto &[number, unused] : tasks) {
                const FakeTask task = stop(number);
                waste(m_jobs[number], task.doneSeconds - m_jobs[number].savedSeconds);
                m_pending.push_back(number);
            }
        }
    }

    World &m_world;
    SlowdownModel m_model;
    WorkloadIndex m_service;
    std::vector<WorkloadIndex> m_kinds;
    PlacementSettings m_settings;
    BatchPlacer<Placer> m_placer;
    EvictionPlanner m_planner;
    SizeEstimator m_sizes;
    CapacityShapes m_shapes;
    WorkerMixes m_mixes;
    std::vector<MixHistory> m_histories;
    BatchArrival m_next;
    std::vector<Job> m_jobs;
    std::deque<std::size_t> m_pending;
};

} // namespace firefly::bench
