#pragma once

#include "Checker.h"
#include "Traces.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <span>
#include <vector>

namespace firefly::load {

/// Figures of one run; latencies are milliseconds from the first sending to the answer.
nlohmann::json summarize(std::span<const CallTrace> calls, std::span<const JobTrace> jobs,
                         std::span<const WorkerEvidence> workers,
                         std::span<const Violation> violations);

/// Prints \a summary as a table for people.
void printTable(std::ostream &out, const nlohmann::json &summary);

} // namespace firefly::load
