#include "Recovery/SnapshotPlanner.h"
