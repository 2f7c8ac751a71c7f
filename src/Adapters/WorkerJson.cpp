#include "Adapters/WorkerJson.h"

#include "Records/Codec.h"
#include "Records/IdJson.h"
#include "Records/JsonFields.h"

#include <nlohmann/json.hpp>

namespace firefly {

NLOHMANN_JSON_SERIALIZE_ENUM(VmState, {{VmState::Live, "live"}, {VmState::Leaving, "leaving"}})
NLOHMANN_JSON_SERIALIZE_ENUM(AttemptState, {{AttemptState::Running, "running"},
                                            {AttemptState::Finished, "finished"},
                                            {AttemptState::Failed, "failed"},
                                            {AttemptState::Stopped, "stopped"}})

// NOLINTBEGIN(readability-identifier-naming)
FIREFLY_JSON(Endpoint, address, port)
FIREFLY_JSON(WorkerInfo, id, zone, rack, endpoint, capacity, state)
FIREFLY_JSON(EntryInfo, id, zone, peerEndpoint, state)
FIREFLY_JSON(VmList, workers, entries)
FIREFLY_JSON(TaskReport, job, attempt, state, progressMs, resources, usedMilliProcessors,
             usedMemoryMiB, speed, result)
FIREFLY_JSON(WorkerSync, worker, term, number, leaseMs, acknowledged)
FIREFLY_JSON(WorkerSyncReply, accepted, highestTerm, boot, capacity, urgentRunning, urgentSlowdown,
             tasks)
FIREFLY_JSON(StartAttempt, worker, term, job, attempt, kind, resources, runtimeMs, progressMs,
             payload, leaseNumber, boot)
FIREFLY_JSON(StopAttempt, worker, term, job, attempt, checkpoint)
FIREFLY_JSON(ThrottleAttempt, worker, term, job, attempt, share)
// NOLINTEND(readability-identifier-naming)

} // namespace firefly
