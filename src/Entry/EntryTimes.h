#pragma once

#include "Config/Settings.h"
#include "Membership/MembershipTimes.h"
#include "Ownership/OwnershipTimes.h"

namespace firefly::internal {

/// Times of shard ownership as the settings give them.
OwnershipTimes toOwnershipTimes(const OwnershipSettings &settings);
/// Times by which peers are judged, derived from the heartbeat interval and the list's lag.
MembershipTimes toMembershipTimes(const OwnershipSettings &settings);

} // namespace firefly::internal
