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

} // namespace firefly
