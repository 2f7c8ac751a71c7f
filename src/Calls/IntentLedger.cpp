#include "Calls/IntentLedger.h"
