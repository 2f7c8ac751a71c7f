#pragma once

/// \file Which entries and workers exist, and what the entries say about themselves.

#include "Membership/Heartbeat.h"
#include "Membership/PeerTable.h"
#include "Membership/WorkerTable.h"
