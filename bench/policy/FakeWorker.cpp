#include "bench/policy/FakeWorker.h"

#include <algorithm>

namespace firefly::bench {
namespace {

constexpr Duration WindowLength = std::chrono::seconds(2);

double usedMilliProcessors(const FakeTask &task)
{
    return double(std::min(task.granted.milliProcessors, task.neededMilliProcessors))
           * task.throttle;
}

} // namespace

double FakeWorker::beginCall(const Resources &call, const HiddenEffects &effects, TimePoint now)
{
    ++m_calls;
    m_inUse += call;
    checkCapacity();
    const double slowdown = effects.urgentSlowdown(shares(), urgentLoad());
    if (m_windows.empty() || now >= m_windows.back().to) {
        m_windows.push_back({now, now + WindowLength});
    }
    m_windows.back().slowdownSum += slowdown;
    m_windows.back().loadSum += urgentLoad();
    ++m_windows.back().calls;
    return slowdown;
}

void FakeWorker::endCall(const Resources &call)
{
    --m_calls;
    m_inUse -= call;
}

void FakeWorker::beginTask(std::size_t job, const FakeTask &task)
{
    m_tasks.emplace(job, task);
    m_inUse += task.granted;
    checkCapacity();
}

FakeTask FakeWorker::endTask(std::size_t job)
{
    const FakeTask task = m_tasks.at(job);
    m_tasks.erase(job);
    m_inUse -= task.granted;
    return task;
}

void FakeWorker::advance(const HiddenEffects &effects, TimePoint now)
{
    const KindShares all = shares();
    for (auto &[job, task] : m_tasks) {
        const double elapsed = std::chrono::duration<double>(now - task.updated).count();
        task.doneSeconds += elapsed * task.speed;
        task.updated = now;
        KindShares others = all;
        const double used = usedMilliProcessors(task);
        others[task.kind] -= used / double(m_capacity.milliProcessors);
        const double granted = used / double(task.neededMilliProcessors);
        task.speed = granted / effects.batchSlowdown(task.kind, others, urgentLoad());
        ++task.version;
    }
}

std::optional<SlowdownWindow> FakeWorker::popReport(TimePoint before)
{
    std::optional<SlowdownWindow> report;
    while (!m_windows.empty() && m_windows.front().to <= before) {
        report = m_windows.front();
        m_windows.pop_front();
    }
    return report;
}

KindShares FakeWorker::shares() const
{
    KindShares shares{};
    for (const auto &[job, task] : m_tasks) {
        shares[task.kind] += usedMilliProcessors(task) / double(m_capacity.milliProcessors);
    }
    return shares;
}

double FakeWorker::urgentLoad() const
{
    return double(m_calls) / double(m_capacity.slots);
}

void FakeWorker::checkCapacity()
{
    if (!m_inUse.fitsIn(m_capacity)) {
        ++m_overruns;
    }
}

} // namespace firefly::bench
