#include "Jobs/Job.h"
