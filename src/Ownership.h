#pragma once

/// \file Shard ownership: which entry may give work to which worker, by log claims and fencing.

#include "Ownership/ClaimPlanner.h"
#include "Ownership/LeaseRenewal.h"
#include "Ownership/OwnershipFold.h"
#include "Ownership/OwnershipTimes.h"
#include "Ownership/ShardAuthority.h"
