#include "Placement/CapacityShapes.h"

#include <algorithm>
#include <tuple>

namespace firefly {
namespace {

std::string describe(const Resources &amount)
{
    return std::to_string(amount.milliProcessors) + " milliprocessors, "
           + std::to_string(amount.memoryMiB) + " MiB, " + std::to_string(amount.accelerators)
           + " accelerators";
}

Resources componentwiseMax(const Resources &a, const Resources &b)
{
    return {std::max(a.milliProcessors, b.milliProcessors), std::max(a.memoryMiB, b.memoryMiB),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

bool isAllowed(const ZoneId &zone, std::span<const std::string> zones)
{
    return zones.empty() || std::find(zones.begin(), zones.end(), zone.value()) != zones.end();
}

} // namespace

bool CapacityShapes::Less::operator()(const Resources &a, const Resources &b) const
{
    return std::tie(a.milliProcessors, a.memoryMiB, a.accelerators, a.slots)
           < std::tie(b.milliProcessors, b.memoryMiB, b.accelerators, b.slots);
}

void CapacityShapes::add(const WorkerInfo &worker)
{
    ++m_shapes[worker.zone][worker.capacity];
}

void CapacityShapes::remove(const WorkerInfo &worker)
{
    auto &shapes = m_shapes[worker.zone];
    const auto it = shapes.find(worker.capacity);
    if (it == shapes.end()) {
        return;
    }
    --it->second;
    if (it->second == 0) {
        shapes.erase(it);
    }
}

std::optional<std::string>
CapacityShapes::infeasibilityReason(const Resources &resources,
                                    std::span<const std::string> zones) const
{
    Resources largest;
    bool hasAllowedZone = false;
    for (const auto &[zone, shapes] : m_shapes) {
        if (!isAllowed(zone, zones) || shapes.empty()) {
            continue;
        }
        hasAllowedZone = true;
        for (const auto &[shape, n] : shapes) {
            if (resources.fitsIn(shape)) {
                return std::nullopt;
            }
            largest = componentwiseMax(largest, shape);
        }
    }
    if (!hasAllowedZone) {
        return "no worker in the zones that the plan may use";
    }
    return "needs " + describe(resources)
           + "; no worker is that large, the largest amount of each resource on any worker is "
           + describe(largest);
}

} // namespace firefly
