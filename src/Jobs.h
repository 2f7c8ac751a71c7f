#pragma once

/// \file The batch ledger: every job's state as a fold over the log.

#include "Jobs/Job.h"
#include "Jobs/JobLedger.h"
