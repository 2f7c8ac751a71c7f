#include "Cell/CellJob.h"

namespace firefly {
namespace {

/// Longest chain of the estimates of those steps for which \a isOpen holds.
template <typename IsOpen>
Duration longestChain(const JobSpec &spec, const IsOpen &isOpen)
{
    std::vector<Duration> endOf(spec.steps.size());
    Duration longest{};
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        Duration begin{};
        for (const std::uint32_t it : spec.steps[i].after) {
            begin = std::max(begin, endOf[it]);
        }
        const Duration own = std::chrono::milliseconds(spec.steps[i].estimateMs);
        endOf[i] = begin + (isOpen(i) ? own : Duration{});
        longest = std::max(longest, endOf[i]);
    }
    return longest;
}

} // namespace

Duration CellJob::longestChainOf(const JobSpec &spec)
{
    return longestChain(spec, [](std::size_t) { return true; });
}

Duration CellJob::remainingChain() const
{
    if (occurrences.empty()) {
        return longestChainOf(spec);
    }
    const std::vector<StepRun> &steps = occurrences.back().steps;
    return longestChain(spec, [&steps](std::size_t i) { return !steps[i].isDone(); });
}

CellLoad CellJob::openDemand(double milliCpu) const
{
    CellLoad demand;
    for (const Occurrence &occurrence : occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec &step = spec.steps[s];
            const bool isOpen = std::ranges::all_of(step.after, [&occurrence](std::uint32_t it) {
                return occurrence.steps[it].isDone();
            });
            if (!isOpen) {
                continue;
            }
            const StepRun &run = occurrence.steps[s];
            const auto count = static_cast<double>(run.tasks.size() - run.doneCount);
            (step.isFiller ? demand.filling : demand.reserving) +=
                count * static_cast<double>(step.demand.milliCpu) / milliCpu;
        }
    }
    return demand;
}

} // namespace firefly
