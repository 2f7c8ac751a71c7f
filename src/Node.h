#pragma once

/// \file The node process: serves clients and takes part in the cells.

#include "Node/NodeRuntime.h" // IWYU pragma: export
