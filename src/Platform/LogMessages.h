#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <vector>

namespace firefly {

/// One append of several records; they get consecutive offsets or none.
struct LogAppend
{
    std::vector<Envelope> envelopes;
};

/// A reading of the log from an offset on.
struct LogRead
{
    Offset head = 1; ///< Oldest offset still kept; larger than what was asked for after a trim.
    Offset tail = 0; ///< Newest offset at the time of the read; 0 when the log is empty.
    Offset next = 1; ///< Where to read on: one past the last record of this reading.
    std::vector<LoggedEnvelope> envelopes;
};

} // namespace firefly
