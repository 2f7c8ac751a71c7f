#pragma once

/// \file Routes from URLs to queues, and the assignment of workers and jobs to cells.

#include "Fleet/CellLayout.h" // IWYU pragma: export
#include "Fleet/RouteTable.h" // IWYU pragma: export
