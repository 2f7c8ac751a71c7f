#pragma once

/// \file The scheduler of one cell: its jobs, its workers and their leases.

#include "Cell/CellMessages.h"  // IWYU pragma: export
#include "Cell/CellScheduler.h" // IWYU pragma: export
