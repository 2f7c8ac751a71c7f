#pragma once

/// \file Which process owns a cell.

#include "CellLease/CellElection.h" // IWYU pragma: export
