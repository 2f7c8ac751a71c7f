#pragma once

/// \file Messages exchanged with the platform's workers and log, without I/O.

#include "Platform/LogMessages.h"
#include "Platform/WorkerMessages.h"
