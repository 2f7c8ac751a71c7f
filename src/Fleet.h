#pragma once

/// \file Queues as operators configure them, and the split of workers and jobs over cells.

#include "Fleet/CellLayout.h" // IWYU pragma: export
#include "Fleet/RouteTable.h" // IWYU pragma: export
