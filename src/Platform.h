#pragma once

/// \file Typed messages to and from the platform: workers, log and VM list.  No I/O.

#include "Platform/LogMessages.h"
#include "Platform/WorkerMessages.h"
