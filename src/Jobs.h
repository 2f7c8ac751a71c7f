#pragma once

/// \file Ledger of batch jobs: the state of every job, computed from the log's records.

#include "Jobs/Job.h"
#include "Jobs/JobLedger.h"
