#include "Recovery/WriterSequences.h"
