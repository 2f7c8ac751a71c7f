#pragma once

#include "Checker.h"
#include "Traces.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <span>
#include <vector>

namespace firefly::load {

/// Summarizes one run; latencies are in milliseconds from the first attempt to the answer.
nlohmann::json summarize(std::span<const CallTrace> calls, std::span<const JobTrace> jobs,
                         std::span<const WorkerReport> workers,
                         std::span<const Violation> violations);

/// Prints \a summary as a table.
void printTable(std::ostream &out, const nlohmann::json &summary);

} // namespace firefly::load
