#pragma once

#include "Core/Id.h"
#include "Core/Resources.h"
#include "Core/VmInfo.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace firefly {

/// Counts the workers of each capacity per zone, to tell whether a job could ever run.  The cost of
/// a query depends on the number of distinct capacities, not on the number of workers.
class CapacityShapes
{
public:
    void add(const WorkerInfo &worker);
    void remove(const WorkerInfo &worker);
    /// Why no worker in \a zones could run a job of \a resources, even when idle; nothing when one
    /// could.  Empty \a zones mean all zones.
    std::optional<std::string> infeasibilityReason(const Resources &resources,
                                                   std::span<const std::string> zones) const;

private:
    struct Less
    {
        bool operator()(const Resources &a, const Resources &b) const;
    };

    std::map<ZoneId, std::map<Resources, std::size_t, Less>> m_shapes;
};

} // namespace firefly
