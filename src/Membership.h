#pragma once

/// \file Cluster membership: the listed entries and workers, and the entries' heartbeats.

#include "Membership/Heartbeat.h"
#include "Membership/PeerTable.h"
#include "Membership/WorkerTable.h"
