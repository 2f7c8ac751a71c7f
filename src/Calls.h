#pragma once

/// \file Callers' requests: the ledger of idempotency keys and the state machine of one request.

#include "Calls/CallTracker.h"
#include "Calls/IntentLedger.h"
