#include "Recovery/SnapshotCodec.h"
