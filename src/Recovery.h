#pragma once

/// \file Appending to the log, reading it, and snapshots that keep state beyond its retention.

#include "Recovery/AppendQueue.h"
#include "Recovery/CatchUp.h"
#include "Recovery/CompositeFold.h"
#include "Recovery/SnapshotPlanner.h"
