#pragma once

/// \file
/// Waits of tasks for a place near their data or their group.

#include "Locality/DelayScheduling.h"
#include "Locality/RackForecast.h"
