#pragma once

/// \file The whole entry as one deterministic state machine: messages in, actions out.

#include "Entry/EntryActions.h"
#include "Entry/EntryCore.h"
