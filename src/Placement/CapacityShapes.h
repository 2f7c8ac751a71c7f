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

/// The different worker sizes of each zone and how many there are of each: tells in time
/// independent of the number of workers whether a job could ever run.
class CapacityShapes
{
public:
    void add(const WorkerInfo &worker);
    void remove(const WorkerInfo &worker);
    /// Why no worker in \a zones could run \a resources; nothing when one could.
    std::optional<std::string> whyNever(const Resources &resources,
                                        std::span<const std::string> zones) const;

private:
    struct Less
    {
        bool operator()(const Resources &a, const Resources &b) const;
    };

    std::map<ZoneId, std::map<Resources, std::size_t, Less>> m_shapes;
};

} // namespace firefly
