#include "Recovery/SnapshotAssembly.h"
