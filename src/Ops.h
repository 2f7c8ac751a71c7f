#pragma once

/// \file What operators see of a process: JSON log lines and metrics.

#include "Ops/EventLog.h"
#include "Ops/LatencyHistogram.h"
#include "Ops/Metrics.h"
