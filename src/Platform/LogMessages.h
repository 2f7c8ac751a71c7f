#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <vector>

namespace firefly {

/// One append of several records, which is atomic: they get consecutive offsets or none.
struct LogAppend
{
    std::vector<Envelope> envelopes;
};

/// Result of reading the log from an offset on.
struct LogRead
{
    Offset head = 1; ///< Oldest offset in the log; above the requested one after a trim.
    Offset tail = 0; ///< Newest offset at the time of the read; 0 when the log is empty.
    std::vector<LoggedEnvelope> envelopes;
};

/// Result of an append to the log.
enum class AppendResult {
    Done,      ///< The records are in the log.
    NotSent,   ///< This append certainly added no record.
    Uncertain, ///< No reply arrived: the records may be in the log.
};

} // namespace firefly
