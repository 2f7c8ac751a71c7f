#pragma once

/// \file Urgent call requests: the ledger of idempotency keys and the per-request state machine.

#include "Calls/CallTracker.h"
#include "Calls/IntentLedger.h"
