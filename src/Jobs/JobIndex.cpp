#include "Jobs/JobIndex.h"
