#pragma once

/// \file An entry (one scheduler instance) as a deterministic state machine: messages in, actions
/// out.

#include "Entry/EntryActions.h"
#include "Entry/EntryCore.h"
