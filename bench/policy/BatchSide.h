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

/// Simulates the batch jobs of a run: placement, learning from lagging reports, throttling,
/// eviction.
template <typename Placer>
class BatchSide
{
public:
    explicit BatchSide(World &world)
        : m_world(world)
        , m_service(m_model.service(ServiceId("service")))
        , m_planner(evictionSettings(world))
        , m_mixHistories(world.workers.size())
    {
        m_settings.urgentWeight = urgentWeight(world);
        for (std::size_t kind = 0; kind < KindCount; ++kind) {
            m_kinds.push_back(m_model.batchKind(kindName(kind)));
        }
        for (const WorkerIndex worker : world.pool.workers()) {
            m_shapes.add(world.pool.view(worker).info);
            scheduleSync(toPosition(worker), toPosition(worker) * SyncOffset);
        }
        if (world.options.hasBatch && world.scenario.batchLoad > 0) {
            scheduleArrival();
        }
    }

    void handle(const Event &event)
    {
        switch (event.type) {
        case EventType::BatchArrival:
            addArrival();
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
            requeueTasksOfLostZone();
            break;
        default:
            break;
        }
    }

    /// Counts the work of the tasks that still run at the end.
    void finishRun()
    {
        for (FakeWorker &worker : m_world.workers) {
            worker.advance(m_world.effects, m_world.now);
            for (const auto &[job, task] : worker.tasks()) {
                recordKeptWork(m_jobs[job], task.doneSeconds - m_jobs[job].savedSeconds);
            }
        }
    }

    /// Weight of urgent calls in \a world: that of the options, or else of the site.
    static double urgentWeight(const World &world)
    {
        return world.options.urgentWeight.value_or(world.scenario.site.urgentWeight);
    }

private:
    static constexpr Duration SyncInterval = std::chrono::seconds(2);
    static constexpr Duration SyncOffset = std::chrono::milliseconds(31);
    static constexpr Duration ReportLag = std::chrono::seconds(4);
    static constexpr double RestartSeconds = 5; ///< Work lost by each stop, even with a checkpoint.
    /// Fraction of the remaining work at which memory runs out.
    static constexpr double MemoryExhaustedAt = 0.3;
    /// Failed placements before a round ends.
    static constexpr std::size_t MaxFailedPlacements = 32;

    struct Job
    {
        BatchArrival arrival;
        BatchJobSpec spec;
        double savedSeconds = 0; ///< Work saved by earlier attempts.
        std::uint64_t attempt = 0;
        std::size_t worker = 0;
        Resources granted;
        double mixShare = 0;
        bool isRunning = false;
        /// Its memory is too small, so that the guard will stop it.
        bool hasTooLittleMemory = false;
    };

    static EvictionSettings evictionSettings(const World &world)
    {
        EvictionSettings settings;
        settings.urgentWeight = urgentWeight(world);
        if (world.options.pressureResponse != PressureResponse::Undamped) {
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
        m_nextArrival = m_world.arrivals.nextBatch(m_world.elapsed());
        m_world.events.push(TimePoint(m_nextArrival.at), {EventType::BatchArrival});
    }

    void scheduleSync(std::size_t worker, Duration delay)
    {
        m_world.events.push(m_world.now + delay, {EventType::WorkerSync, std::uint32_t(worker)});
    }

    void addArrival()
    {
        Job job{.arrival = m_nextArrival};
        job.spec = {.customer = CustomerId("customer"), .kind = kindName(m_nextArrival.kind)};
        job.spec.resources = m_nextArrival.declared;
        job.spec.runtimeMs = std::llround(m_nextArrival.declaredSeconds * 1000);
        m_jobs.push_back(std::move(job));
        m_pendingJobs.push_back(m_jobs.size() - 1);
        scheduleArrival();
    }

    void placePending()
    {
        std::deque<std::size_t> waiting;
        std::size_t failedPlacements = 0;
        while (!m_pendingJobs.empty() && failedPlacements < MaxFailedPlacements) {
            const std::size_t job = m_pendingJobs.front();
            m_pendingJobs.pop_front();
            if (!tryPlace(job)) {
                waiting.push_back(job);
                ++failedPlacements;
            }
        }
        m_pendingJobs.insert(m_pendingJobs.begin(), waiting.begin(), waiting.end());
    }

    /// True if the job was placed or is infeasible, false if it must be tried again.
    bool tryPlace(std::size_t number)
    {
        Job &job = m_jobs[number];
        const PlacementRequest request{.job = JobId(std::to_string(number)),
                                       .kind = m_kinds[job.arrival.kind],
                                       .resources = requestedResources(job)};
        const PlacementContext context{m_world.pool, m_mixes, m_model, m_service, m_settings};
        const Placement answer =
            m_placer.place(context, m_shapes, request, m_world.policyRandom, m_world.now);
        if (std::holds_alternative<Infeasible>(answer)) {
            ++m_world.measures.infeasibleJobs;
            return true;
        }
        if (std::holds_alternative<Deferred>(answer)) {
            return false;
        }
        startTask(number, toPosition(std::get<Placed>(answer).worker), request.resources);
        return true;
    }

    Resources requestedResources(const Job &job) const
    {
        if (!m_world.options.hasSizeCorrection) {
            Resources requested = job.spec.resources;
            requested.memoryMiB = std::max(requested.memoryMiB, job.granted.memoryMiB);
            return requested;
        }
        return m_sizes.estimate(job.spec).resources;
    }

    void startTask(std::size_t number, std::size_t worker, const Resources &granted)
    {
        Job &job = m_jobs[number];
        const bool reserved = m_world.pool.reserveBatch(WorkerIndex(worker), granted);
        FIREFLY_ASSERT(reserved, "a placement chose a worker without room");
        job.worker = worker;
        job.granted = granted;
        job.isRunning = true;
        ++job.attempt;
        FakeTask task{.kind = job.arrival.kind, .granted = granted};
        task.neededMilliProcessors = job.arrival.needed.milliProcessors;
        task.workSeconds = job.arrival.neededSeconds;
        task.doneSeconds = job.savedSeconds;
        task.updated = m_world.now;
        task.started = m_world.now;
        job.hasTooLittleMemory = granted.memoryMiB < job.arrival.needed.memoryMiB;
        if (job.hasTooLittleMemory) {
            task.workSeconds =
                task.doneSeconds + MemoryExhaustedAt * (task.workSeconds - task.doneSeconds);
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

    void removeFromMix(const Job &job)
    {
        m_mixes.remove(WorkerIndex(job.worker), m_kinds[job.arrival.kind], job.mixShare);
    }

    /// Updates the speeds of the worker's tasks and its expected slowdown after a change.
    void refreshWorker(std::size_t worker)
    {
        FakeWorker &fakeWorker = m_world.workers[worker];
        fakeWorker.advance(m_world.effects, m_world.now);
        for (const auto &[job, task] : fakeWorker.tasks()) {
            const double left = std::max(0.0, task.workSeconds - task.doneSeconds);
            const Duration delay(Duration::rep(std::ceil(left / task.speed * 1e6)));
            m_world.events.push(m_world.now + delay,
                                {EventType::TaskEnd, std::uint32_t(job), task.version});
        }
        const auto mix = m_mixes.of(WorkerIndex(worker));
        m_mixHistories[worker].record(mix, m_world.now);
        updateExpectedSlowdown(worker);
    }

    void updateExpectedSlowdown(std::size_t worker)
    {
        if (!m_world.options.hasLearning) {
            return;
        }
        const auto mix = m_mixes.of(WorkerIndex(worker));
        m_world.pool.setExpectedSlowdown(WorkerIndex(worker),
                                         m_model.predict(m_service, mix, m_world.now).mean);
    }

    /// Removes the job from its worker and returns the final state of its task.
    FakeTask stopTask(std::size_t number)
    {
        Job &job = m_jobs[number];
        m_world.workers[job.worker].advance(m_world.effects, m_world.now);
        const FakeTask task = m_world.workers[job.worker].endTask(number);
        m_world.pool.releaseBatch(WorkerIndex(job.worker), job.granted);
        removeFromMix(job);
        job.isRunning = false;
        refreshWorker(job.worker);
        return task;
    }

    void endTask(std::size_t number, std::uint64_t version)
    {
        Job &job = m_jobs[number];
        if (!job.isRunning) {
            return;
        }
        const auto &task = m_world.workers[job.worker].tasks().at(number);
        if (task.version != version) {
            return;
        }
        const FakeTask ended = stopTask(number);
        if (job.hasTooLittleMemory) {
            m_sizes.recordExceeded(job.spec, job.granted);
            job.granted.memoryMiB += job.granted.memoryMiB / 2;
            ++m_world.measures.guardStops;
            recordWastedWork(job, ended.doneSeconds - job.savedSeconds);
            m_pendingJobs.push_front(number);
            return;
        }
        recordKeptWork(job, ended.doneSeconds - job.savedSeconds);
        m_world.measures.jobsFinished += m_world.isMeasured() ? 1 : 0;
        m_sizes.recordEnded(job.spec, job.arrival.needed,
                            std::llround(job.arrival.neededSeconds * 1000));
    }

    void recordKeptWork(const Job &job, double seconds)
    {
        if (m_world.isMeasured()) {
            m_world.measures.batchWorkSeconds += seconds * processors(job);
        }
    }

    void recordWastedWork(const Job &job, double seconds)
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
        const auto report = m_world.workers[worker].popReport(m_world.now - ReportLag);
        if (!report) {
            return;
        }
        const double slowdown = report->slowdownSum / double(report->calls);
        if (m_world.options.hasLearning) {
            learn(worker, *report, slowdown);
        }
        if (m_world.options.pressureResponse != PressureResponse::None) {
            respondToPressure(worker, slowdown, report->loadSum / double(report->calls));
        }
    }

    void learn(std::size_t worker, const SlowdownWindow &report, double slowdown)
    {
        const MixHistory &history = m_mixHistories[worker];
        if (!history.isUnchanged(report.from, report.to)) {
            return;
        }
        const double load = report.loadSum / double(report.calls);
        m_model.observe(m_service, history.at(report.to), slowdown, m_world.now, load);
        updateExpectedSlowdown(worker);
    }

    void respondToPressure(std::size_t worker, double slowdown, double load)
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
        removeFromMix(job);
        addToMix(job, action.share);
        refreshWorker(job.worker);
        m_world.measures.throttles += m_world.isMeasured() ? 1 : 0;
    }

    void apply(const EvictAction &action)
    {
        const std::size_t number = std::stoul(action.job.value());
        Job &job = m_jobs[number];
        const FakeTask task = stopTask(number);
        const double done = task.doneSeconds - job.savedSeconds;
        const double lost = action.checkpoint ? std::min(done, RestartSeconds) : done;
        recordEvictionLoss(job, lost);
        recordKeptWork(job, done - lost);
        job.savedSeconds += done - lost;
        m_pendingJobs.push_back(number);
        m_world.measures.evictions += m_world.isMeasured() ? 1 : 0;
    }

    void recordEvictionLoss(const Job &job, double seconds)
    {
        recordWastedWork(job, seconds);
        if (m_world.isMeasured()) {
            m_world.measures.evictionLossSeconds += seconds * processors(job);
        }
    }

    /// Requeues the tasks of the lost zone; their work since the last checkpoint is lost.
    void requeueTasksOfLostZone()
    {
        for (std::size_t worker = 0; worker < m_world.workers.size(); ++worker) {
            if (World::zoneOf(worker) != World::LostZone) {
                continue;
            }
            const auto tasks = m_world.workers[worker].tasks();
            for (const auto &[number, unused] : tasks) {
                const FakeTask task = stopTask(number);
                recordWastedWork(m_jobs[number], task.doneSeconds - m_jobs[number].savedSeconds);
                m_pendingJobs.push_back(number);
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
    std::vector<MixHistory> m_mixHistories;
    BatchArrival m_nextArrival;
    std::vector<Job> m_jobs;
    std::deque<std::size_t> m_pendingJobs;
};

} // namespace firefly::bench
