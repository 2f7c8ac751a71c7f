#pragma once

#include "Config/Settings.h"
#include "Membership/MembershipTimes.h"
#include "Ownership/OwnershipTimes.h"

namespace firefly::internal {

/// Lease, hold-off and renewal times of shard ownership, taken from the settings.
OwnershipTimes toOwnershipTimes(const OwnershipSettings &settings);
/// Timeouts for the failure detection of peers, derived from the heartbeat interval and the VM
/// list's lag.
MembershipTimes toMembershipTimes(const OwnershipSettings &settings);

} // namespace firefly::internal
