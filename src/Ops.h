#pragma once

/// \file Monitoring and operation of a process: log lines, metrics, the operator API and its exit.

#include "Ops/EventLog.h"
#include "Ops/LatencyHistogram.h"
#include "Ops/LogTimeline.h"
#include "Ops/Metrics.h"
#include "Ops/OperatorApi.h"
#include "Ops/ProcessExit.h"
