#pragma once

/// \file What operators see of a process and may do to it: log lines, metrics and the operator API.

#include "Ops/EventLog.h"
#include "Ops/LatencyHistogram.h"
#include "Ops/LogStory.h"
#include "Ops/Metrics.h"
#include "Ops/OperatorApi.h"
