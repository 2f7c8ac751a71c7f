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
    std::vector<LoggedEnvelope> envelopes;
};

/// What became of an append to the log.
enum class AppendResult {
    Done,      ///< The records are in the log.
    NotSent,   ///< The records are surely not in the log by this append.
    Uncertain, ///< No answer: the records may be in the log.
};

} // namespace firefly
