#pragma once

/// \file The entry process: an EntryCore connected to sockets, timers and the event log.

#include "Runtime/EntryRuntime.h"
