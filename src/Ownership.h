#pragma once

/// \file Which entry may give work to which worker: claims in the log, hold-off, proof and fencing.

#include "Ownership/ClaimPlanner.h"
#include "Ownership/LeaseRenewal.h"
#include "Ownership/OwnershipFold.h"
#include "Ownership/OwnershipTimes.h"
#include "Ownership/ShardAuthority.h"
