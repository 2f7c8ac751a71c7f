#include "Calls/CallTracker.h"
