#pragma once

/// \file Writing to the log, reading it back, and carrying state forward past its retention.

#include "Recovery/AppendQueue.h"
#include "Recovery/CatchUp.h"
#include "Recovery/CompositeFold.h"
#include "Recovery/SnapshotPlanner.h"
