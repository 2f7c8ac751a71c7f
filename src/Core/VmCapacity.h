#pragma once

namespace firefly {

/// Resources of one of our VMs, from the settings of its process.
struct VmCapacity
{
    double cpuShare = 1.0;    ///< Share of one core.
    double linkMbps = 1000.0; ///< Bandwidth of its network link, in Mbit/s.

    bool operator==(const VmCapacity &) const = default;
};

} // namespace firefly
