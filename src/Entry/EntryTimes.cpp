#include "Entry/EntryTimes.h"

namespace firefly::internal {
namespace {

constexpr int MissedHeartbeatsUntilSuspect = 4;
constexpr int MissedHeartbeatsUntilDead = 8;

} // namespace

OwnershipTimes toOwnershipTimes(const OwnershipSettings &settings)
{
    OwnershipTimes times;
    times.proofDuration = settings.proof;
    times.holdOff = settings.holdOff;
    times.lease = settings.lease;
    times.drift = settings.drift;
    times.renewEvery = settings.heartbeat;
    times.syncTimeout = 2 * settings.heartbeat;
    return times;
}

MembershipTimes toMembershipTimes(const OwnershipSettings &settings)
{
    MembershipTimes times;
    times.suspectAfter = MissedHeartbeatsUntilSuspect * settings.heartbeat;
    times.deadAfter = MissedHeartbeatsUntilDead * settings.heartbeat;
    times.listLag = settings.listLag;
    times.listMaxAge = settings.listLag;
    return times;
}

} // namespace firefly::internal
