#include "Jobs/JobLedger.h"
