#pragma once

/// \file Election of the process that owns a cell.

#include "CellLease/CellElection.h" // IWYU pragma: export
