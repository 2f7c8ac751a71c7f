#pragma once

/// \file Job specifications (steps and tasks) and the encoding of durable job records.

#include "Workload/JobRecords.h" // IWYU pragma: export
#include "Workload/JobSpec.h"    // IWYU pragma: export
