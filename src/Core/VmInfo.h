#pragma once

#include "Core/Id.h"
#include "Core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly {

/// IP address and port of a process.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// Whether a VM may receive new work; a leaving VM may not.
enum class VmState { Live, Leaving };

/// A worker as listed in the platform's VM list.
struct WorkerInfo
{
    WorkerId id;
    ZoneId zone;
    std::string rack;
    Endpoint endpoint;
    Resources capacity;
    VmState state = VmState::Live;

    /// The shard this worker belongs to: its zone and rack.
    ShardId shard() const { return ShardId(zone.value() + "/" + rack); }
};

/// An entry as listed in the platform's VM list.
struct EntryInfo
{
    EntryId id;
    ZoneId zone;
    Endpoint peerEndpoint;
    VmState state = VmState::Live;
};

/// Contents of the platform's VM list at one read; they lag behind the actual VMs.
struct VmList
{
    std::vector<WorkerInfo> workers;
    std::vector<EntryInfo> entries;
};

} // namespace firefly
