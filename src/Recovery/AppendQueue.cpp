#include "Recovery/AppendQueue.h"
