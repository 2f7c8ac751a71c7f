#pragma once

/// \file An entry as a process: the core wired to sockets, timers and logs.

#include "Runtime/EntryRuntime.h"
