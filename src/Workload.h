#pragma once

/// \file Jobs of steps and tasks, and their durable records.

#include "Workload/JobRecords.h" // IWYU pragma: export
#include "Workload/JobSpec.h"    // IWYU pragma: export
