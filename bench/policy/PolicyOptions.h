#pragma once

#include <optional>
#include <string>

namespace firefly::bench {

/// Whether tasks of a worker under pressure are throttled and evicted, and with which hysteresis.
enum class PressureResponse { None, Damped, Undamped };

/// Features of a policy that a run enables, besides its routing and placement rules.
struct PolicyOptions
{
    std::string name;
    bool hasEjection = true;       ///< Outlier ejection of workers.
    bool hasHedging = true;        ///< Sends slow idempotent calls a second time.
    bool hasLearning = true;       ///< Learns the slowdowns from reports.
    bool hasSizeCorrection = true; ///< Corrects declared sizes by earlier runs.
    bool hasBatch = true;          ///< Batch jobs arrive.
    bool hasFairShedding = true;   ///< Otherwise FirstComeQueue is used.
    PressureResponse pressureResponse = PressureResponse::Damped;
    std::optional<double> urgentWeight; ///< Overrides the weight of the site.
};

} // namespace firefly::bench
